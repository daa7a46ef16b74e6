package profile

import "fmt"

// profileModes holds the settings of a profile in both modes.
type profileModes struct {
	ordinary, closing Policy
	// valid is false if the profile has a problem.
	valid bool
	used  bool
}

func (c *checker) readProfiles(root section) map[string]*profileModes {
	profiles := map[string]*profileModes{}
	tables, _ := c.readTable(root, "profile")
	for _, name := range tables.keys() {
		m := &profileModes{}
		profiles[name] = m
		before := len(c.problems)
		c.checkName(tables.child(name), name)
		if s, ok := c.readTable(tables, name); ok {
			c.readProfile(s, m)
		}
		m.valid = len(c.problems) == before
	}
	return profiles
}

func (c *checker) readProfile(table section, m *profileModes) {
	c.reportUnknownKeys(table, append(fieldNames(), "close"))
	refused := map[string]bool{}
	kind := &fields[0]
	value, given := table.values[kind.name]
	if !given {
		c.report(table.child(kind.name), "the field is missing", "use "+kind.allowedValues())
		refused[kind.name] = true
	} else if !kind.set(&m.ordinary, value) {
		refused[kind.name] = true
	}
	m.ordinary = Default(m.ordinary.Kind)
	c.readFields(table, &m.ordinary, refused)
	c.checkRules(&m.ordinary, []section{table}, refused)

	m.closing = m.ordinary
	closeTable, ok := c.readTable(table, "close")
	if !ok {
		return
	}
	c.reportUnknownKeys(closeTable, fieldNames())
	for _, f := range fields {
		if _, given := closeTable.values[f.name]; given && f.fixed {
			c.report(closeTable.child(f.name), "the setting cannot differ during a close", "set it in the profile itself")
			refused[f.name] = true
		}
	}
	c.readFields(closeTable, &m.closing, refused)
	c.checkRules(&m.closing, []section{closeTable, table}, refused)
}

// readFields stores the settings of one table in p and adds the names of settings with an invalid
// value to refused.
func (c *checker) readFields(s section, p *Policy, refused map[string]bool) {
	for i := range fields {
		f := &fields[i]
		value, given := s.values[f.name]
		if !given || f.set(p, value) {
			continue
		}
		refused[f.name] = true
		c.report(s.child(f.name), formatRefusedValue(value)+" is not a value of this field", "use "+f.allowedValues())
	}
}

// maxPrintedValue bounds the length of a refused value in a message.
const maxPrintedValue = 40

// formatRefusedValue formats a refused value for a message. Tables and lists are not printed: they
// may be nested so deeply that formatting them would overflow the stack.
func formatRefusedValue(value any) string {
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
