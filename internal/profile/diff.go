package profile

import "fmt"

// Subject says what a Change is about.
type Subject string

// The subjects of a change.
const (
	ServiceSubject  Subject = "service"
	CalendarSubject Subject = "calendar"
)

// Change is one difference between two documents in what is in force.
type Change struct {
	Subject Subject
	// Name is the service, or the close; "" for the calendar's time zone.
	Name string
	// Mode is the mode in which a service's setting changes; "" for changes
	// that concern both.
	Mode Mode
	// Field is the setting as the document names it; "" when the service or
	// close itself is added (From is "") or removed (To is "").
	Field    string
	From, To string
}

// String returns the change on one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s %s %s: %s -> %s", c.Subject, c.Name, c.Mode, c.Field, c.From, c.To)
}

// Diff returns what changes for callers when next replaces prev, which may be
// nil: services sorted by name, then the calendar.
func Diff(prev, next *Snapshot) []Change { return nil }
