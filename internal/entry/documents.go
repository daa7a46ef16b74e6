package entry

import (
	"sync"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// documentPartBytes is the size of the parts in which peers fetch a value. A part
// takes a small VM's link for a moment only, and a call for it ends within its timeout however long
// the list is.
const documentPartBytes = 32 << 10

// documents has the values that peers fetch.
type documents struct {
	profiles texts

	mu  sync.Mutex
	vms published.History

	// packing guards snapshot and is taken before mu.
	packing  sync.Mutex
	snapshot snapshot
}

// snapshot is a value at one revision, as peers fetch it. That of the packed list of VMs serves
// later fetches as long as differences lead from its revision to the list in force, so that the
// list is not packed anew while peers fetch its parts.
type snapshot struct {
	revision uint64
	data     []byte
}

func (d *documents) putVMs(list published.VMList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Revision > d.vms.Revision() {
		d.vms.Replace(list)
	}
}

// checkFit returns an error if a difference does not lead from the list in force to that of its
// maker.
func (d *documents) checkFit(difference *published.Difference) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vms.CheckFit(difference)
}

func (d *documents) applyDifference(difference *published.Difference) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms.Apply(difference)
}

// list returns the list of VMs in force.
func (d *documents) list() published.VMList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vms.List()
}

// revision returns the latest revision of a value that peers can fetch, 0 for none.
func (d *documents) revision(name string) uint64 {
	if name != published.VMsValue {
		return d.profiles.latest().Revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vms.Revision()
}

// hasRevision reports whether this entry can use the difference of a value from a revision.
func (d *documents) hasRevision(name string, revision uint64) bool {
	if revision == 0 {
		return false
	}
	if name != published.VMsValue {
		return d.profiles.find(revision).Revision == revision
	}
	return d.revision(name) == revision
}

// answer returns the document for a peer that has revision f.After and asks for a later one.
func (d *documents) answer(f message.Fetch) (message.Document, error) {
	answer := message.Document{Name: f.Name, Revision: d.revision(f.Name)}
	switch {
	case answer.Revision == 0:
		return message.Document{}, fault.New(fault.NotFound, "ask another peer or the platform", "no revision of %s is known here", f.Name)
	case answer.Revision <= f.After:
		return answer, nil
	case f.Name != published.VMsValue:
		return d.profiles.part(f)
	case !f.Packed: // a peer of an earlier release
		list := d.list()
		answer.Revision, answer.Data = list.Revision, published.EncodeVMs(list)
		return answer, nil
	}
	if f.Difference {
		if difference, ok := d.since(f.After); ok {
			return difference, nil
		}
	}
	return d.listPart(f)
}

// since returns the difference from a revision to the list in force, if it fits into one part.
func (d *documents) since(after uint64) (message.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	difference, ok := d.vms.Since(after)
	if !ok {
		return message.Document{}, false
	}
	data := published.PackDifference(&difference)
	return message.Document{
		Name: published.VMsValue, Revision: difference.Revision, Data: data, Difference: true, Packed: true, Size: len(data),
	}, len(data) <= documentPartBytes
}

// listPart returns the part of the packed list that begins at f.Offset.
func (d *documents) listPart(f message.Fetch) (message.Document, error) {
	d.packing.Lock()
	defer d.packing.Unlock()
	if f.Offset == 0 {
		d.refreshSnapshot(f.After)
	}
	part, err := partOf(f, d.snapshot)
	part.Packed = true
	return part, err
}

// partOf returns the part of a value that begins at f.Offset. All parts of a value are of one
// revision.
func partOf(f message.Fetch, s snapshot) (message.Document, error) {
	if s.revision == 0 || f.Offset != 0 && f.Revision != s.revision || f.Offset < 0 || f.Offset > len(s.data) {
		return message.Document{}, notKept(f)
	}
	return message.Document{
		Name: f.Name, Revision: s.revision, Size: len(s.data), Data: s.data[f.Offset:min(f.Offset+documentPartBytes, len(s.data))],
	}, nil
}

// refreshSnapshot packs the list in force unless the snapshot is later than a revision and
// differences lead from it to the list in force.
func (d *documents) refreshSnapshot(after uint64) {
	d.mu.Lock()
	_, followed := d.vms.Since(d.snapshot.revision)
	current := d.snapshot.revision == d.vms.Revision()
	if d.snapshot.revision > after && (current || followed) {
		d.mu.Unlock()
		return
	}
	list := d.vms.List()
	d.mu.Unlock()
	d.snapshot = snapshot{list.Revision, published.PackList(list)}
}
