package assign

import (
	"slices"
)

// The scopes of hash keys, one for each kind of work.
const (
	scopeReader  = "reader"
	scopeProbe   = "probe"
	scopeService = "service"
)

// Readers returns the IDs of up to perDomain entries of a failure domain that watch the
// configuration service for all others, the highest score first.
func Readers(entries []Member, domain string, perDomain int) []uint64 {
	return topScored(entries, domainOf, domain, Key(scopeReader, domain), perDomain)
}

// ReaderRank returns how many other entries of its failure domain precede the entry self as readers
// of the configuration service, or -1 if self is not in entries.
func ReaderRank(self uint64, entries []Member) int {
	own := slices.IndexFunc(entries, func(m Member) bool { return m.ID == self })
	if own < 0 {
		return -1
	}
	domain, rank := entries[own].Domain, 0
	key := Key(scopeReader, domain)
	score := Score(key, self)
	for i := range entries {
		if entries[i].Domain == domain && Score(key, entries[i].ID) > score {
			rank++
		}
	}
	return rank
}

// Domains returns the failure domains of entries, sorted.
func Domains(entries []Member) []string { return distinctPlaces(entries, domainOf) }

// IsReader reports whether the entry self is among the readers of its own failure domain. An entry
// that is not in entries reads: it does not know enough of the fleet to rely on others.
func IsReader(self uint64, entries []Member, perDomain int) bool {
	return ReaderRank(self, entries) < perDomain
}

// ProbeOwner returns the ID of the entry that probes an endpoint, or 0 without entries. It does not
// allocate.
func ProbeOwner(entries []Member, endpoint string) uint64 {
	key := Key(scopeProbe, endpoint)
	var owner, best uint64
	for i := range entries {
		score := Score(key, entries[i].ID)
		if owner == 0 || score > best {
			owner, best = entries[i].ID, score
		}
	}
	return owner
}

// ServiceEntries returns the IDs of the entries to which callers of a service are directed:
// perDomain of each failure domain, ordered by domain and then by score. An entry that joins or
// leaves changes the result only in its own failure domain, and only by itself and one other entry.
//
// With perDomain 0, one entry of each region serves the service: a single place that sees all its
// requests, at the price of a longer network path for callers in the other failure domains.
func ServiceEntries(service string, entries []Member, perDomain int) []uint64 {
	key := Key(scopeService, service)
	var chosen []uint64
	if perDomain == 0 {
		for _, region := range distinctPlaces(entries, regionOf) {
			chosen = append(chosen, topScored(entries, regionOf, region, key, 1)...)
		}
		return chosen
	}
	for _, domain := range distinctPlaces(entries, domainOf) {
		chosen = append(chosen, topScored(entries, domainOf, domain, key, perDomain)...)
	}
	return chosen
}

// distinctPlaces returns the distinct places of entries, sorted. A fleet has few places, so the
// linear search is cheap.
func distinctPlaces(entries []Member, place func(Member) string) []string {
	var names []string
	for i := range entries {
		if name := place(entries[i]); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func domainOf(m Member) string { return m.Domain }

func regionOf(m Member) string { return m.Region }

// topScored returns the IDs of the n entries at a place with the highest scores, the highest first.
// It is called for each service and failure domain whenever an entry joins or leaves, with a small
// n. Ranking all entries each time was a third of the work of a starting fleet of 472 entries.
func topScored(entries []Member, place func(Member) string, name string, key uint64, n int) []uint64 {
	var scores, chosen []uint64
	for i := range entries {
		if place(entries[i]) != name {
			continue
		}
		score := Score(key, entries[i].ID)
		at := len(scores)
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at >= n {
			continue
		}
		scores, chosen = slices.Insert(scores, at, score), slices.Insert(chosen, at, entries[i].ID)
		scores, chosen = scores[:min(n, len(scores))], chosen[:min(n, len(chosen))]
	}
	return chosen
}
