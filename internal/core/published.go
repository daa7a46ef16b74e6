package core

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
)

// OfferedValue is a parsed published value that the driver got from the configuration service or a
// peer. Parsing depends only on the text, so all entries accept and refuse the same values.
type OfferedValue struct {
	// Name is published.ProfilesValue or published.VMsValue.
	Name string
	Mark message.Mark
	// Source is assign.Platform or the incarnation of a peer.
	Source uint64
	// Profiles or VMs is the parsed text, unless Problem says why it is refused. Difference replaces
	// VMs if it leads from the list in force to the offered one. CatchUp is that of published.Value; the
	// Difference is dated back if it is put in force.
	Profiles   *profile.Snapshot
	VMs        published.VMList
	Difference *published.Difference
	CatchUp    bool
	Problem    error
}

// lateSearch is how long a revision may be known before the audit trail reports it as late.
const lateSearch = time.Second

// tracker returns the tracker of a published value.
func (c *Core) tracker(name string) *assign.Tracker {
	if name == published.VMsValue {
		return c.fleet.vms
	}
	return c.fleet.profiles
}

// Offer processes a published value. It is put in force only if its revision is later than the one
// in force and it is valid as a whole.
func (c *Core) Offer(now time.Duration, o OfferedValue, out *Actions) {
	t := c.tracker(o.Name)
	from := t.InForce().Revision
	if o.Source == assign.Platform || o.Mark.Revision > from {
		delete(c.explained.unreadable, o.Name)
	}
	note := Note{
		Actor:    c.sourceName(o.Source),
		Subject:  o.Name,
		From:     revisionText(from),
		To:       revisionText(o.Mark.Revision),
		Revision: o.Mark.Revision,
	}
	switch t.Offer(now, o.Mark, o.Source) {
	case assign.Newer:
		c.putInForce(now, t, o, note, out)
	case assign.Stale:
		c.counters.StaleProfiles++
		c.explained.staleAt[o.Name] = now
		note.Action, note.Why = "ignored", "an older revision than the one in force, from a replica that lags"
		c.noteOnce(&c.lastStale, note, out)
	case assign.Conflict:
		note.Action, note.Why = "refused", "another text under the revision in force; publish again under a new revision"
		c.noteOnce(&c.lastStale, note, out)
	}
}

// Unreadable records that the value on the configuration service cannot be read. The revision in
// force stays until the configuration service returns another value.
func (c *Core) Unreadable(name string, problem error, out *Actions) {
	text := problemText(problem)
	if c.explained.unreadable[name] == text {
		return
	}
	c.explained.unreadable[name] = text
	c.counters.RefusedDocuments++
	out.note(Note{Actor: "platform", Subject: name, Action: "refused", From: revisionText(c.InForce(name).Revision), Why: text})
}

// noteOnce drops a note that equals the last one, so that a fault which repeats with every read
// does not fill the audit trail.
func (c *Core) noteOnce(last *Note, n Note, out *Actions) {
	if *last == n {
		return
	}
	*last = n
	out.note(n)
}

func (c *Core) putInForce(now time.Duration, t *assign.Tracker, o OfferedValue, note Note, out *Actions) {
	if o.Problem != nil {
		t.Settle(o.Mark, false)
		c.counters.RefusedDocuments++
		c.explained.refused[o.Name] = problemText(o.Problem)
		note.Action, note.Why = "refused", o.Problem.Error()
		out.note(note)
		return
	}
	search, searched := t.Search()
	if !t.Settle(o.Mark, true) {
		return
	}
	note.Action = "accepted"
	var why []string
	if o.Profiles != nil && o.Profiles.Routes() != nil {
		why = slices.Clone(o.Profiles.Routes().Problems())
	}
	if known := now - search.Since; searched && o.Mark.Revision >= search.Revision && known >= lateSearch {
		why = append(why, "late: "+search.Describe(now))
	}
	note.Why = strings.Join(why, "; ")
	out.note(note)
	if o.Name == published.VMsValue {
		c.spreadEvidence(now)
		c.applyChanges(now, c.applyVMs(now, &o), note.Actor, out)
		if o.Source != assign.Platform {
			c.fleet.newEvidence = c.fleet.members.TakeEvidence(c.fleet.newEvidence[:0])
			c.fleet.gossip.LearnedFromList(now, c.fleet.newEvidence)
		}
		return
	}
	c.applySnapshot(o.Profiles, out)
	c.applyChanges(now, c.fleet.members.SetPools(now, o.Profiles.Pools()), note.Actor, out)
	c.assignServices(now)
	c.drainQueues(now, out)
}

// applyVMs applies an accepted list of VMs, or the difference that leads to it.
func (c *Core) applyVMs(now time.Duration, o *OfferedValue) []member.Change {
	if o.Difference != nil {
		if o.CatchUp {
			o.Difference.Backdate(c.unwatchedFor(now))
		}
		return c.fleet.members.ApplyDifference(now, o.Difference)
	}
	return c.fleet.members.ApplyList(now, o.VMs)
}

// problemText returns what is wrong with a document, without the remedy, which is the same for all
// documents.
func problemText(problem error) string {
	var list *profile.DocumentError
	if errors.As(problem, &list) {
		return list.Error()
	}
	return problem.Error()
}

// Confirm records that the configuration service has no later revision of the named published value
// than the one in force.
func (c *Core) Confirm(now time.Duration, name string) {
	c.tracker(name).Confirm(now)
}

// InForce returns the mark of the revision in force of the named published value.
func (c *Core) InForce(name string) message.Mark { return c.tracker(name).InForce() }

// FetchReceived records that the source of a fetch sent a part of its answer of the given size, and
// whether the answer is complete.
func (c *Core) FetchReceived(now time.Duration, f Fetch, bytes int, complete bool) {
	c.tracker(f.Name).Received(now, f.planned(), bytes, complete)
}

// FetchDeferred records that the source of a fetch is to be asked again after wait.
func (c *Core) FetchDeferred(now time.Duration, f Fetch, wait time.Duration, out *Actions) {
	c.tracker(f.Name).Deferred(now, f.planned(), wait)
	c.fetchDue(now, out)
}

// Hold records that peers can fetch a revision of the profiles from this entry, and tells them. The
// revision is not validated and not in force yet. It reports whether the revision is later than all
// others that this entry has.
func (c *Core) Hold(now time.Duration, mark message.Mark, out *Actions) bool {
	if !c.fleet.profiles.Hold(mark) {
		return false
	}
	c.composeUpdates(now, out)
	return true
}

// FetchDone records that a fetch ended. The driver has passed a fetched value to Offer before.
func (c *Core) FetchDone(now time.Duration, f Fetch, answered bool) {
	c.tracker(f.Name).Done(now, f.planned(), answered, c.rng)
}

// planned returns the fetch as its tracker planned it.
func (f *Fetch) planned() assign.Fetch {
	return assign.Fetch{Number: f.Number, From: f.Source, After: f.After}
}

// noteCallerRevision records the revision that a caller sent. If it is later than the one in force,
// this entry is behind and fetches at once. A starting entry ignores it: it asks the configuration
// service and its peers anyway, and an invented revision would keep it from becoming ready for as
// long as the configuration service is down.
func (c *Core) noteCallerRevision(now time.Duration, revision uint64, out *Actions) {
	if c.state == message.EntryStarting || revision <= c.fleet.profiles.InForce().Revision {
		return
	}
	c.fleet.profiles.NoteCallerRevision(now, revision)
	c.fetchDue(now, out)
}

// fetchDue fetches published values of which a later revision is known. It also runs the periodic
// check, which finds revisions that this entry would miss if its knowledge of its peers were wrong.
func (c *Core) fetchDue(now time.Duration, out *Actions) {
	peers := c.reachablePeers()
	c.fetchNext(now, published.ProfilesValue, peers, out)
	c.fetchNext(now, published.VMsValue, peers, out)
	c.periodicCheck(now, out)
}

func (c *Core) fetchNext(now time.Duration, name string, peers []uint64, out *Actions) {
	if c.waitsForReaders(now, c.tracker(name)) {
		return
	}
	f, ok := c.tracker(name).Next(now, peers, c.rng)
	if !ok {
		return
	}
	address, ok := c.peerAddressOf(f.From)
	if !ok {
		c.tracker(name).Done(now, f, false, c.rng)
		return
	}
	out.Fetches = append(out.Fetches, Fetch{Name: name, Source: f.From, Address: address, After: f.After, Planned: true, Number: f.Number, Why: f.Why})
}

// periodicCheck reads the configuration service at a low rate even if other entries are the
// readers, so that an error about which entries read cannot last.
func (c *Core) periodicCheck(now time.Duration, out *Actions) {
	if now < c.fleet.nextCheck {
		return
	}
	limits := assign.DefaultCheckLimits()
	if c.cfg.CheckEvery > 0 {
		limits.Shortest = c.cfg.CheckEvery
		limits.Longest = max(limits.Longest, limits.Shortest)
	}
	period := assign.CheckPeriod(len(c.fleet.assignMembers), limits)
	first := c.fleet.nextCheck == 0
	c.fleet.nextCheck = assign.NextCheck(now, period, c.rng)
	if first || c.Reader() {
		return
	}
	for _, name := range []string{published.ProfilesValue, published.VMsValue} {
		out.Fetches = append(out.Fetches, Fetch{Name: name, Source: assign.Platform, After: c.InForce(name).Revision, Why: "periodic check"})
	}
}

// reachablePeers returns the entries from which values can be fetched because a link to them is
// open, with the entries of this entry's failure domain first.
func (c *Core) reachablePeers() []uint64 {
	f := &c.fleet
	version := c.LinksVersion()
	if f.reachableVersion == version {
		return f.reachable
	}
	f.reachableVersion = version
	var far []uint64
	f.reachable = f.reachable[:0]
	for _, id := range f.gossip.Links(nil) {
		switch e := f.entry(id); {
		case e == nil || !e.Usable():
		case e.VM.Domain == c.cfg.Self.Domain:
			f.reachable = append(f.reachable, id)
		default:
			far = append(far, id)
		}
	}
	f.reachable = append(f.reachable, far...)
	return f.reachable
}

// peerAddressOf returns the peer address of an incarnation; the configuration service's address is
// "".
func (c *Core) peerAddressOf(incarnation uint64) (string, bool) {
	if incarnation == assign.Platform {
		return "", true
	}
	if e := c.fleet.entry(incarnation); e != nil {
		return e.VM.PeerAddress, true
	}
	return "", false
}

func (c *Core) sourceName(source uint64) string {
	if source == assign.Platform {
		return "platform"
	}
	if e := c.fleet.entry(source); e != nil {
		return "peer " + e.VM.Name
	}
	return "peer " + strconv.FormatUint(source, 16)
}

func revisionText(revision uint64) string {
	if revision == 0 {
		return "none"
	}
	return "revision " + published.RevisionText(revision)
}

// becomeReady moves a starting entry to serving once it has the latest revisions that it can learn
// of.
func (c *Core) becomeReady(now time.Duration, out *Actions) {
	if c.state != message.EntryStarting {
		return
	}
	ready, _ := c.ReadyReason(now)
	if !ready {
		return
	}
	c.state, c.servingSince = message.EntryServing, now
	out.note(Note{Subject: "entry " + c.cfg.Self.Name, Action: "ready", From: "starting", To: "serving",
		Revision: c.InForce(published.ProfilesValue).Revision})
}

// ReadyReason reports whether callers may be sent to this entry, and if not, why.
func (c *Core) ReadyReason(now time.Duration) (bool, string) {
	switch c.state {
	case message.EntryServing:
		return true, ""
	case message.EntryStarting:
	default:
		return false, "the entry is leaving"
	}
	peers := len(c.reachablePeers())
	if ok, why := c.fleet.profiles.Ready(now, peers); !ok {
		return false, "profiles: " + why
	}
	if ok, why := c.fleet.vms.Ready(now, peers); !ok {
		return false, "VM list: " + why
	}
	return true, ""
}
