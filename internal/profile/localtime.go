package profile

import "time"

// When clocks go forward, some local times do not exist; when they go back, some occur twice. A
// close is given its longest interpretation, because close settings that apply for an hour too long
// are safer than a close that is an hour too short.

// firstInstant returns the instant at which a close with the given local start begins. For an
// ambiguous time it is the earlier instant, for a nonexistent time the instant of the clock change.
// local is given as if it were in UTC.
func firstInstant(local time.Time, zone *time.Location) time.Time {
	first, _ := instantsOf(local, zone)
	return first
}

// lastInstant is like firstInstant for the end of a close: for an ambiguous time it returns the
// later instant.
func lastInstant(local time.Time, zone *time.Location) time.Time {
	_, last := instantsOf(local, zone)
	return last
}

// instantsOf returns the first and last instants with the given local time. They are the same
// unless the time is ambiguous.
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

// offsetsAround returns the zone's UTC offsets one day before and one day after the local time.
// Offsets are always less than a day, so a clock change that affects the local time lies between
// the two.
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
