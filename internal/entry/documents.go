package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// documentPartBytes is the size of the parts in which peers fetch a value. A part
// takes a small VM's link for a moment only, and a call for it ends within its timeout however long
// the list is.
const documentPartBytes = 64 << 10

// maxDocumentBytes bounds the value that an entry accepts from a peer. A list of some hundred
// thousand VMs has this size.
const maxDocumentBytes = 16 << 20

// documents has the values in force, which peers fetch.
type documents struct {
	mu       sync.Mutex
	profiles published.Value
	vms      published.History
	// served are the revisions of the profiles of which peers fetched a part most recently, the
	// latest last. A peer gets the remaining parts although the profiles change meanwhile.
	served []snapshot

	// packing guards snapshot and is taken before mu.
	packing  sync.Mutex
	snapshot snapshot
}

// maxServed bounds the revisions of the profiles that are kept for peers.
const maxServed = 4

// snapshot is a value at one revision, as peers fetch it. That of the packed list of VMs serves
// later fetches as long as differences lead from its revision to the list in force, so that the
// list is not packed anew while peers fetch its parts.
type snapshot struct {
	revision uint64
	data     []byte
}

func (d *documents) putProfiles(v published.Value) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.profiles = v
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

// revision returns the revision of a value that is in force, 0 for none.
func (d *documents) revision(name string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if name == published.VMsValue {
		return d.vms.Revision()
	}
	return d.profiles.Revision
}

// answer returns the document for a peer that has revision f.After and asks for a later one.
func (d *documents) answer(f message.Fetch) (message.Document, error) {
	answer := message.Document{Name: f.Name, Revision: d.revision(f.Name)}
	switch {
	case answer.Revision == 0:
		return message.Document{}, fault.New(fault.NotFound, "ask another peer or the platform", "no revision of %s is in force here", f.Name)
	case answer.Revision <= f.After:
		return answer, nil
	case f.Name != published.VMsValue:
		return d.profilesPart(f)
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

// profilesPart returns the part of the profiles that begins at f.Offset, or all of them for a peer
// of an earlier release.
func (d *documents) profilesPart(f message.Fetch) (message.Document, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !f.Packed {
		return message.Document{Name: f.Name, Revision: d.profiles.Revision, Data: d.profiles.Data}, nil
	}
	asked := snapshot{d.profiles.Revision, d.profiles.Data}
	if i := slices.IndexFunc(d.served, func(s snapshot) bool { return f.Offset > 0 && s.revision == f.Revision }); i >= 0 {
		asked = d.served[i]
	}
	d.served = slices.DeleteFunc(d.served, func(s snapshot) bool { return s.revision == asked.revision })
	d.served = append(d.served, asked)
	d.served = slices.Delete(d.served, 0, max(0, len(d.served)-maxServed))
	return partOf(f, asked)
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
	if f.Offset != 0 && f.Revision != s.revision || f.Offset < 0 || f.Offset > len(s.data) {
		return message.Document{}, fault.New(fault.NotFound, "fetch the value from its beginning", "revision %s of %s is no longer kept here",
			published.RevisionText(f.Revision), f.Name)
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

// fetchFromPeer fetches a published value from a peer. It reports whether the peer answered.
func (e *Entry) fetchFromPeer(ctx context.Context, f core.Fetch) bool {
	request := message.Fetch{Name: f.Name, After: f.After, Packed: true, Difference: f.After > 0 && e.documents.revision(f.Name) == f.After}
	fits, err := e.fetchAndOffer(ctx, f, request)
	if request.Difference && (!fits || fault.KindOf(err) == fault.BadMessage) {
		request.Difference = false
		_, err = e.fetchAndOffer(ctx, f, request)
	}
	if err != nil {
		klog.V(1).InfoS("could not fetch a value from a peer", "peer", f.Address, "value", f.Name, "err", err)
		return fault.KindOf(err) == fault.NotFound
	}
	return true
}

// fetchAndOffer fetches a value and offers it to the core. It returns false if a difference does not
// fit the list in force.
func (e *Entry) fetchAndOffer(ctx context.Context, f core.Fetch, request message.Fetch) (fits bool, err error) {
	d, err := e.fetchParts(ctx, f, request)
	if err != nil {
		return true, err
	}
	e.fetchReceived(f, 0, true)
	v, err := decodeDocument(d)
	if err != nil || v.Unchanged() {
		return true, err
	}
	return e.offer(v, f.Source), nil
}

// decodeDocument decodes a peer's whole document. The difference that an entry of an earlier release
// sends is of another form and not read.
func decodeDocument(d message.Document) (published.Value, error) {
	v := published.Value{Name: d.Name, Revision: d.Revision}
	switch {
	case len(d.Data) == 0:
		return v, nil
	case d.Difference && !d.Packed:
		return v, fault.New(fault.BadMessage, "fetch the whole value", "the difference of %s has the form of an earlier release", d.Name)
	case d.Difference:
		difference, err := published.UnpackDifference(d.Revision, d.Data)
		v.Difference = &difference
		return v, err
	case d.Packed:
		list, err := published.UnpackList(d.Revision, d.Data)
		v.List = &list
		return v, err
	}
	v.Data = d.Data
	return v, nil
}

// fetchParts fetches all parts of a document. It ends without data once the revision is in force,
// which it may be by another fetch.
func (e *Entry) fetchParts(ctx context.Context, f core.Fetch, request message.Fetch) (message.Document, error) {
	whole, err := e.fetchPart(ctx, f, request)
	if err == nil && whole.Size > maxDocumentBytes {
		return whole, fault.New(fault.BadMessage, "check the peer", "value %s has %d bytes, at most %d are accepted", f.Name, whole.Size, maxDocumentBytes)
	}
	request.Revision = whole.Revision
	for err == nil && len(whole.Data) < whole.Size {
		if e.documents.revision(f.Name) >= whole.Revision {
			whole.Data = nil
			break
		}
		request.Offset = len(whole.Data)
		var part message.Document
		part, err = e.fetchPart(ctx, f, request)
		if err == nil && (part.Revision != whole.Revision || len(part.Data) == 0) {
			err = fault.New(fault.BadMessage, "check the peer", "value %s ended after %d of %d bytes", f.Name, request.Offset, whole.Size)
		}
		whole.Data = append(whole.Data, part.Data...)
	}
	return whole, err
}

// fetchReceived tells the core that the source of a fetch sent a part of its answer of the given
// size, and whether the answer is complete.
func (e *Entry) fetchReceived(f core.Fetch, bytes int, complete bool) {
	if f.Planned {
		e.engine.event(func(now time.Duration, c *core.Core, _ *core.Actions) { c.FetchReceived(now, f, bytes, complete) })
	}
}

// fetchPart makes one call. Each part has fetchTimeout of its own.
func (e *Entry) fetchPart(ctx context.Context, f core.Fetch, request message.Fetch) (message.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	part, err := e.links.Fetch(ctx, f.Address, request)
	if err == nil {
		e.fetchReceived(f, len(part.Data), false)
	}
	return part, err
}
