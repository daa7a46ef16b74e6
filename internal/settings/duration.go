package settings

import (
	"fmt"
	"time"
)

// Duration is a time span that is written in TOML as Go writes it: "90s",
// "1m30s", "250ms".
type Duration struct{ time.Duration }

// UnmarshalText parses the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"250ms\", \"90s\" or \"1m30s\"", text)
	}
	d.Duration = parsed
	return nil
}

// MarshalText returns the text form.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}
