package profile

import (
	"fmt"
	"slices"
)

func (c *checker) readServices(root section, profiles map[string]*modes, s *Snapshot) {
	all, _ := c.table(root, "service")
	if len(all.values) == 0 && len(s.traffic) == 0 {
		c.report("service", "the document has no service", "add a [service.NAME] table for each service, or [traffic.NAME] rules for routes")
	}
	s.byName = map[string]*Service{}
	var sound []*Service
	for _, name := range all.keys() {
		c.name(all.child(name), name)
		table, ok := c.table(all, name)
		if !ok {
			continue
		}
		service, m := c.readService(table, name, profiles)
		s.services = append(s.services, service)
		s.byName[name] = service
		if m != nil && m.sound {
			sound = append(sound, service)
		}
	}
	c.checkReserve(sound)
	for name, m := range profiles {
		s.profiles = append(s.profiles, name)
		if !m.used {
			c.warn(join("profile", name), "no service uses this profile", "remove it, or name it in a service or a traffic rule")
		}
	}
	slices.Sort(s.profiles)
	s.compilePools()
}

// readService returns the service and its profile, nil if it has none.
func (c *checker) readService(table section, name string, profiles map[string]*modes) (*Service, *modes) {
	c.unknown(table, []string{"profile", "pool"})
	service := &Service{Name: name, Pool: name}
	if _, given := table.values["pool"]; given {
		pool, ok := c.text(table, "pool", "name a pool, or remove the field")
		if ok && c.name(table.child("pool"), pool) {
			service.Pool = pool
		}
	}
	picked, ok := c.text(table, "profile", "name one of the document's profiles")
	if !ok {
		return service, nil
	}
	m, ok := profiles[picked]
	if !ok {
		c.report(table.child("profile"), fmt.Sprintf("there is no profile %.*q", maxPrintedValue, picked),
			"add it, or name one of the document's profiles")
		return service, nil
	}
	m.used = true
	service.Profile = picked
	service.Ordinary, service.Close = m.ordinary, m.closing
	return service, m
}
