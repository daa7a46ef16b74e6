package fleetload

import (
	"fmt"
	"math"
	"strings"
)

// The fleet size that the project is designed for, see docs/CAPACITY.md, and the least number of
// services.
const (
	targetEntries   = 60
	targetEndpoints = 560
	targetServices  = 46
	minServices     = 3
)

// servicesFor returns the number of services of a fleet with this number of endpoints: at least
// minServices, and otherwise so many that a service has as many endpoints as at the target size.
func servicesFor(endpoints int) int {
	share := float64(endpoints) * targetServices / targetEndpoints
	return max(minServices, int(math.Round(share)))
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i+1) }

// profileKinds are the kinds that the services have in rotation. firstReadService and
// firstOnceService are indexes into it.
var profileKinds = []string{"read", "once", "read", "bulk", "urgent"}

const profileText = `
[profile.%[1]s]
kind = "%[2]s"
deadline = "%[3]s"
priority = %[4]d
queue_limit = 96
caller_share = 0.5
retry_budget = 0.05
watch_budget = 0.02
eject_max_share = 0.25
eject_base = "3s"
max_body = "256KB"

[profile.%[1]s.close]
queue_limit = 192
retry_budget = 0.02

[service.%[1]s]
profile = "%[1]s"
`

// document returns a profile document with a profile of its own for each service. Documents with
// different numbers differ.
func document(services, number int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# round %d\nformat = 1\n", number)
	for i := range services {
		kind := profileKinds[i%len(profileKinds)]
		fmt.Fprintf(&b, profileText, serviceName(i), kind, fmt.Sprintf("%ds", 5+number%5), i%9)
	}
	return []byte(b.String())
}
