package profile

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	// The zone rules are part of the program for VMs without zone files.
	_ "time/tzdata"
)

const (
	// localLayout is how the calendar writes a local time.
	localLayout = "2006-01-02 15:04"
	localRemedy = `write a local time such as "2026-12-31 18:00"`
	zoneRemedy  = `set it to an IANA name such as "America/Mexico_City"`
	// maxCloses bounds what CloseAt searches: more than eighty years of
	// monthly closes.
	maxCloses = 1000
)

// calendarClose is a close with its place in the document.
type calendarClose struct {
	Close
	path string
}

func (c *checker) readCalendar(root section, s *Snapshot) {
	calendar, ok := c.table(root, "calendar")
	if !ok {
		return
	}
	c.unknown(calendar, []string{"time_zone", "close"})
	zone := c.readZone(calendar)
	s.zone = zone.String()
	var closes []calendarClose
	for _, table := range c.closeTables(calendar) {
		if one, ok := c.readClose(table, zone); ok {
			closes = append(closes, one)
		}
	}
	slices.SortStableFunc(closes, func(a, b calendarClose) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Name, b.Name))
	})
	c.checkOverlaps(closes)
	for _, one := range closes {
		s.closes = append(s.closes, one.Close)
	}
}

// readZone returns UTC for a zone that is not usable, so that the rest of the
// calendar can still be checked.
func (c *checker) readZone(calendar section) *time.Location {
	name, ok := c.text(calendar, "time_zone", zoneRemedy)
	if !ok {
		return time.UTC
	}
	// LoadLocation takes "" for UTC and "Local" for the VM's own zone, which
	// may differ between entries.
	zone, err := time.LoadLocation(name)
	if err != nil || name == "" || name == "Local" {
		c.report(calendar.child("time_zone"), fmt.Sprintf("there is no time zone %.*q", maxPrintedValue, name), zoneRemedy)
		return time.UTC
	}
	return zone
}

func (c *checker) closeTables(calendar section) []section {
	path := calendar.child("close")
	value, given := calendar.values["close"]
	if !given {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		c.report(path, "this is not a list of tables", "write each close as [[calendar.close]]")
		return nil
	}
	if len(list) > maxCloses {
		c.report(path, fmt.Sprintf("there are %d closes, more than %d", len(list), maxCloses), "remove those that are over")
		return nil
	}
	var tables []section
	for i, value := range list {
		table := section{path: element(path, i+1)}
		if table.values, ok = value.(map[string]any); !ok {
			c.report(table.path, "this is not a table", "write each close as [[calendar.close]]")
			continue
		}
		tables = append(tables, table)
	}
	return tables
}

func (c *checker) readClose(table section, zone *time.Location) (one calendarClose, ok bool) {
	c.unknown(table, []string{"name", "start", "end"})
	one.path = table.path
	name, named := c.text(table, "name", "name the close")
	if named {
		named = c.name(table.child("name"), name)
	}
	start, started := c.readLocal(table, "start")
	end, ended := c.readLocal(table, "end")
	if !named || !started || !ended {
		return one, false
	}
	one.Close = Close{Name: name, Start: firstInstant(start, zone), End: lastInstant(end, zone)}
	if !one.End.After(one.Start) {
		c.report(table.child("end"), "the close does not end after it starts", "set end to a time after start")
		return one, false
	}
	return one, true
}

// readLocal returns a local time as if it were in UTC.
func (c *checker) readLocal(table section, key string) (local time.Time, ok bool) {
	text, ok := c.text(table, key, localRemedy)
	if !ok {
		return local, false
	}
	local, err := time.Parse(localLayout, text)
	if err != nil {
		c.report(table.child(key), fmt.Sprintf("%.*q is not a local time", maxPrintedValue, text), localRemedy)
	}
	return local, err == nil
}

// checkOverlaps reports closes of the same name that overlap. They are sorted
// by start, so each is compared with the one of its name that ends last.
func (c *checker) checkOverlaps(closes []calendarClose) {
	latest := map[string]calendarClose{}
	for _, one := range closes {
		before, seen := latest[one.Name]
		if seen && one.Start.Before(before.End) {
			c.report(one.path, fmt.Sprintf("the close overlaps %s of the same name", before.path),
				"make it one close, or rename one")
		}
		if !seen || one.End.After(before.End) {
			latest[one.Name] = one
		}
	}
}
