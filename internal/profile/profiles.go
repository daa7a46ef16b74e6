package profile

import "fmt"

// modes is what a profile says for both modes.
type modes struct {
	ordinary, closing Policy
	// sound is false if a problem was reported.
	sound bool
	used  bool
}

func (c *checker) readProfiles(root section) map[string]*modes {
	profiles := map[string]*modes{}
	all, _ := c.table(root, "profile")
	for _, name := range all.keys() {
		m := &modes{}
		profiles[name] = m
		before := len(c.problems)
		c.name(all.child(name), name)
		if s, ok := c.table(all, name); ok {
			c.readProfile(s, m)
		}
		m.sound = len(c.problems) == before
	}
	return profiles
}

func (c *checker) readProfile(s section, m *modes) {
	c.unknown(s, append(fieldNames(), "close"))
	refused := map[string]bool{}
	kind := &fields[0]
	value, given := s.values[kind.name]
	if !given {
		c.report(s.child(kind.name), "the field is missing", "use "+kind.admitted())
		refused[kind.name] = true
	} else if !kind.set(&m.ordinary, value) {
		refused[kind.name] = true
	}
	m.ordinary = Default(m.ordinary.Kind)
	c.readFields(s, &m.ordinary, refused)
	c.checkRules(&m.ordinary, []section{s}, refused)

	m.closing = m.ordinary
	during, ok := c.table(s, "close")
	if !ok {
		return
	}
	c.unknown(during, fieldNames())
	for _, f := range fields {
		if _, given := during.values[f.name]; given && f.fixed {
			c.report(during.child(f.name), "the setting can not differ during a close", "set it in the profile itself")
			refused[f.name] = true
		}
	}
	c.readFields(during, &m.closing, refused)
	c.checkRules(&m.closing, []section{during, s}, refused)
}

// readFields stores the settings of one block in p, and the names of those
// with a bad value in refused.
func (c *checker) readFields(s section, p *Policy, refused map[string]bool) {
	for i := range fields {
		f := &fields[i]
		value, given := s.values[f.name]
		if !given || f.set(p, value) {
			continue
		}
		refused[f.name] = true
		c.report(s.child(f.name), printable(value)+" is not a value of this field", "use "+f.admitted())
	}
}

// maxPrintedValue bounds a refused value in a message.
const maxPrintedValue = 40

// printable returns a refused value for a message. Tables and lists are not
// spelled out: they can be nested deeper than the stack would bear.
func printable(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("%.*q", maxPrintedValue, v)
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	default:
		return fmt.Sprintf("%.*s", maxPrintedValue, fmt.Sprint(v))
	}
}
