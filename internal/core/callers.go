package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/core/directory"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// EntryChoice is one entry in the answer to a caller that asks for entries.
type EntryChoice struct {
	directory.Choice
	Name string
	// KeyPrefix is the prefix of idempotency keys whose home is the entry.
	KeyPrefix string
}

// EntriesFor returns the entries that a caller should use for a service. known is false if no such
// service is published.
func (c *Core) EntriesFor(now time.Duration, req directory.Request) (choices []EntryChoice, ttl time.Duration, known bool) {
	sv, ok := c.services[req.Service]
	if !ok {
		return nil, 0, false
	}
	view := c.directoryView(sv)
	answer := view.Answer(req)
	for _, choice := range answer.Entries {
		choices = append(choices, EntryChoice{
			Choice:    choice,
			Name:      c.entryName(choice.Incarnation),
			KeyPrefix: idem.Prefix(choice.Incarnation, choice.Epoch),
		})
	}
	return choices, answer.TTL, true
}

// enoughNearby is how many entries in a caller's own failure domain make it unnecessary to name
// others.
const enoughNearby = 2

// These constants bound how many entries of a failure domain are named to callers. Each serving
// entry opens its own connections to endpoints and learns their load from its own requests;
// hundreds of entries with a few requests per second each know little and open a connection for
// nearly every request. minNamedEntries is enough for several to remain when half of them are lost
// at once. More are named as the domain's calls require: callsPerCore is what an entry handles on
// small VMs, where a call with its load probes and wake-ups takes up to two milliseconds of a core,
// and peakHeadroom leaves capacity for peaks, for callers that repeat, and for garbage collection
// on a sixth of a core.
const (
	minNamedEntries = 8
	callsPerCore    = 500
	peakHeadroom    = 5
)

// settlingTime is how long an entry that has started to serve may not know all other entries yet,
// and settlingTTL how long callers may keep its answers meanwhile. They guard against callers that
// ask right after all entries were restarted: the entry that answers knows no other entry yet, and
// the callers would use only this one for seconds. The links of a fleet open within half a second.
const (
	settlingTime = 1500 * time.Millisecond
	settlingTTL  = 500 * time.Millisecond
)

// AnswersTTL returns how long callers may keep an answer about which entries to use.
func (c *Core) AnswersTTL(now time.Duration) time.Duration {
	if c.state == message.EntryStarting || now < c.servingSince+settlingTime {
		return min(c.cfg.AnswersTTL, settlingTTL)
	}
	return c.cfg.AnswersTTL
}

// EntriesNear returns the addresses of up to most entries that are live, ready and not leaving, for
// a caller in a failure domain. It names the entries with the most capacity in the caller's own
// domain, and others only if that domain has fewer than enoughNearby: an entry in another domain
// would send the caller's requests to endpoints there. If all of these entries are suspected, it
// names the suspected ones, so that an entry that is alone still names itself. Entries that reach no
// endpoint are left out unless most reach none.
func (c *Core) EntriesNear(domain string, most int) []string {
	var near, far []*member.Entry
	var suspected []string
	leaveOutCut := c.leavesOutCutEntries()
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		switch {
		case !c.mayBeNamed(e), leaveOutCut && c.reportsNoEndpoint(e.VM.Incarnation):
		case e.Suspected:
			suspected = append(suspected, e.VM.Address)
		case e.VM.Domain == domain:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	named := c.strongestEntries(near)
	if len(near) < enoughNearby {
		named = append(named, c.strongestEntries(far)...)
	}
	if len(named) == 0 {
		named = suspected
	}
	return named[:min(most, len(named))]
}

// strongestEntries returns the addresses of the entries that callers should use, out of entries
// that could serve them: those with the most capacity, as many as needed for the weakest of them to
// handle an equal share of all calls, since callers choose evenly. Every entry that answers callers
// returns the same addresses.
func (c *Core) strongestEntries(entries []*member.Entry) []string {
	calls := 0.0
	for _, e := range entries {
		calls += c.rateOf(e)
	}
	slices.SortFunc(entries, func(a, b *member.Entry) int {
		return cmp.Or(cmp.Compare(c.capacityOf(b), c.capacityOf(a)), cmp.Compare(assignID(a.VM.Name), assignID(b.VM.Name)))
	})
	var named []string
	for i, e := range entries {
		named = append(named, e.VM.Address)
		share := peakHeadroom * calls / float64(i+1)
		if i+1 >= minNamedEntries && share <= callsPerCore*float64(c.capacityOf(e))/1000 {
			break
		}
	}
	return named
}

// rateOf returns the calls per second that an entry last reported.
func (c *Core) rateOf(e *member.Entry) float64 {
	if e.VM.Incarnation == c.cfg.Self.Incarnation {
		return float64(c.fleet.rate)
	}
	if p := c.fleet.peers[e.VM.Incarnation]; p != nil {
		return float64(p.update.Rate)
	}
	return 0
}

// capacityOf returns the capacity of an entry's VM in thousandths of a core.
func (c *Core) capacityOf(e *member.Entry) uint32 {
	if r := c.fleet.gossip.Latest(e.VM.Name); r != nil {
		return r.Capacity
	}
	return 0
}

// mayBeNamed reports whether an entry is known to serve callers.
func (c *Core) mayBeNamed(e *member.Entry) bool {
	if e.VM.Incarnation == c.cfg.Self.Incarnation {
		return c.state == message.EntryServing
	}
	p, heard := c.fleet.peers[e.VM.Incarnation]
	return heard && p.update.State == message.EntryServing && e.State == message.EntryServing && e.VM.State != published.Leaving
}

// directoryView lists the entries with their known state and load.
func (c *Core) directoryView(sv *service) directory.View {
	f := &c.fleet
	view := directory.View{
		Self:    c.cfg.Self.Incarnation,
		Region:  c.cfg.Self.Region,
		Serving: c.serviceEntries(sv),
		MaxTTL:  c.cfg.AnswersTTL,
	}
	leaveOutCut := c.leavesOutCutEntries()
	for i := range f.entries {
		e := &f.entries[i]
		row := directory.Entry{
			Incarnation: e.VM.Incarnation,
			Address:     e.VM.Address,
			Region:      e.VM.Region,
			Domain:      e.VM.Domain,
			Leaving:     e.State != message.EntryServing || e.VM.State == published.Leaving,
			Suspected:   e.Suspected || leaveOutCut && c.reportsNoEndpoint(e.VM.Incarnation),
		}
		if e.VM.Incarnation == c.cfg.Self.Incarnation {
			row.Epoch, row.Load = c.keys.Epoch(), c.ownLoad()
			row.Leaving = c.state != message.EntryServing
		} else if p, ok := f.peers[e.VM.Incarnation]; ok {
			row.Epoch, row.Load = p.update.Epoch, c.loadOf(float64(p.update.Rate))
			row.Leaving = row.Leaving || p.update.State != message.EntryServing
		} else {
			continue // its epoch is unknown before its first message, so no key could be made for it
		}
		view.Entries = append(view.Entries, row)
	}
	return view
}

// loadOf returns the share of an entry's capacity that a call rate uses.
func (c *Core) loadOf(rate float64) float64 {
	return rate / c.cfg.CallsPerSecond
}

func (c *Core) ownLoad() float64 {
	return c.loadOf(float64(c.fleet.rate))
}

func (c *Core) entryName(incarnation uint64) string {
	if e := c.fleet.entry(incarnation); e != nil {
		return e.VM.Name
	}
	return ""
}

// State returns the state that this entry reports to its peers.
func (c *Core) State() message.EntryState { return c.state }

// Leave begins a planned stop: this entry is no longer named to callers, and peers are notified.
// Requests are still served.
func (c *Core) Leave(now time.Duration, why string, out *Actions) {
	if c.state >= message.EntryLeaving {
		return
	}
	c.state = message.EntryLeaving
	out.note(Note{Subject: "entry " + c.cfg.Self.Name, Action: "leaving", From: "serving", To: "leaving", Why: why})
	c.applyChanges(now, c.fleet.members.Heard(now, c.cfg.Self.Incarnation, message.EntryLeaving), "self", out)
	c.composeUpdates(now, out)
}

// Stopped marks the end of a planned stop.
func (c *Core) Stopped(now time.Duration, out *Actions) {
	c.state = message.EntryStopped
	c.composeUpdates(now, out)
}

// UsableEntries returns how many entries can be named to callers: this entry, if it serves, and the
// serving entries that it has heard from.
func (c *Core) UsableEntries() int {
	n := 0
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		self := e.VM.Incarnation == c.cfg.Self.Incarnation
		if p, heard := c.fleet.peers[e.VM.Incarnation]; self && c.state == message.EntryServing || heard && p.update.State == message.EntryServing {
			n++
		}
	}
	return n
}
