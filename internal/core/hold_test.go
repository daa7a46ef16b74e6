package core

import (
	"errors"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// Guards against a revision that each step from entry to entry delays by the time to parse it: peers
// are told of it as soon as they can fetch it, and no longer once it is refused.
func TestHeldRevisionIsAnnouncedUntilRefused(t *testing.T) {
	c, now := coreWithEntries(20), 2*time.Second
	announced := func() uint64 { return c.OwnStatus().Profiles.Revision }
	mark := message.Mark{Revision: 5, Digest: 55}
	var out Actions
	if !c.Hold(now, mark, &out) || announced() != 5 || len(out.Updates) == 0 {
		t.Fatalf("revision %d is announced in %d messages", announced(), len(out.Updates))
	}
	if c.InForce(published.ProfilesValue).Revision != 0 {
		t.Error("a held revision is in force")
	}
	if c.Hold(now, mark, &out) || c.Hold(now, message.Mark{Revision: 4, Digest: 44}, &out) {
		t.Error("a revision that is no later is held")
	}
	c.Offer(now, OfferedValue{Name: published.ProfilesValue, Mark: mark, Source: 10, Problem: errors.New("no routes")}, &out)
	if announced() != 0 {
		t.Errorf("revision %d is announced after it was refused", announced())
	}
	if c.Hold(now, mark, &out) {
		t.Error("a refused revision is held")
	}
	next := message.Mark{Revision: 6, Digest: 66}
	if !c.Hold(now, next, &out) {
		t.Fatal("a later revision is not held")
	}
	c.Offer(now, OfferedValue{Name: published.ProfilesValue, Mark: next, Source: 10, Profiles: manyRoutes(t, 3, 6, 100)}, &out)
	if announced() != 6 || c.InForce(published.ProfilesValue) != next {
		t.Errorf("revision %d is announced, %d in force", announced(), c.InForce(published.ProfilesValue).Revision)
	}
}
