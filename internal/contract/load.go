package contract

import (
	"strconv"
	"strings"
)

// maxCount is the largest count accepted in a header. It fits the uint16 in which load reports
// between entries store counts.
const maxCount = 1<<16 - 1

// Load is the load that an endpoint reported when it wrote an answer. It may be outdated or wrong.
type Load struct {
	// InFlight is the number of requests that use a slot, without the request that this answer
	// belongs to.
	InFlight int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Slots is the number of requests that the endpoint runs at a time.
	Slots int
}

// The fields of HeaderLoad, in the order in which they are written.
const (
	inFlightField = "in-flight"
	queuedField   = "queued"
	slotsField    = "slots"
)

// AppendTo appends the value of HeaderLoad to dst.
func (l Load) AppendTo(dst []byte) []byte {
	dst = append(dst, inFlightField+"="...)
	dst = strconv.AppendInt(dst, int64(l.InFlight), 10)
	dst = append(dst, ","+queuedField+"="...)
	dst = strconv.AppendInt(dst, int64(l.Queued), 10)
	dst = append(dst, ","+slotsField+"="...)
	return strconv.AppendInt(dst, int64(l.Slots), 10)
}

// String returns the value of HeaderLoad.
func (l Load) String() string {
	var buffer [48]byte
	return string(l.AppendTo(buffer[:0]))
}

// ParseLoad parses the value of HeaderLoad without allocating. The three fields may appear in any
// order with spaces around them, each exactly once. Unknown fields are skipped, so that later
// releases can add fields. Counts above 65535 and a load without slots are malformed.
func ParseLoad(value string) (Load, bool) {
	var load Load
	var seen fieldSet
	for rest, more := value, true; more; {
		var field string
		field, rest, more = strings.Cut(rest, ",")
		name, text, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !load.set(&seen, name, text) {
			return Load{}, false
		}
	}
	if seen != allFields || load.Slots == 0 {
		return Load{}, false
	}
	return load, true
}

// fieldSet is the set of fields of a load that were parsed.
type fieldSet uint8

const (
	sawInFlight fieldSet = 1 << iota
	sawQueued
	sawSlots
	allFields = sawInFlight | sawQueued | sawSlots
)

// set stores one field and reports whether it is well-formed and occurs for the first time.
func (l *Load) set(seen *fieldSet, name, text string) bool {
	var target *int
	var bit fieldSet
	switch name {
	case inFlightField:
		target, bit = &l.InFlight, sawInFlight
	case queuedField:
		target, bit = &l.Queued, sawQueued
	case slotsField:
		target, bit = &l.Slots, sawSlots
	default:
		return true
	}
	number, ok := parseUint(text, maxCount)
	if !ok || *seen&bit != 0 {
		return false
	}
	*target = int(number)
	*seen |= bit
	return true
}
