package fleetload

import "time"

// Config says what a run measures. Zero fields take the values of
// DefaultConfig.
type Config struct {
	// Entries are the sizes of the series over entries, each with
	// EntriesEndpoints endpoints in one region.
	Entries          []int
	EntriesEndpoints int
	// Endpoints are the sizes of the series over endpoints, each with
	// EndpointsEntries entries in one region.
	Endpoints        []int
	EndpointsEntries int
	// Target is the size that the project is designed for.
	Target Size
	// IdleRounds are the rounds of Window each in which an idle fleet is watched.
	IdleRounds int
	IdleWindow time.Duration
	// PlatformWindow is how long the calls at the configuration service are
	// counted after the rounds; 0 counts none. An entry checks every 10 s or less
	// often, so less than 30 s say little.
	PlatformWindow time.Duration
	// Settle is the time between the start of a fleet and the first round.
	Settle time.Duration
	// Publications and Leavings are how often each kind of news is spread.
	Publications int
	Departures   int
	// FaultPublications are those while the service is slow, or reachable by one
	// reader only.
	FaultPublications int
	// NonReaderPublications are those that only an entry that does not watch can
	// read; they take up to spreadLimit each.
	NonReaderPublications int
	// Rates are the calls a second at which calls are measured, for CallWindow
	// each. CallSizes are the fleets that they are sent through.
	Rates      []int
	CallWindow time.Duration
	CallRounds int
	CallSizes  []Size
	// ConnectionCounts are the numbers of idle connections and of waiting requests at which
	// memory is measured.
	ConnectionCounts []int
	// Log gets a line for each step; nil for none.
	Log func(format string, args ...any)
}

// DefaultConfig is the run that docs/CAPACITY.md is made from.
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
		Departures:       3,

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

// singleRegionDomains is how many failure domains the fleets in one region have.
const singleRegionDomains = 3

// sizes lists the fleets of both series and the target, each once.
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
