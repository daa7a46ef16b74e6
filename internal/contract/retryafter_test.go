package contract

import (
	"net/http"
	"testing"
	"time"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)
	const busy = http.StatusServiceUnavailable
	for name, c := range map[string]struct {
		status      int
		value, date string
		want        time.Duration
	}{
		"seconds":                    {busy, "3", "", 3 * time.Second},
		"a fraction":                 {busy, " 0.25 ", "", 250 * time.Millisecond},
		"nothing":                    {busy, "", "", 0},
		"zero":                       {busy, "0", "", 0},
		"negative":                   {busy, "-3", "", 0},
		"no number":                  {busy, "soon", "", 0},
		"not a number":               {busy, "NaN", "", 0},
		"two values":                 {busy, "3, 5", "", 0},
		"absurdly long":              {busy, "1e300", "", 24 * time.Hour},
		"too large for a float":      {busy, "1e999", "", 24 * time.Hour},
		"a date":                     {busy, "Mon, 04 May 2026 10:00:07 GMT", "", 7 * time.Second},
		"a date by the sender's own": {busy, "Mon, 04 May 2026 10:00:07 GMT", "Mon, 04 May 2026 10:00:02 GMT", 5 * time.Second},
		"a date in the past":         {busy, "Mon, 04 May 2026 09:00:00 GMT", "", 0},
		"another status":             {http.StatusTooManyRequests, "3", "", 0},
		"a success":                  {http.StatusOK, "3", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{HeaderRetryAfter: {c.value}, "Date": {c.date}}
			if got := ParseRetryAfter(c.status, header, now); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
