package published

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"unicode"

	"github.com/tealhall/tealhall/internal/fault"
)

// Limits of the VM list.
const (
	// DefaultSlots is how many requests an endpoint works on at a time when the
	// list does not say.
	DefaultSlots = 2
	// MaxSlots is the largest number of slots that the list may give.
	MaxSlots = 1024
	// maxNameBytes bounds every name in the list; the longest keys of users' stores have 200.
	maxNameBytes = 200
	// maxProblems bounds how many problems an error names.
	maxProblems = 8
)

const remedyVMs = "correct the VM list at the platform"

// ParseVMs reads the list of VMs from a published value and validates it as a
// whole: one bad VM refuses the list, since acting on a part of it would look
// like VMs that went away. Fields that this program doesn't know are ignored;
// the list belongs to the platform, which may add some. Endpoints without slots
// get DefaultSlots.
func ParseVMs(value Value) (VMList, error) {
	list := VMList{Revision: value.Revision}
	if err := decodeSingle(value.Data, &list); err != nil {
		return VMList{}, fault.Wrap(err, fault.PlatformAnswer, remedyVMs,
			"VM list of revision %d is not readable", value.Revision)
	}
	if list.VMs == nil {
		return VMList{}, fault.New(fault.PlatformAnswer, remedyVMs,
			"VM list of revision %d has no field \"vms\"", value.Revision)
	}
	var found problems
	names := make(map[string]bool, len(list.VMs))
	for i := range list.VMs {
		vm := &list.VMs[i]
		if vm.Role == EndpointRole && vm.Slots == 0 {
			vm.Slots = DefaultSlots
		}
		if names[vm.Name] {
			found.add(vm, "name is not unique")
		}
		names[vm.Name] = true
		checkVM(vm, &found)
	}
	checkEvacuated(list.Evacuated, &found)
	if found.count > 0 {
		return VMList{}, fault.New(fault.PlatformAnswer, remedyVMs,
			"VM list of revision %d has %d problems: %s", value.Revision, found.count, strings.Join(found.texts, "; "))
	}
	return list, nil
}

// CheckVM returns what is wrong with one VM by itself, nil if it can be used.
func CheckVM(vm VM) error {
	var found problems
	checkVM(&vm, &found)
	if found.count == 0 {
		return nil
	}
	return fault.New(fault.PlatformAnswer, remedyVMs, "%s", strings.Join(found.texts, "; "))
}

// CheckDomain returns what is wrong with the name of an evacuated failure domain, nil if it can be
// used.
func CheckDomain(name string) error {
	var found problems
	checkEvacuated([]string{name}, &found)
	if found.count == 0 {
		return nil
	}
	return fault.New(fault.PlatformAnswer, remedyVMs, "%s", found.texts[0])
}

// EncodeVMs returns list in the form that ParseVMs reads, in the order given.
func EncodeVMs(list VMList) []byte {
	if list.VMs == nil {
		list.VMs = []VM{}
	}
	// The types hold strings and numbers only, which always encode.
	data, _ := json.Marshal(list)
	return data
}

// decodeSingle reads exactly one JSON value.
func decodeSingle(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the list")
	}
	return nil
}

// problems collects what is wrong with a list.
type problems struct {
	count int
	texts []string
}

func (p *problems) add(vm *VM, format string, args ...any) {
	p.count++
	if len(p.texts) < maxProblems {
		p.texts = append(p.texts, fmt.Sprintf("VM %q: ", vm.Name)+fmt.Sprintf(format, args...))
	}
}

// checkVM checks what one VM must hold whatever its role.
func checkVM(vm *VM, found *problems) {
	checkName(vm, "name", vm.Name, found)
	checkName(vm, "region", vm.Region, found)
	checkName(vm, "domain", vm.Domain, found)
	checkAddress(vm, "address", vm.Address, found)
	if vm.Incarnation == 0 {
		found.add(vm, "incarnation is zero")
	}
	if vm.State != Live && vm.State != Leaving {
		found.add(vm, "state %q is unknown", vm.State)
	}
	switch vm.Role {
	case EndpointRole:
		checkEndpoint(vm, found)
	case EntryRole:
		checkEntry(vm, found)
	default:
		found.add(vm, "role %q is unknown", vm.Role)
	}
}

func checkEndpoint(vm *VM, found *problems) {
	checkName(vm, "pool", vm.Pool, found)
	if vm.PeerAddress != "" {
		found.add(vm, "an endpoint has no peer_address")
	}
	if vm.Slots < 1 || vm.Slots > MaxSlots {
		found.add(vm, "slots %d is not in 1..%d", vm.Slots, MaxSlots)
	}
}

func checkEntry(vm *VM, found *problems) {
	checkAddress(vm, "peer_address", vm.PeerAddress, found)
	if vm.Pool != "" {
		found.add(vm, "an entry has no pool")
	}
	if vm.Slots != 0 {
		found.add(vm, "an entry has no slots")
	}
	if vm.Cold {
		found.add(vm, "an entry is not cold")
	}
}

// checkEvacuated checks the names of evacuated failure domains.
func checkEvacuated(domains []string, found *problems) {
	for _, domain := range domains {
		checkName(&VM{}, "evacuated domain", domain, found)
	}
}

// checkName accepts printable names without spaces, which fit log lines, tables
// and headers unquoted.
func checkName(vm *VM, field, name string, found *problems) {
	invalid := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	switch {
	case name == "":
		found.add(vm, "%s is empty", field)
	case len(name) > maxNameBytes:
		found.add(vm, "%s is longer than %d bytes", field, maxNameBytes)
	case strings.ContainsFunc(name, invalid):
		found.add(vm, "%s %q holds a space or an unprintable character", field, name)
	}
}

// checkAddress accepts an IP number with a port; host names would make every
// request depend on a name service.
func checkAddress(vm *VM, field, address string, found *problems) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		found.add(vm, "%s %q is not an IP:port", field, address)
	}
}
