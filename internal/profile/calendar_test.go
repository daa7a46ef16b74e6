package profile

import (
	"fmt"
	"testing"
	"time"
)

const calendarDocument = `format = 1
service = { x = { profile = "x" } }
profile = { x = { kind = "read" } }
[calendar]
time_zone = %q
[[calendar.close]]
name = "night"
start = %q
end = %q
`

// Guards against entries that read a local time around a clock change differently, or that leave
// out an hour of the close: such an entry would treat the close's traffic as ordinary.
func TestCloseAcrossClockChange(t *testing.T) {
	cases := []struct {
		name, zone, start, end string
		wantStart, wantEnd     string
	}{
		{"no change", "Africa/Tunis", "2026-12-31 18:00", "2027-01-01 06:00", "2026-12-31T17:00:00Z", "2027-01-01T05:00:00Z"},
		{"clocks go forward during close", "Europe/Berlin", "2027-03-28 01:59", "2027-03-28 03:00", "2027-03-28T00:59:00Z", "2027-03-28T01:00:00Z"},
		{"start does not exist", "Europe/Berlin", "2027-03-28 02:30", "2027-03-28 06:00", "2027-03-28T01:00:00Z", "2027-03-28T04:00:00Z"},
		{"end does not exist", "Europe/Berlin", "2027-03-27 18:00", "2027-03-28 02:00", "2027-03-27T17:00:00Z", "2027-03-28T01:00:00Z"},
		{"start occurs twice", "Europe/Berlin", "2026-10-25 02:30", "2026-10-25 06:00", "2026-10-25T00:30:00Z", "2026-10-25T05:00:00Z"},
		{"end occurs twice", "Europe/Berlin", "2026-10-24 18:00", "2026-10-25 02:30", "2026-10-24T16:00:00Z", "2026-10-25T01:30:00Z"},
		{"just after clocks went back", "Europe/Berlin", "2026-10-25 03:00", "2026-10-25 04:00", "2026-10-25T02:00:00Z", "2026-10-25T03:00:00Z"},
		{"west of UTC", "America/Mexico_City", "2022-10-30 01:30", "2022-10-30 01:45", "2022-10-30T06:30:00Z", "2022-10-30T07:45:00Z"},
		{"clocks go back half an hour", "Australia/Lord_Howe", "2027-04-04 01:45", "2027-04-04 01:50", "2027-04-03T14:45:00Z", "2027-04-03T15:20:00Z"},
		{"zone skips a whole day", "Pacific/Apia", "2011-12-30 12:00", "2011-12-31 12:00", "2011-12-30T10:00:00Z", "2011-12-30T22:00:00Z"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := mustParse(t, fmt.Sprintf(calendarDocument, tc.zone, tc.start, tc.end))
			c := s.Closes()[0]
			start, end := c.Start.UTC().Format(time.RFC3339), c.End.UTC().Format(time.RFC3339)
			if start != tc.wantStart || end != tc.wantEnd {
				t.Errorf("close from %s to %s, want %s to %s", start, end, tc.wantStart, tc.wantEnd)
			}
		})
	}
}

func TestCloseAtAndNextClose(t *testing.T) {
	s := mustParse(t, fmt.Sprintf(calendarDocument, "UTC", "2026-12-30 18:00", "2027-01-05 06:00")+`
[[calendar.close]]
name = "audit"
start = "2026-12-31 00:00"
end = "2026-12-31 12:00"
[[calendar.close]]
name = "stocktaking"
start = "2027-01-04 00:00"
end = "2027-01-06 00:00"
`)
	cases := []struct{ name, at, inForce, next string }{
		{"before all", "2026-12-30 17:59", "", "night"},
		{"start is inside", "2026-12-30 18:00", "night", "audit"},
		{"first to start takes precedence", "2026-12-31 06:00", "night", "stocktaking"},
		{"later close ends later", "2027-01-05 06:00", "stocktaking", ""},
		{"end is outside", "2027-01-06 00:00", "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			at, err := time.Parse(localTimeLayout, tc.at)
			if err != nil {
				t.Fatal(err)
			}
			inForce, hasCurrent := s.CloseAt(at)
			next, hasNext := s.NextClose(at)
			if inForce.Name != tc.inForce || hasCurrent != (tc.inForce != "") {
				t.Errorf("CloseAt = %q, %v", inForce.Name, hasCurrent)
			}
			if next.Name != tc.next || hasNext != (tc.next != "") {
				t.Errorf("NextClose = %q, %v", next.Name, hasNext)
			}
		})
	}
}
