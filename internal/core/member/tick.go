package member

import (
	"slices"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// ageInterval is the time between two ageings of the rows: far below the shortest timeout, and long
// enough that hundreds of rows cost a small VM little processing.
const ageInterval = 50 * time.Millisecond

// refuteTimeout is how long an entry that was reported silent has to refute the report: several
// times the round trip of gossip to it, even in a fleet with many broken paths.
const refuteTimeout = 800 * time.Millisecond

// newPathFactor multiplies the timeout for an entry that has not been heard from since this entry
// began to watch it: the connection to it has yet to open, and the entries that watched it before
// know its state better. This guards against a fleet whose neighbours change, in which all entries
// would report each other as silent.
const newPathFactor = 3

// Tick ages all rows and returns the resulting changes.
func (t *Table) Tick(now time.Duration) []Change {
	if now < t.ageAt {
		return nil
	}
	t.ageAt = now + ageInterval
	var changes []Change
	if t.list.held && now-t.list.heldAt >= t.cfg.HoldFor {
		changes = t.confirmHeld(now)
	}
	timeout := t.SuspectAfter()
	clear(t.unlisted)
	for _, r := range t.rowsToAge() {
		if isEntry(r.vm) {
			changes = append(changes, t.ageEntry(now, r, timeout)...)
		} else {
			changes = append(changes, t.ageEndpoint(now, r)...)
		}
	}
	t.departures.forget(now, t.cfg.RememberFor, t.maxDepartures(), t.lists)
	return changes
}

// departuresPerVM is the number of departures remembered for each listed VM: all may be replaced at
// once while a list that lags still names them.
const departuresPerVM = 2

// maxDepartures returns the number of departures to remember.
func (t *Table) maxDepartures() int {
	return max(t.cfg.MaxDepartures, departuresPerVM*len(t.list.vms))
}

// SuspectAfter returns how long an entry may be silent before it is suspected.
func (t *Table) SuspectAfter() time.Duration {
	return max(suspectHeartbeats*t.cfg.HeartbeatInterval(), minSuspectTime) + suspectSlack
}

// rowsToAge returns the rows that may change with time: endpoints do only after the list has stopped
// naming them.
func (t *Table) rowsToAge() []*row {
	t.agedRows = append(t.agedRows[:0], t.entries...) // a copy, since ageing removes rows
	t.agedRows = append(t.agedRows, t.missing...)
	return t.agedRows
}

// watched reports whether this entry exchanges heartbeats with an entry and so notices its silence.
func (t *Table) watched(r *row) bool {
	return r.peer && (r.watched || !t.relays)
}

// silentSince returns since when nothing has shown that an entry is live.
func (t *Table) silentSince(now time.Duration, r *row) time.Duration {
	switch {
	case t.watched(r) && !r.heardByOthers:
		return max(r.seenAt, r.watchedAt)
	case r.suspected || r.leaving:
		return max(r.seenAt, r.inactiveAt)
	case r.selfReported && (!t.watched(r) || r.heardByOthers):
		return now // other entries hear from it
	}
	return r.seenAt
}

// ageEntry suspects an entry that is silent, and drops it if the list does not name it either.
// Silence alone never ends an entry: it may be on the other side of a partition and serve its
// callers.
func (t *Table) ageEntry(now time.Duration, r *row, timeout time.Duration) []Change {
	if r.vm.Incarnation == t.cfg.Self {
		return nil
	}
	silent := now - t.silentSince(now, r)
	if (r.missing || !r.listed) && silent >= t.cfg.GoneAfter {
		if r.leaving {
			return t.end(now, r, message.EvidenceStopped, "it was leaving and is silent and not listed")
		}
		return append(t.drop(r, "not listed and "+describeSilence(now, r)), t.relist(now, r.vm.Name)...)
	}
	if r.suspected || r.leaving {
		return nil
	}
	watchedByOthers := !t.watched(r) || r.heardByOthers
	newPath := t.relays && r.seenAt < r.watchedAt
	if (watchedByOthers || newPath) && r.reportedSilent && now-r.reportedSilentAt >= refuteTimeout {
		return t.suspect(now, r, "an entry that watches it reported it as silent, and it did not refute that")
	}
	if watchedByOthers {
		return nil
	}
	switch {
	case newPath:
		timeout *= newPathFactor
	case r.unreachable:
		timeout = t.cfg.HeartbeatInterval() + unreachableSlack
	}
	if silent < timeout {
		return nil
	}
	t.silent = append(t.silent, Silence{r.vm.Name, r.vm.Incarnation, r.version})
	return t.suspect(now, r, describeSilence(now, r))
}

// suspect marks an entry as suspected.
func (t *Table) suspect(now time.Duration, r *row, why string) []Change {
	r.suspected, r.inactiveAt = true, now
	t.changed(r.vm)
	return []Change{{Kind: EntrySuspected, VM: r.vm, Why: why}}
}

// ageEndpoint drops an endpoint that the list no longer names and that does not answer. If a pool
// would be left without endpoints, its endpoints stay for KeepLast: if the list is wrong they are
// needed, and if it is right the only cost is a few refused connections.
func (t *Table) ageEndpoint(now time.Duration, r *row) []Change {
	since := r.missingAt
	if r.answered && !t.cfg.ListIsFinal {
		since = max(since, r.seenAt)
	}
	limit := t.cfg.MissingAfter
	if now-since >= limit && t.isUnlisted(r.vm.Pool) {
		limit = t.cfg.KeepLast
	}
	if now-since < limit {
		return nil
	}
	return t.drop(r, "not listed and no answer for "+limit.String())
}

// isUnlisted reports whether all endpoints of a pool that are not leaving are missing from the list. The
// result is kept for the rest of the tick.
func (t *Table) isUnlisted(pool string) bool {
	unlisted, known := t.unlisted[pool]
	if !known {
		unlisted = !slices.ContainsFunc(t.order, func(r *row) bool {
			return !isEntry(r.vm) && !r.leaving && !r.missing && r.vm.Pool == pool
		})
		t.unlisted[pool] = unlisted
	}
	return unlisted
}

// Pause records that the process slept for gap until now. Evidence that a VM is live is stale;
// evidence that it left is final and stays. This guards against a late wake-up that sends callers
// to entries that have left: each entry has to be heard from within about one heartbeat interval or
// is suspected, and an entry that was reported silent gets refuteTimeout anew. Timeouts that count
// against a VM start again, since nothing could have been received meanwhile.
func (t *Table) Pause(now, gap time.Duration) {
	grace := t.cfg.HeartbeatInterval() + suspectSlack
	since := now - (t.SuspectAfter() - grace)
	for _, r := range t.order {
		r.answered = false
		if r.missing {
			r.missingAt = now
		}
		if isEntry(r.vm) {
			r.unreachable = false
			r.seenAt = min(r.seenAt+gap, since)
			r.reportedSilentAt = now
		}
	}
	t.list.heldAt += gap
	t.list.applied = false
}
