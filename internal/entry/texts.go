package entry

import (
	"slices"
	"sync"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// texts has the revisions of the profiles that peers fetch from this entry. The latest one may still
// be on its way into force here: peers get it without waiting for that.
type texts struct {
	mu sync.Mutex
	// kept are the latest revision and earlier ones, with which later ones are packed. The latest is
	// the last.
	kept []published.Text
	// packed are packed texts of which peers fetched a part most recently, the latest the last. A peer
	// gets the remaining parts although the profiles change meanwhile.
	packed []packedRevision
}

// packedRevision is a packed text with the revision that the receiver needs, 0 for none.
type packedRevision struct {
	after, revision uint64
	data            []byte
}

// Bounds of texts.
const (
	maxPacked = 4
	// keptTextBytes bounds the earlier revisions that are kept. The one before the latest is always
	// kept.
	keptTextBytes = 2 << 20
)

// add adds a text if it is later than all others. packed is the form in which a peer sent it with the
// difference from revision after, nil if there is none.
func (t *texts) add(text published.Text, after uint64, packed []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if text.Revision <= t.latestLocked().Revision {
		return
	}
	t.kept = append(t.kept, text)
	size := 0
	for i := len(t.kept) - 3; i >= 0; i-- {
		if size += len(t.kept[i].Data); size > keptTextBytes {
			t.kept = slices.Delete(t.kept, 0, i+1)
			break
		}
	}
	if packed != nil {
		t.use(packedRevision{after, text.Revision, packed})
	}
}

// drop removes a text that was refused.
func (t *texts) drop(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept = slices.DeleteFunc(t.kept, func(kept published.Text) bool { return kept.Revision == revision })
}

// latest returns the latest text.
func (t *texts) latest() published.Text {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestLocked()
}

func (t *texts) latestLocked() published.Text {
	if len(t.kept) == 0 {
		return published.Text{}
	}
	return t.kept[len(t.kept)-1]
}

// find returns the text of a revision, or none.
func (t *texts) find(revision uint64) published.Text {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.findLocked(revision)
}

func (t *texts) findLocked(revision uint64) published.Text {
	if i := slices.IndexFunc(t.kept, func(kept published.Text) bool { return kept.Revision == revision }); i >= 0 {
		return t.kept[i]
	}
	return published.Text{}
}

// part returns the part of the profiles for which a peer asks.
func (t *texts) part(f message.Fetch) (message.Document, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.latestLocked()
	if f.Compressed {
		return t.packedPart(f, latest)
	}
	// A peer of an earlier release gets the plain text, in parts or as a whole.
	if !f.Packed {
		return message.Document{Name: f.Name, Revision: latest.Revision, Data: latest.Data}, nil
	}
	if f.Offset > 0 {
		latest = t.findLocked(f.Revision)
	}
	return partOf(f, snapshot{latest.Revision, latest.Data})
}

// packedPart returns a part of a packed text. The first part decides which text that is.
func (t *texts) packedPart(f message.Fetch, latest published.Text) (message.Document, error) {
	var p packedRevision
	if f.Offset == 0 {
		var after published.Text
		if f.Difference {
			after = t.findLocked(f.After)
		}
		p = t.takePacked(after.Revision, latest.Revision)
		if p.data == nil {
			p = packedRevision{after.Revision, latest.Revision, published.PackText(latest.Data, after)}
		}
	} else {
		if f.Difference {
			p = t.takePacked(f.After, f.Revision)
		}
		if p.data == nil {
			p = t.takePacked(0, f.Revision)
		}
		if p.data == nil {
			return message.Document{}, notKept(f)
		}
	}
	t.use(p)
	part, err := partOf(f, snapshot{p.revision, p.data})
	part.Compressed = true
	return part, err
}

// takePacked removes and returns a packed text, if it is kept.
func (t *texts) takePacked(after, revision uint64) packedRevision {
	i := slices.IndexFunc(t.packed, func(p packedRevision) bool { return p.after == after && p.revision == revision })
	if i < 0 {
		return packedRevision{}
	}
	p := t.packed[i]
	t.packed = slices.Delete(t.packed, i, i+1)
	return p
}

// use makes a packed text the latest used one.
func (t *texts) use(p packedRevision) {
	t.packed = append(t.packed, p)
	t.packed = slices.Delete(t.packed, 0, max(0, len(t.packed)-maxPacked))
}

func notKept(f message.Fetch) error {
	return fault.New(fault.NotFound, "fetch the value from its beginning", "revision %s of %s is no longer kept here", published.RevisionText(f.Revision), f.Name)
}
