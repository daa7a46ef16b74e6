package contract

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderRetryAfter on a 503 of an endpoint is for how long the endpoint wants no requests from the
// entry that it answers: seconds, which may have a fraction, or an HTTP date.
const HeaderRetryAfter = "Retry-After"

// maxRetryAfter is the longest time that ParseRetryAfter returns, in seconds.
const maxRetryAfter = 86_400

// ParseRetryAfter returns the time that an endpoint's answer asks for in HeaderRetryAfter, at most a
// day; 0 if its status is not 503 or the value is missing or malformed. A date counts from the
// answer's own Date header or, without one, from the wall clock time now.
func ParseRetryAfter(status int, header http.Header, now time.Time) time.Duration {
	value := strings.TrimSpace(header.Get(HeaderRetryAfter))
	if status != http.StatusServiceUnavailable || value == "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && seconds == 0 {
		at, err := http.ParseTime(value)
		if err != nil {
			return 0
		}
		if made, err := http.ParseTime(header.Get("Date")); err == nil {
			now = made
		}
		seconds = at.Sub(now).Seconds()
	}
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter) * float64(time.Second))
}
