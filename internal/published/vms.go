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
	// DefaultSlots is the number of requests that an endpoint processes at a time if the list
	// gives no number of slots.
	DefaultSlots = 2
	// MaxSlots is the largest number of slots that the list may give.
	MaxSlots = 1024
	// maxNameBytes bounds every name in the list. The longest keys in the metadata stores of users
	// have 200 bytes.
	maxNameBytes = 200
	// maxProblems bounds the number of problems that an error lists.
	maxProblems = 8
)

const remedyVMs = "correct the VM list at the platform"

// ParseVMs parses the list of VMs of a published value and validates it as a whole. One invalid VM
// makes it refuse the whole list, because a list without that VM would look as if the VM had been
// removed. Unknown fields are ignored, because the platform owns the list and may add fields.
// Endpoints without slots get DefaultSlots. A list that the value has in parsed form is returned as
// it is.
func ParseVMs(value Value) (VMList, error) {
	if value.List != nil {
		return *value.List, nil
	}
	list := VMList{Revision: value.Revision}
	if err := decodeSingle(value.Data, &list); err != nil {
		return VMList{}, fault.Wrap(err, fault.PlatformAnswer, remedyVMs,
			"VM list of revision %d is not readable", value.Revision)
	}
	if list.VMs == nil {
		return VMList{}, fault.New(fault.PlatformAnswer, remedyVMs,
			"VM list of revision %d has no field \"vms\"", value.Revision)
	}
	if err := list.check(); err != nil {
		return VMList{}, err
	}
	return list, nil
}

// check validates all rows and gives endpoints without slots DefaultSlots.
func (l *VMList) check() error {
	var found problems
	names := make(map[string]bool, len(l.VMs))
	for i := range l.VMs {
		vm := &l.VMs[i]
		if vm.Role == EndpointRole && vm.Slots == 0 {
			vm.Slots = DefaultSlots
		}
		if names[vm.Name] {
			found.add(vm, "name is not unique")
		}
		names[vm.Name] = true
		checkVM(vm, &found)
	}
	checkEvacuated(l.Evacuated, &found)
	if found.count > 0 {
		return fault.New(fault.PlatformAnswer, remedyVMs,
			"VM list of revision %d has %d problems: %s", l.Revision, found.count, strings.Join(found.texts, "; "))
	}
	return nil
}

// CheckVM validates a single VM that was registered, and returns nil if it can be used. Unlike a list
// that another entry has accepted, it must not have an address of several VMs.
func CheckVM(vm VM) error {
	var found problems
	checkVM(&vm, &found)
	if address, err := netip.ParseAddrPort(vm.Address); err == nil && isShared(address.Addr()) {
		found.add(&vm, "address %q is a multicast or broadcast address", vm.Address)
	}
	if found.count == 0 {
		return nil
	}
	return fault.New(fault.PlatformAnswer, remedyVMs, "%s", strings.Join(found.texts, "; "))
}

// isShared reports whether packets to an address go to several VMs.
func isShared(address netip.Addr) bool {
	address = address.Unmap()
	return address.IsMulticast() || address == netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// CheckDomain validates the name of an evacuated failure domain, and returns nil if it can be
// used.
func CheckDomain(name string) error {
	var found problems
	checkEvacuated([]string{name}, &found)
	if found.count == 0 {
		return nil
	}
	return fault.New(fault.PlatformAnswer, remedyVMs, "%s", found.texts[0])
}

// EncodeVMs returns list in the format that ParseVMs reads, in the given order.
func EncodeVMs(list VMList) []byte {
	if list.VMs == nil {
		list.VMs = []VM{}
	}
	// The types have only strings, numbers and booleans, which always encode.
	data, _ := json.Marshal(list)
	return data
}

// decodeSingle decodes exactly one JSON value.
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

// problems collects the validation errors of a list.
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

// checkVM validates the fields of a VM, those that depend on its role included.
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

// checkEvacuated validates the names of evacuated failure domains.
func checkEvacuated(domains []string, found *problems) {
	for _, domain := range domains {
		checkName(&VM{}, "evacuated domain", domain, found)
	}
}

// checkName accepts printable names without spaces, which need no quotes in log lines, tables and
// headers.
func checkName(vm *VM, field, name string, found *problems) {
	invalid := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	switch {
	case name == "":
		found.add(vm, "%s is empty", field)
	case len(name) > maxNameBytes:
		found.add(vm, "%s is longer than %d bytes", field, maxNameBytes)
	case strings.ContainsFunc(name, invalid):
		found.add(vm, "%s %q contains a space or an unprintable character", field, name)
	}
}

// checkAddress accepts an IP address with a port. Host names would make every request depend on a
// name service.
func checkAddress(vm *VM, field, address string, found *problems) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		found.add(vm, "%s %q is not an IP:port", field, address)
	}
}
