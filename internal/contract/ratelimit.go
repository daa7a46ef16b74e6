package contract

import (
	"math"
	"strconv"
	"strings"
)

// minRateLimit is a request an hour, as which lower limits are read: an endpoint that takes nothing
// leaves.
const minRateLimit = 1.0 / 3600

// maxRateLimit is the highest limit in requests a second; higher ones bind nobody.
const maxRateLimit = 1e6

// ParseRateLimit reads a limit of requests a second; 0 for none. What is no number, negative or too
// large to bind is none.
func ParseRateLimit(value string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(limit) || limit < 0 || limit > maxRateLimit {
		return 0
	}
	return max(limit, minRateLimit)
}
