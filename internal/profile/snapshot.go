package profile

import (
	"bytes"
	"slices"
	"sort"
	"time"

	"github.com/tealhall/tealhall/internal/route"
)

// Close is a period during which the close settings apply: from Start (inclusive) to End
// (exclusive).
type Close struct {
	Name       string
	Start, End time.Time
}

// String formats the start and end with their time zone, without the name.
func (c Close) String() string {
	const layout = localTimeLayout + " MST"
	return c.Start.Format(layout) + " to " + c.End.Format(layout)
}

// Snapshot is an accepted document at one revision. It is immutable and safe for concurrent use.
// Callers must not modify values that its methods return by pointer.
type Snapshot struct {
	revision uint64
	digest   uint64
	data     []byte
	services []*Service // sorted by name
	byName   map[string]*Service
	profiles []string // sorted
	zone     string
	closes   []Close // sorted by start, then name
	pools    map[string]poolModes
	warnings []Problem
	// traffic and modes are the inputs from which Bind creates the services of routes.
	traffic []TrafficRule
	modes   map[string]*profileModes
	table   *route.Table
}

// Revision returns the revision at which the document was published.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Digest returns the xxHash of the document's text, or the digest passed to Bind.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Data returns a copy of the document's text.
func (s *Snapshot) Data() []byte { return bytes.Clone(s.data) }

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	service, ok := s.byName[name]
	return service, ok
}

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []*Service { return slices.Clone(s.services) }

// Profiles returns the names of all profiles, sorted.
func (s *Snapshot) Profiles() []string { return slices.Clone(s.profiles) }

// Warnings returns the likely mistakes for which the document was not refused, sorted by line.
func (s *Snapshot) Warnings() []Problem { return slices.Clone(s.warnings) }

// TimeZone returns the name of the calendar's time zone, or "" if there is no calendar.
func (s *Snapshot) TimeZone() string { return s.zone }

// Closes returns the closes of the calendar, sorted by start.
func (s *Snapshot) Closes() []Close { return slices.Clone(s.closes) }

// CloseAt returns the close in force at the wall-clock time wall. If several overlap, it returns
// the one that started first, and among those that started together the first by name.
func (s *Snapshot) CloseAt(wall time.Time) (Close, bool) {
	for _, c := range s.closes {
		if c.Start.After(wall) {
			break
		}
		if wall.Before(c.End) {
			return c, true
		}
	}
	return Close{}, false
}

// NextClose returns the first close that starts after the wall-clock time wall.
func (s *Snapshot) NextClose(wall time.Time) (Close, bool) {
	i := sort.Search(len(s.closes), func(i int) bool { return s.closes[i].Start.After(wall) })
	if i == len(s.closes) {
		return Close{}, false
	}
	return s.closes[i], true
}
