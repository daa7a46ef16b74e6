package profile

import "time"

// A local time names no instant where the clocks go forward over it, and two
// where they go back over it. A close is then read as long as it can be: it is
// safer to be careful an hour too long than to leave out an hour of a close.

// firstInstant returns the instant at which a close with that local start
// begins: the earlier of two, and the change of the clocks itself for a time
// that they skip. local is given as if it were in UTC.
func firstInstant(local time.Time, zone *time.Location) time.Time {
	first, _ := instantsOf(local, zone)
	return first
}

// lastInstant is firstInstant for a close's end: the later of two.
func lastInstant(local time.Time, zone *time.Location) time.Time {
	_, last := instantsOf(local, zone)
	return last
}

// instantsOf returns the first and last instant that have the local time, which
// are the same for most.
func instantsOf(local time.Time, zone *time.Location) (first, last time.Time) {
	before, after := offsetsAround(local, zone)
	early := local.Add(-max(before, after)).In(zone)
	late := local.Add(-min(before, after)).In(zone)
	isEarly, isLate := showsLocalTime(early, local), showsLocalTime(late, local)
	switch {
	case isEarly && isLate:
		return early, late
	case isEarly:
		return early, early
	case isLate:
		return late, late
	}
	_, change := early.ZoneBounds()
	return change, change
}

// offsetsAround returns the zone's offsets from UTC a day before and after the
// local time. No offset reaches a day, so a change of the clocks that concerns
// the local time lies between the two.
func offsetsAround(local time.Time, zone *time.Location) (before, after time.Duration) {
	const day = 24 * time.Hour
	offset := func(t time.Time) time.Duration {
		_, seconds := t.In(zone).Zone()
		return time.Duration(seconds) * time.Second
	}
	return offset(local.Add(-day)), offset(local.Add(day))
}

// showsLocalTime reports whether a clock in t's zone shows the local time at t.
func showsLocalTime(t, local time.Time) bool {
	return t.Format(localTimeLayout) == local.Format(localTimeLayout)
}
