package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// deferral is the answer of a peer that sends to others now.
type deferral struct{ wait time.Duration }

// Error implements error.
func (d *deferral) Error() string { return fmt.Sprintf("the peer sends to others for %v", d.wait) }

// fetchFromPeer fetches a published value from a peer. It reports whether the peer answered, or after
// which time it can be asked again.
func (e *Entry) fetchFromPeer(ctx context.Context, f core.Fetch) (answered bool, deferred time.Duration) {
	request := message.Fetch{
		Name: f.Name, After: f.After, Packed: true, Compressed: true, MayDefer: f.Planned, Difference: e.documents.hasRevision(f.Name, f.After),
	}
	fits, err := e.fetchAndOffer(ctx, f, request)
	if request.Difference && (!fits || fault.KindOf(err) == fault.BadMessage) {
		request.Difference = false
		_, err = e.fetchAndOffer(ctx, f, request)
	}
	if busy := (*deferral)(nil); errors.As(err, &busy) {
		return true, busy.wait
	}
	if err != nil {
		klog.V(1).InfoS("could not fetch a value from a peer", "peer", f.Address, "value", f.Name, "err", err)
		return fault.KindOf(err) == fault.NotFound, 0
	}
	return true, 0
}

// fetchAndOffer fetches a value and offers it to the core. It returns false if a difference does not
// fit the list in force.
func (e *Entry) fetchAndOffer(ctx context.Context, f core.Fetch, request message.Fetch) (fits bool, err error) {
	d, err := e.fetchParts(ctx, f, request)
	if err != nil {
		return true, err
	}
	e.fetchReceived(f, 0, true)
	after := published.Text{}
	if request.Difference && d.Compressed {
		after = e.documents.profiles.find(f.After)
	}
	v, err := decodeDocument(d, after)
	if err != nil || v.Unchanged() {
		return true, err
	}
	if d.Compressed {
		e.hold(v, after.Revision, d.Data)
	}
	return e.offer(v, f.Source), nil
}

// decodeDocument decodes a peer's whole document; after is the text with which it may be packed. The
// difference that an entry of an earlier release sends is of another form and not read.
func decodeDocument(d message.Document, after published.Text) (published.Value, error) {
	v := published.Value{Name: d.Name, Revision: d.Revision}
	switch {
	case len(d.Data) == 0:
		return v, nil
	case d.Compressed:
		text, err := published.UnpackText(d.Data, after)
		v.Data = text
		return v, err
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
	if err == nil && whole.Size > published.MaxDocumentBytes {
		return whole, fault.New(fault.BadMessage, "check the peer", "value %s has %d bytes, at most %d are accepted", f.Name, whole.Size, published.MaxDocumentBytes)
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
	switch {
	case err != nil:
		return part, err
	case part.AskAgainMillis > 0:
		return part, &deferral{time.Duration(part.AskAgainMillis) * time.Millisecond}
	}
	e.fetchReceived(f, len(part.Data), false)
	return part, nil
}
