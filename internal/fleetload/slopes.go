package fleetload

// Slopes show how the costs of an entry grow with the size of the fleet, for fleets in one region.
type Slopes struct {
	// ByEntry is the series over the number of entries, ByEndpoint the series over the number of
	// endpoints.
	ByEntry    Series `json:"by_entry"`
	ByEndpoint Series `json:"by_endpoint"`
}

// Series holds the lines fitted over one series, per entry where not stated otherwise.
type Series struct {
	// Processor is the share of a core, Memory the bytes of heap and stacks, BytesOut the bytes a
	// second of the streams to peers, InForce the seconds until a document is in force at every
	// entry.
	Processor Line `json:"processor"`
	Memory    Line `json:"memory"`
	BytesOut  Line `json:"bytes_out"`
	InForce   Line `json:"in_force"`
	// PlatformCalls is the number of calls a second of the whole fleet to the configuration
	// service.
	PlatformCalls Line `json:"platform_calls"`
}

func (r *Result) slopes() Slopes {
	return Slopes{
		ByEntry: r.series(func(s Size) (float64, bool) {
			return float64(s.Entries), s == singleRegionSize(s.Entries, r.EntriesEndpoints)
		}),
		ByEndpoint: r.series(func(s Size) (float64, bool) {
			return float64(s.Endpoints), s == singleRegionSize(r.EndpointsEntries, s.Endpoints)
		}),
	}
}

// series fits lines over the fleets of a series. xOf returns the number that varies in the series
// and whether a fleet of this size belongs to it.
func (r *Result) series(xOf func(Size) (float64, bool)) Series {
	var xs, processor, memory, out, inForce, calls []float64
	for _, f := range r.Fleets {
		x, belongs := xOf(f.Size)
		if !belongs {
			continue
		}
		xs = append(xs, x)
		processor = append(processor, f.Idle.Processor)
		memory = append(memory, f.Idle.Heap+f.Idle.Stacks)
		out = append(out, f.Idle.BytesOut)
		inForce = append(inForce, f.Propagations.Published.Last)
		calls = append(calls, f.Idle.PlatformCalls)
	}
	return Series{
		Processor:     Fit(xs, processor),
		Memory:        Fit(xs, memory),
		BytesOut:      Fit(xs, out),
		InForce:       Fit(xs, inForce),
		PlatformCalls: Fit(xs, calls),
	}
}
