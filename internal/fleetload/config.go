package fleetload

import "time"

// Config says what a run measures.
type Config struct {
	// Entries are the numbers of entries of the fleets in the series over entries. Each of these
	// fleets has EntriesEndpoints endpoints in one region.
	Entries          []int
	EntriesEndpoints int
	// Endpoints are the numbers of endpoints of the fleets in the series over endpoints. Each of
	// these fleets has EndpointsEntries entries in one region.
	Endpoints        []int
	EndpointsEntries int
	// Target is the fleet size that the project is designed for. With zero entries, no such fleet
	// is measured.
	Target Size
	// IdleRounds is the number of rounds, each as long as IdleWindow, in which an idle fleet is
	// measured.
	IdleRounds int
	IdleWindow time.Duration
	// PlatformWindow is how long calls to the configuration service are counted after the rounds; 0
	// counts none. An entry checks the service every 10 s or less often, so a window below 30 s
	// gives no reliable rate.
	PlatformWindow time.Duration
	// Settle is the pause between the start of a fleet and the first round.
	Settle time.Duration
	// Publications is the number of documents that are published, LeavingEndpoints the number of
	// endpoints that leave. The run measures the time until every entry has learned of each of
	// these changes.
	Publications     int
	LeavingEndpoints int
	// FaultPublications is the number of documents published while the service is slow, and again
	// while only one reader reaches it.
	FaultPublications int
	// NonReaderPublications is the number of documents published while only an entry that does not
	// watch the service can read them; each takes up to propagationTimeout.
	NonReaderPublications int
	// Rates are the calls a second at which calls are measured, each for CallWindow. CallRounds is
	// the number of rounds over all rates; 0 leaves calls out. CallSizes are the sizes of the
	// fleets that the calls go through.
	Rates      []int
	CallWindow time.Duration
	CallRounds int
	CallSizes  []Size
	// ConnectionCounts are the numbers of idle connections, and of waiting requests, at which
	// memory is measured.
	ConnectionCounts []int
	// Log, if not nil, gets a line for each step.
	Log func(format string, args ...any)
}

// DefaultConfig returns the configuration of the run that docs/CAPACITY.md reports.
func DefaultConfig() Config {
	return Config{
		Entries:          []int{3, 8, 15, 30, 60},
		EntriesEndpoints: 140,
		Endpoints:        []int{33, 140, 560},
		EndpointsEntries: 15,
		Target:           Size{Entries: targetEntries, Endpoints: targetEndpoints, Regions: 3, Domains: 8},
		IdleRounds:       3,
		IdleWindow:       time.Second,
		Settle:           time.Second,
		Publications:     5,
		LeavingEndpoints: 3,

		FaultPublications:     3,
		NonReaderPublications: 1,
		Rates:                 []int{1000, 2000, 4000, 8000},
		CallWindow:            1200 * time.Millisecond,
		CallRounds:            1,
		CallSizes: []Size{
			{Entries: 3, Endpoints: 33, Regions: 1, Domains: 3},
			{Entries: 15, Endpoints: targetEndpoints, Regions: 1, Domains: 3},
		},
		ConnectionCounts: []int{0, 100, 200, 400},
	}
}

// singleRegionDomains is the number of failure domains of a fleet in one region.
const singleRegionDomains = 3

// sizes lists the fleets of both series and the target, without duplicates.
func (c Config) sizes() []Size {
	var all []Size
	add := func(s Size) {
		for _, known := range all {
			if known == s {
				return
			}
		}
		all = append(all, s)
	}
	for _, n := range c.Endpoints {
		add(singleRegionSize(c.EndpointsEntries, n))
	}
	for _, n := range c.Entries {
		add(singleRegionSize(n, c.EntriesEndpoints))
	}
	if c.Target.Entries > 0 {
		add(c.Target)
	}
	return all
}

func singleRegionSize(entries, endpoints int) Size {
	return Size{Entries: entries, Endpoints: endpoints, Regions: 1, Domains: min(singleRegionDomains, entries)}
}

func (c Config) logf(format string, args ...any) {
	if c.Log != nil {
		c.Log(format, args...)
	}
}
