package bench

import (
	"slices"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
	"github.com/tealhall/tealhall/internal/fault"
)

// steered is how many entries the answer to a caller names: one for each
// failure domain.
const steered = 3

// defaultProbeShare is the watching budget that probing variants may spend.
const defaultProbeShare = 0.01

// defaultIdleShare bounds refused tries to this share of the requests, as the
// entries do.
const defaultIdleShare = 0.3

// allVariants are the ways to decide that the design note compares. Those whose
// name ends in "@3" are steered: callers are told of three entries only.
func allVariants() []Variant {
	var all []Variant
	for _, policy := range []string{
		balance.Random, balance.RoundRobin, balance.LeastOutstanding, balance.P2COwn,
		balance.P2CReports, balance.Prequal, balance.Sightings, balance.Shares, balance.Claims,
	} {
		v := Variant{Name: policy, Policy: policy}
		if policy == balance.Prequal {
			v.ProbeShare = defaultProbeShare
		}
		narrow := v
		narrow.Name += "@3"
		narrow.Deciders = steered
		all = append(all, v, narrow)
	}
	for _, every := range []time.Duration{5, 10, 20} {
		all = append(all, Variant{
			Name: "claims@3+" + (every * time.Millisecond).String(), Policy: balance.Claims,
			Deciders: steered, PeerInterval: every * time.Millisecond,
		})
	}
	bounded := Variant{Policy: balance.Claims, IdleShare: defaultIdleShare}
	for _, b := range []struct {
		name     string
		deciders int
		interval time.Duration
	}{
		{"bounded", 0, 0},
		{"bounded+50ms", 0, 50 * time.Millisecond},
		{"bounded@3", steered, 0},
		{"bounded@3+5ms", steered, 5 * time.Millisecond},
		{"bounded@3+10ms", steered, 10 * time.Millisecond},
		{"bounded@3+20ms", steered, 20 * time.Millisecond},
	} {
		bounded.Name, bounded.Deciders, bounded.PeerInterval = b.name, b.deciders, b.interval
		all = append(all, bounded)
	}
	return all
}

// VariantNames lists what PickVariants knows.
func VariantNames() []string {
	var names []string
	for _, v := range allVariants() {
		names = append(names, v.Name)
	}
	return names
}

// PickVariants returns the oracles and the named variants, or all of them.
func PickVariants(names []string) ([]Variant, error) {
	chosen := Oracles()
	if len(names) == 0 {
		return append(chosen, allVariants()...), nil
	}
	for _, name := range names {
		at := slices.IndexFunc(allVariants(), func(v Variant) bool { return v.Name == name })
		if at < 0 {
			return nil, fault.New(fault.BadSettings, "use some of "+strings.Join(VariantNames(), ", "), "unknown variant %q", name)
		}
		chosen = append(chosen, allVariants()[at])
	}
	return chosen, nil
}

// PickScenarios returns the named scenarios; "all" stands for all of them.
func PickScenarios(names []string) ([]Faults, error) {
	var chosen []Faults
	for _, name := range names {
		if name == "all" {
			return AllScenarios(), nil
		}
		at := slices.IndexFunc(AllScenarios(), func(f Faults) bool { return f.Name == name })
		if at < 0 {
			return nil, fault.New(fault.BadSettings, "use all, healthy, noisy, straggler or fail-fast", "unknown scenario %q", name)
		}
		chosen = append(chosen, AllScenarios()[at])
	}
	return chosen, nil
}
