package core

import (
	"errors"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Guards against an entry that reports itself behind forever: it once read an unreadable text from
// the configuration service, does not read the configuration service any more, and has a later
// revision from a peer.
func TestEntryIsNotBehindOnceUnreadableTextIsReplaced(t *testing.T) {
	h := newEntryHarness(t, idleEndpoints(1, "d0")...)
	h.publish(1, harnessRoutes())
	reason := func() Reason { return h.AdmitRoute("nowhere", "/x").Reason }
	if got := reason(); got != ReasonUnknownService {
		t.Fatalf("before the unreadable text: %v", got)
	}
	h.do(func(out *Actions) { h.Unreadable(published.ProfilesValue, errors.New("cut short"), out) })
	if got := reason(); got != ReasonBehind {
		t.Errorf("while the platform's text is unreadable: %v", got)
	}
	inForce := h.snapshot
	h.do(func(out *Actions) {
		mark := message.Mark{Revision: 2, Digest: 2}
		h.Offer(h.now+time.Second, OfferedValue{Name: published.ProfilesValue, Mark: mark, Source: assign.Platform + 7, Profiles: inForce}, out)
	})
	if got := reason(); got != ReasonUnknownService {
		t.Errorf("with a later revision from a peer: %v", got)
	}
}
