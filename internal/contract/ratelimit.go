package contract

import (
	"math"
	"strconv"
	"strings"
)

// minRateLimit is one request per hour. Lower limits are raised to it: an endpoint that accepts no
// requests should leave instead.
const minRateLimit = 1.0 / 3600

// maxRateLimit is the highest limit in requests per second; higher limits have no effect.
const maxRateLimit = 1e6

// ParseRateLimit parses a limit in requests per second. It returns 0, for no limit, if the value is
// not a number, negative or above maxRateLimit.
func ParseRateLimit(value string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(limit) || limit < 0 || limit > maxRateLimit {
		return 0
	}
	return max(limit, minRateLimit)
}
