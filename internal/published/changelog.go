package published

import (
	"maps"
	"slices"
	"time"
)

// changeLog records which rows of a list changed at its latest revisions. The zero value covers no
// revision.
type changeLog struct {
	// steps are the latest changes, oldest first. base is the revision before the first of them,
	// latest the revision of the current list.
	steps        []step
	base, latest uint64
}

// step is a revision with the rows that it changed.
type step struct {
	revision uint64
	changes  []change
}

// change is the name of a changed row and when it changed, by the clock of the log's owner.
type change struct {
	name string
	at   time.Duration
}

// maxSteps bounds the recorded steps. A reader that is further behind gets the whole list.
const maxSteps = 64

// reset forgets all changes: the list is at this revision now, and no difference leads to it.
func (l *changeLog) reset(revision uint64) { *l = changeLog{base: revision, latest: revision} }

// record adds rows that changed at a revision, which is the latest one or a later one.
func (l *changeLog) record(revision uint64, changes ...change) {
	if last := len(l.steps) - 1; last >= 0 && l.steps[last].revision == revision {
		l.steps[last].changes = append(l.steps[last].changes, changes...)
		return
	}
	l.latest = revision
	l.steps = append(l.steps, step{revision, changes})
	if len(l.steps) > maxSteps {
		l.base = l.steps[0].revision
		l.steps = slices.Delete(l.steps, 0, 1)
	}
}

// since returns the names of the rows that changed after a revision and when each changed last, and
// whether the log reaches back to the revision.
func (l *changeLog) since(revision uint64) (map[string]time.Duration, bool) {
	if l.base == 0 || revision < l.base || revision >= l.latest {
		return nil, false
	}
	changed := make(map[string]time.Duration)
	for _, s := range l.steps {
		if s.revision > revision {
			for _, c := range s.changes {
				changed[c.name] = c.at
			}
		}
	}
	return changed, true
}

// difference builds the difference from a revision to the current list, whose rows, evacuated
// failure domains and digest are given, at the time now.
func (l *changeLog) difference(now time.Duration, after uint64, rows map[string]VM, evacuated []string, sum uint64) (Difference, bool) {
	changed, ok := l.since(after)
	if !ok {
		return Difference{}, false
	}
	d := Difference{After: after, Revision: l.latest, Evacuated: evacuated, Digest: sum}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if vm, found := rows[name]; found {
			d.Rows = append(d.Rows, vm)
		} else {
			d.Gone, d.GoneAges = append(d.Gone, name), append(d.GoneAges, now-changed[name])
		}
	}
	return d, true
}
