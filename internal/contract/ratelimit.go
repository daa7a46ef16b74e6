package contract

import (
	"math"
	"strconv"
	"strings"
)

// leastRateLimit is a request an hour, as which lower limits are read: an endpoint that takes nothing
// leaves.
const leastRateLimit = 1.0 / 3600

// mostRateLimit is the highest limit in requests a second; higher ones bind nobody.
const mostRateLimit = 1e6

// ParseRateLimit reads a limit of requests a second; 0 for none. What is no number, negative or too
// large to bind is none.
func ParseRateLimit(value string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(limit) || limit < 0 || limit > mostRateLimit {
		return 0
	}
	return max(limit, leastRateLimit)
}
