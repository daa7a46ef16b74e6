package member

import (
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// Tick ages all beliefs.
func (t *Table) Tick(now time.Duration) []Change {
	var changes []Change
	if t.list.held && now-t.list.heldAt >= t.cfg.HoldFor {
		changes = t.confirmHeld(now)
	}
	patience := t.SuspectAfter()
	bare := t.barePools()
	for _, r := range t.inOrder() {
		if isEntry(r.vm) {
			changes = append(changes, t.ageEntry(now, r, patience)...)
		} else {
			changes = append(changes, t.ageEndpoint(now, r, bare)...)
		}
	}
	t.verdicts.forget(now, t.cfg.RememberFor, t.cfg.MaxVerdicts)
	return changes
}

// SuspectAfter returns how long an entry may be silent before it is suspected.
func (t *Table) SuspectAfter() time.Duration {
	return suspectBeats*t.cfg.Heartbeat(t.localPeers()) + suspectSlack
}

// localPeers counts the other entries of this region.
func (t *Table) localPeers() int {
	n := 0
	for _, name := range t.names {
		if r := t.rows[name]; t.watched(r) {
			n++
		}
	}
	return n
}

// watched reports whether silence of an entry says something.
func (t *Table) watched(r *row) bool {
	return isEntry(r.vm) && r.vm.Incarnation != t.cfg.Self && r.vm.Region == t.cfg.Region
}

// inOrder returns the rows by name; the slice stays valid while rows go.
func (t *Table) inOrder() []*row {
	rows := make([]*row, 0, len(t.names))
	for _, name := range t.names {
		rows = append(rows, t.rows[name])
	}
	return rows
}

// ageEntry suspects an entry for its silence, and drops it if the list has
// lost it too. Silence alone never ends an entry: it may be on the other side
// of a partition, serving its callers.
func (t *Table) ageEntry(now time.Duration, r *row, patience time.Duration) []Change {
	if r.vm.Incarnation == t.cfg.Self {
		return nil
	}
	silent := now - r.seenAt
	if (r.missing || !r.listed) && silent >= t.cfg.GoneAfter {
		if r.leaving {
			return t.end(now, r, message.EvidenceStopped, "it was leaving and is silent and not listed")
		}
		return append(t.drop(r, "not listed and "+describeSilence(now, r)), t.relist(now, r.vm.Name)...)
	}
	if r.unreachable {
		patience = patience / suspectBeats
	}
	if r.suspected || r.leaving || !t.watched(r) || silent < patience {
		return nil
	}
	r.suspected = true
	t.changed(r.vm)
	return []Change{{Kind: EntrySuspected, VM: r.vm, Why: describeSilence(now, r)}}
}

// ageEndpoint drops an endpoint that the list has lost and that does not
// answer. The endpoints of a pool that would be left without any stay for
// KeepLast: with a wrong list they are the pool, and with a right one the only
// loss is a few refused connections.
func (t *Table) ageEndpoint(now time.Duration, r *row, bare map[string]bool) []Change {
	if !r.missing {
		return nil
	}
	since := r.missingAt
	if r.answered && !t.cfg.ListIsFinal {
		since = max(since, r.seenAt)
	}
	limit := t.cfg.MissingAfter
	if bare[r.vm.Pool] {
		limit = t.cfg.KeepLast
	}
	if now-since < limit {
		return nil
	}
	return t.drop(r, "not listed and no answer for "+limit.String())
}

// barePools returns the pools whose endpoints are all missing from the list.
func (t *Table) barePools() map[string]bool {
	pools := make(map[string]bool)
	for _, name := range t.names {
		r := t.rows[name]
		if isEntry(r.vm) || r.leaving {
			continue
		}
		bare, seen := pools[r.vm.Pool]
		pools[r.vm.Pool] = r.missing && (bare || !seen)
	}
	return pools
}

// Pause notes that the process slept for gap until now. Evidence that speaks
// for a VM being live is stale; evidence against it is final and stays. Guards
// against a late wake-up that sends callers to entries that have left: each
// entry has to be heard within one heartbeat or is suspected. Times that count
// against a VM start again, since nothing could have been heard meanwhile.
func (t *Table) Pause(now, gap time.Duration) {
	beat := t.cfg.Heartbeat(t.localPeers()) + suspectSlack
	since := now - (t.SuspectAfter() - beat)
	for _, name := range t.names {
		r := t.rows[name]
		r.answered = false
		if r.missing {
			r.missingAt = now
		}
		if isEntry(r.vm) {
			r.unreachable = false
			r.seenAt = min(r.seenAt+gap, since)
		}
	}
	t.list.heldAt += gap
	t.list.applied = false
}
