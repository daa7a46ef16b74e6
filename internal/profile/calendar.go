package profile

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	// Embeds the time zone database, for VMs without zone files.
	_ "time/tzdata"
)

const (
	// localTimeLayout is the format of local times in the calendar.
	localTimeLayout = "2006-01-02 15:04"
	localTimeRemedy = `write a local time such as "2026-12-31 18:00"`
	timeZoneRemedy  = `set it to an IANA name such as "America/Mexico_City"`
	// maxCloses bounds the linear search in CloseAt. It allows more than eighty years of monthly
	// closes.
	maxCloses = 1000
)

// calendarClose is a close with its path in the document.
type calendarClose struct {
	Close
	path string
}

func (c *checker) readCalendar(root section, s *Snapshot) {
	calendar, ok := c.readTable(root, "calendar")
	if !ok {
		return
	}
	c.reportUnknownKeys(calendar, []string{"time_zone", "close"})
	zone := c.readTimeZone(calendar)
	s.zone = zone.String()
	var closes []calendarClose
	for _, table := range c.closeTables(calendar) {
		if parsed, ok := c.readClose(table, zone); ok {
			closes = append(closes, parsed)
		}
	}
	slices.SortStableFunc(closes, func(a, b calendarClose) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Name, b.Name))
	})
	c.checkOverlaps(closes)
	for _, parsed := range closes {
		s.closes = append(s.closes, parsed.Close)
	}
}

// readTimeZone returns the calendar's time zone. It returns UTC for an unusable zone, so that the
// rest of the calendar can still be checked.
func (c *checker) readTimeZone(calendar section) *time.Location {
	name, ok := c.readString(calendar, "time_zone", timeZoneRemedy)
	if !ok {
		return time.UTC
	}
	// LoadLocation accepts "" as UTC and "Local" as the VM's own zone, which may differ between
	// entries.
	zone, err := time.LoadLocation(name)
	if err != nil || name == "" || name == "Local" {
		c.report(calendar.child("time_zone"), fmt.Sprintf("there is no time zone %.*q", maxPrintedValue, name), timeZoneRemedy)
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
		c.report(path, fmt.Sprintf("there are %d closes, more than %d", len(list), maxCloses), "remove the closes that have ended")
		return nil
	}
	var tables []section
	for i, value := range list {
		table := section{path: elementPath(path, i+1)}
		if table.values, ok = value.(map[string]any); !ok {
			c.report(table.path, "this is not a table", "write each close as [[calendar.close]]")
			continue
		}
		tables = append(tables, table)
	}
	return tables
}

func (c *checker) readClose(table section, zone *time.Location) (parsed calendarClose, ok bool) {
	c.reportUnknownKeys(table, []string{"name", "start", "end"})
	parsed.path = table.path
	name, named := c.readString(table, "name", "name the close")
	if named {
		named = c.checkName(table.child("name"), name)
	}
	start, started := c.readLocalTime(table, "start")
	end, ended := c.readLocalTime(table, "end")
	if !named || !started || !ended {
		return parsed, false
	}
	parsed.Close = Close{Name: name, Start: firstInstant(start, zone), End: lastInstant(end, zone)}
	if !parsed.End.After(parsed.Start) {
		c.report(table.child("end"), "the close does not end after it starts", "set end to a time after start")
		return parsed, false
	}
	return parsed, true
}

// readLocalTime parses a local time and returns it as if it were in UTC.
func (c *checker) readLocalTime(table section, key string) (local time.Time, ok bool) {
	text, ok := c.readString(table, key, localTimeRemedy)
	if !ok {
		return local, false
	}
	local, err := time.Parse(localTimeLayout, text)
	if err != nil {
		c.report(table.child(key), fmt.Sprintf("%.*q is not a local time", maxPrintedValue, text), localTimeRemedy)
	}
	return local, err == nil
}

// checkOverlaps reports overlapping closes of the same name. The closes are sorted by start, so
// each is compared with the earlier close of its name that ends last.
func (c *checker) checkOverlaps(closes []calendarClose) {
	latest := map[string]calendarClose{}
	for _, current := range closes {
		previous, seen := latest[current.Name]
		if seen && current.Start.Before(previous.End) {
			c.report(current.path, fmt.Sprintf("the close overlaps %s of the same name", previous.path),
				"make it one close, or rename one")
		}
		if !seen || current.End.After(previous.End) {
			latest[current.Name] = current
		}
	}
}
