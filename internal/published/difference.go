package published

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/fault"
)

// Difference leads from the list of VMs at one revision to the list at a later one. Its size, and
// the work to apply it, depend on the changed rows only.
//
// Because it contains the final state of each changed row, it also applies to the lists of all
// revisions between After and its own.
type Difference struct {
	// After is the earliest revision to which the difference applies, Revision that of the result.
	After, Revision uint64
	// Rows are the new and changed rows, Gone the names of the removed ones.
	Rows []VM
	Gone []string
	// GoneAges is for how long each of Gone was known to be removed when the difference was made;
	// empty if its maker does not know.
	GoneAges []time.Duration
	// Evacuated are the evacuated failure domains of the resulting list.
	Evacuated []string
	// Digest is the digest of the resulting list.
	Digest uint64
}

// GoneAge returns the i-th of GoneAges, 0 if they are not known.
func (d *Difference) GoneAge(i int) time.Duration {
	if i >= len(d.GoneAges) {
		return 0
	}
	return d.GoneAges[i]
}

// Backdate records that each of Gone may have been removed as long ago as age.
func (d *Difference) Backdate(age time.Duration) {
	ages := make([]time.Duration, len(d.Gone))
	for i := range ages {
		ages[i] = max(age, d.GoneAge(i))
	}
	d.GoneAges = ages
}

// Check validates the rows of a difference that another process made.
func (d *Difference) Check() error {
	var found problems
	for i := range d.Rows {
		checkVM(&d.Rows[i], &found)
	}
	checkEvacuated(d.Evacuated, &found)
	if found.count > 0 {
		return fault.New(fault.BadMessage, remedyDifference, "the difference between two VM lists is unusable: %s", found.texts[0])
	}
	return nil
}

const remedyDifference = "ask for the whole list"

// digest identifies the content of a list independently of the order of its rows: it is the
// exclusive or of the hashes of all rows, so one changed row changes it in constant time.
type digest uint64

// toggle adds a row, or removes it again.
func (d *digest) toggle(vm VM) {
	var hash xxhash.Digest
	hash.Reset()
	for _, field := range [...]string{
		vm.Name, string(vm.Role), string(vm.State), vm.Region, vm.Domain, vm.Address, vm.PeerAddress, vm.Pool,
	} {
		writeField(&hash, field)
	}
	var numbers [25]byte
	binary.LittleEndian.PutUint64(numbers[:], vm.Incarnation)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(vm.Slots))
	if vm.Cold {
		numbers[16] = 1
	}
	binary.LittleEndian.PutUint64(numbers[17:], vm.Registered)
	hash.Write(numbers[:])
	*d ^= digest(hash.Sum64())
}

// withDomains returns the digest of the rows together with the evacuated failure domains.
func (d digest) withDomains(evacuated []string) uint64 {
	if len(evacuated) == 0 {
		return uint64(d)
	}
	var hash xxhash.Digest
	hash.Reset()
	for _, domain := range slices.Sorted(slices.Values(evacuated)) {
		writeField(&hash, domain)
	}
	return uint64(d) ^ hash.Sum64()
}

// writeField writes a text with an end mark, which no name or address contains.
func writeField(hash *xxhash.Digest, text string) {
	hash.WriteString(text)
	hash.Write([]byte{0})
}

// Digest returns the digest of the list, which does not depend on the order of its rows.
func (l *VMList) Digest() uint64 {
	var rows digest
	for _, vm := range l.VMs {
		rows.toggle(vm)
	}
	return rows.withDomains(l.Evacuated)
}
