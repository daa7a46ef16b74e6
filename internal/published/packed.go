package published

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tealhall/tealhall/internal/fault"
)

// packedRows is the form of rows between entries. The rows of thousands of endpoints differ in few
// fields, so what many have in common is there once: a row takes about a quarter of the bytes of
// its JSON form and a tenth of the time to decode. A release may add keys; it must not change the
// meaning of an existing one.
type packedRows struct {
	// Kinds are the distinct rows without name, incarnation, address and order of registration.
	Kinds []VM `cbor:"1,keyasint,omitempty"`
	// The following have one element for each row; Kind is an index of Kinds.
	Kind         []uint32 `cbor:"2,keyasint,omitempty"`
	Names        []string `cbor:"3,keyasint,omitempty"`
	Incarnations []uint64 `cbor:"4,keyasint,omitempty"`
	Addresses    []string `cbor:"5,keyasint,omitempty"`
	// Gone, After and Digest are set in differences only.
	Gone      []string `cbor:"6,keyasint,omitempty"`
	Evacuated []string `cbor:"7,keyasint,omitempty"`
	After     uint64   `cbor:"8,keyasint,omitempty"`
	Digest    uint64   `cbor:"9,keyasint,omitempty"`
	// Registered has one element for each row, or none.
	Registered []uint64 `cbor:"10,keyasint,omitempty"`
	// GoneMillis has one element for each of Gone, or none.
	GoneMillis []uint32 `cbor:"11,keyasint,omitempty"`
}

// decodePacked limits the number of rows of one message.
var decodePacked = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxPackedRows}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// maxPackedRows bounds the rows of a list between entries.
const maxPackedRows = 1 << 20

// PackList encodes a list for UnpackList.
func PackList(list VMList) []byte {
	p := packRows(list.VMs)
	p.Evacuated = list.Evacuated
	return p.encode()
}

// UnpackList decodes and validates a list that PackList encoded.
func UnpackList(revision uint64, data []byte) (VMList, error) {
	p, rows, err := unpack(data)
	if err != nil {
		return VMList{}, err
	}
	list := VMList{Revision: revision, VMs: rows, Evacuated: p.Evacuated}
	if err := list.check(); err != nil {
		return VMList{}, err
	}
	return list, nil
}

// PackDifference encodes a difference for UnpackDifference.
func PackDifference(d *Difference) []byte {
	p := packRows(d.Rows)
	p.Gone, p.Evacuated, p.After, p.Digest = d.Gone, d.Evacuated, d.After, d.Digest
	for _, age := range d.GoneAges {
		p.GoneMillis = append(p.GoneMillis, uint32(min(max(age.Milliseconds(), 0), math.MaxUint32)))
	}
	return p.encode()
}

// UnpackDifference decodes and validates a difference that PackDifference encoded.
func UnpackDifference(revision uint64, data []byte) (Difference, error) {
	p, rows, err := unpack(data)
	if err != nil {
		return Difference{}, err
	}
	d := Difference{After: p.After, Revision: revision, Rows: rows, Gone: p.Gone, Evacuated: p.Evacuated, Digest: p.Digest}
	for _, millis := range p.GoneMillis {
		d.GoneAges = append(d.GoneAges, time.Duration(millis)*time.Millisecond)
	}
	return d, d.Check()
}

func packRows(rows []VM) packedRows {
	p := packedRows{
		Kind: make([]uint32, len(rows)), Names: make([]string, len(rows)),
		Incarnations: make([]uint64, len(rows)), Addresses: make([]string, len(rows)), Registered: make([]uint64, len(rows)),
	}
	kinds := make(map[VM]uint32)
	for i, vm := range rows {
		p.Names[i], p.Incarnations[i], p.Addresses[i], p.Registered[i] = vm.Name, vm.Incarnation, vm.Address, vm.Registered
		vm.Name, vm.Incarnation, vm.Address, vm.Registered = "", 0, "", 0
		kind, found := kinds[vm]
		if !found {
			kind = uint32(len(p.Kinds))
			kinds[vm] = kind
			p.Kinds = append(p.Kinds, vm)
		}
		p.Kind[i] = kind
	}
	return p
}

func (p *packedRows) encode() []byte {
	data, _ := cbor.Marshal(p) // strings, numbers and booleans only, which always encode
	return data
}

// unpack decodes rows without validating them.
func unpack(data []byte) (packedRows, []VM, error) {
	var p packedRows
	if err := decodePacked.Unmarshal(data, &p); err != nil {
		return p, nil, fault.Wrap(err, fault.BadMessage, remedyPacked, "packed rows of the VM list are not readable")
	}
	n := len(p.Kind)
	if len(p.Registered) == 0 {
		p.Registered = make([]uint64, n) // of a release that does not know the order of registration
	}
	if len(p.Names) != n || len(p.Incarnations) != n || len(p.Addresses) != n || len(p.Registered) != n {
		return p, nil, fault.New(fault.BadMessage, remedyPacked, "packed rows of the VM list have columns of different lengths")
	}
	rows := make([]VM, n)
	for i, kind := range p.Kind {
		if int(kind) >= len(p.Kinds) {
			return p, nil, fault.New(fault.BadMessage, remedyPacked, "a packed row of the VM list has no kind")
		}
		rows[i] = p.Kinds[kind]
		rows[i].Name, rows[i].Incarnation, rows[i].Address, rows[i].Registered = p.Names[i], p.Incarnations[i], p.Addresses[i], p.Registered[i]
	}
	return p, rows, nil
}

const remedyPacked = "ask another peer or the platform"
