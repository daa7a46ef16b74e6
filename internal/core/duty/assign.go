package duty

import (
	"slices"
)

// The scopes of keys, one for each kind of work.
const (
	scopeReader  = "reader"
	scopeProbe   = "probe"
	scopeService = "service"
)

// Readers returns the incarnations of the entries of a failure domain that
// watch the platform for all others, best first; at most perDomain.
func Readers(entries []Member, domain string, perDomain int) []uint64 {
	return first(where(entries, domainOf, domain), Key(scopeReader, domain), perDomain)
}

// ReaderOrder returns the incarnations of the entries of a failure domain in the order in
// which they are to read the platform for all others.
func ReaderOrder(entries []Member, domain string) []uint64 {
	return Readers(entries, domain, len(entries))
}

// Domains returns the failure domains of entries, in order.
func Domains(entries []Member) []string { return places(entries, domainOf) }

// IsReader reports whether the entry self is among the readers of its own
// failure domain. An entry that is not in entries reads: it does not know
// enough of the fleet to rely on others.
func IsReader(self uint64, entries []Member, perDomain int) bool {
	own := slices.IndexFunc(entries, func(m Member) bool { return m.Incarnation == self })
	if own < 0 {
		return true
	}
	return slices.Contains(Readers(entries, entries[own].Domain, perDomain), self)
}

// ProbeOwner returns the incarnation of the entry that probes an endpoint, or
// 0 without entries. It does not allocate.
func ProbeOwner(entries []Member, endpoint string) uint64 {
	key := Key(scopeProbe, endpoint)
	var owner, best uint64
	for i := range entries {
		score := Score(key, entries[i].Incarnation)
		if owner == 0 || score > best {
			owner, best = entries[i].Incarnation, score
		}
	}
	return owner
}

// ServiceEntries returns the incarnations of the entries that callers of a
// service are steered to: perDomain of each failure domain, ordered by domain
// and then by score. An entry that comes or goes changes the answer only in
// its own failure domain and only by itself and one other.
//
// With perDomain 0 one entry of each region serves the service: a single place
// that sees all its requests, for the price of a longer way for callers of the
// other failure domains.
func ServiceEntries(service string, entries []Member, perDomain int) []uint64 {
	key := Key(scopeService, service)
	var chosen []uint64
	if perDomain == 0 {
		for _, region := range places(entries, regionOf) {
			chosen = append(chosen, first(where(entries, regionOf, region), key, 1)...)
		}
		return chosen
	}
	for _, domain := range places(entries, domainOf) {
		chosen = append(chosen, first(where(entries, domainOf, domain), key, perDomain)...)
	}
	return chosen
}

// where returns a copy of the members whose place is the given one.
func where(entries []Member, place func(Member) string, name string) []Member {
	var found []Member
	for _, m := range entries {
		if place(m) == name {
			found = append(found, m)
		}
	}
	return found
}

// places returns the places of the members in order, each once.
func places(entries []Member, place func(Member) string) []string {
	names := make([]string, 0, len(entries))
	for _, m := range entries {
		names = append(names, place(m))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func domainOf(m Member) string { return m.Domain }

func regionOf(m Member) string { return m.Region }

// first returns the incarnations of the n members with the highest scores. It
// reorders members.
func first(members []Member, key uint64, n int) []uint64 {
	rank(members, key)
	n = min(max(n, 0), len(members))
	chosen := make([]uint64, 0, n)
	for _, m := range members[:n] {
		chosen = append(chosen, m.Incarnation)
	}
	return chosen
}
