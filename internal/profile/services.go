package profile

import (
	"fmt"
	"slices"
)

func (c *checker) readServices(root section, profiles map[string]*profileModes, s *Snapshot) {
	tables, _ := c.readTable(root, "service")
	if len(tables.values) == 0 && len(s.traffic) == 0 {
		c.report("service", "the document has no service", "add a [service.NAME] table for each service, or [traffic.NAME] rules for routes")
	}
	s.byName = map[string]*Service{}
	var valid []*Service
	for _, name := range tables.keys() {
		c.checkName(tables.child(name), name)
		table, ok := c.readTable(tables, name)
		if !ok {
			continue
		}
		service, m := c.readService(table, name, profiles)
		s.services = append(s.services, service)
		s.byName[name] = service
		if m != nil && m.valid {
			valid = append(valid, service)
		}
	}
	c.checkUrgentReserve(valid)
	for name, m := range profiles {
		s.profiles = append(s.profiles, name)
		if !m.used {
			c.warn(joinPath("profile", name), "no service uses this profile", "remove it, or name it in a service or a traffic rule")
		}
	}
	slices.Sort(s.profiles)
	s.compilePools()
}

// readService returns the service and its profile, which is nil if the service names no valid one.
func (c *checker) readService(table section, name string, profiles map[string]*profileModes) (*Service, *profileModes) {
	c.reportUnknownKeys(table, []string{"profile", "pool"})
	service := &Service{Name: name, Pool: name}
	if _, given := table.values["pool"]; given {
		pool, ok := c.readString(table, "pool", "name a pool, or remove the field")
		if ok && c.checkName(table.child("pool"), pool) {
			service.Pool = pool
		}
	}
	profileName, ok := c.readString(table, "profile", "name one of the document's profiles")
	if !ok {
		return service, nil
	}
	m, ok := profiles[profileName]
	if !ok {
		c.report(table.child("profile"), fmt.Sprintf("there is no profile %.*q", maxPrintedValue, profileName),
			"add it, or name one of the document's profiles")
		return service, nil
	}
	m.used = true
	service.Profile = profileName
	service.Ordinary, service.Close = m.ordinary, m.closing
	return service, m
}
