package profile

import (
	"slices"
	"strings"
)

// Subject is the kind of object that a Change describes.
type Subject string

// The subjects of a change.
const (
	ServiceSubject  Subject = "service"
	CloseSubject    Subject = "close"
	CalendarSubject Subject = "calendar"
)

// Change is one difference in effective configuration between two documents.
type Change struct {
	Subject Subject
	// Name is the name of the service or close; "" for the calendar.
	Name string
	// Mode is the mode in which a service's setting changes; "" for a change that affects both
	// modes.
	Mode Mode
	// Field is the setting's key in the document. It is "" when the service or close itself is
	// added (From is "") or removed (To is "").
	Field    string
	From, To string
}

// String formats the change as one line.
func (c Change) String() string {
	words := []string{string(c.Subject)}
	if c.Name != "" {
		words = append(words, c.Name)
	}
	if c.Mode != "" {
		words = append(words, "("+string(c.Mode)+")")
	}
	subject := strings.Join(words, " ")
	switch {
	case c.Field != "":
		return subject + ": " + c.Field + " " + textOrNone(c.From) + " -> " + textOrNone(c.To)
	case c.From == "":
		return subject + ": added, " + c.To
	default:
		return subject + ": removed, was " + c.From
	}
}

func textOrNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// Diff returns the changes that take effect when next replaces prev, which may be nil: first those
// of services, sorted by name, then those of the calendar, sorted by time. A changed profile
// appears as changes of the services that use it.
func Diff(prev, next *Snapshot) []Change {
	if prev == nil {
		prev = &Snapshot{}
	}
	var changes []Change
	for _, name := range serviceNames(prev, next) {
		changes = append(changes, diffService(prev.byName[name], next.byName[name])...)
	}
	return append(changes, diffCalendar(prev, next)...)
}

func serviceNames(prev, next *Snapshot) []string {
	var names []string
	for _, s := range append(prev.Services(), next.services...) {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func diffService(prev, next *Service) []Change {
	switch {
	case prev == nil:
		return []Change{{Subject: ServiceSubject, Name: next.Name, To: describeService(next)}}
	case next == nil:
		return []Change{{Subject: ServiceSubject, Name: prev.Name, From: describeService(prev)}}
	}
	var changes []Change
	add := func(mode Mode, field, from, to string) {
		if from != to {
			changes = append(changes, Change{ServiceSubject, next.Name, mode, field, from, to})
		}
	}
	add("", "profile", prev.Profile, next.Profile)
	add("", "pool", prev.Pool, next.Pool)
	for i := range fields {
		f := &fields[i]
		if f.fixed {
			add("", f.name, f.format(&prev.Ordinary), f.format(&next.Ordinary))
			continue
		}
		add(Ordinary, f.name, f.format(&prev.Ordinary), f.format(&next.Ordinary))
		add(Closing, f.name, f.format(&prev.Close), f.format(&next.Close))
	}
	return changes
}

func describeService(s *Service) string {
	return "profile " + s.Profile + ", pool " + s.Pool
}

func diffCalendar(prev, next *Snapshot) []Change {
	var changes []Change
	if prev.zone != next.zone {
		changes = append(changes, Change{Subject: CalendarSubject, Field: "time_zone", From: prev.zone, To: next.zone})
	}
	for _, c := range prev.closes {
		if !containsClose(next.closes, c) {
			changes = append(changes, Change{Subject: CloseSubject, Name: c.Name, From: c.String()})
		}
	}
	for _, c := range next.closes {
		if !containsClose(prev.closes, c) {
			changes = append(changes, Change{Subject: CloseSubject, Name: c.Name, To: c.String()})
		}
	}
	return changes
}

func containsClose(closes []Close, c Close) bool {
	return slices.ContainsFunc(closes, func(other Close) bool {
		return other.Name == c.Name && other.Start.Equal(c.Start) && other.End.Equal(c.End)
	})
}
