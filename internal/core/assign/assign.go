package assign

import (
	"cmp"
	"slices"
	"strings"
)

// The scopes of hash keys, one for each kind of work.
const (
	scopeReader  = "reader"
	scopeProbe   = "probe"
	scopeService = "service"
)

// Readers returns the IDs of up to perDomain entries of a failure domain that watch the
// configuration service for all others, the first in rank first.
func Readers(entries []Member, domain string, perDomain int) (readers []uint64) {
	candidates := slices.DeleteFunc(slices.Clone(entries), func(m Member) bool { return m.Domain != domain })
	slices.SortFunc(candidates, func(a, b Member) int { return compareReaders(&a, &b) })
	for _, m := range candidates[:min(perDomain, len(candidates))] {
		readers = append(readers, m.ID)
	}
	return readers
}

// compareReaders orders the entries of a failure domain as readers. The strongest come first, since
// all others wait while a reader decodes a large value; among equals the rendezvous score decides.
func compareReaders(a, b *Member) int {
	key := Key(scopeReader, a.Domain)
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(Score(key, b.ID), Score(key, a.ID)))
}

// ReaderRank returns how many other entries of its failure domain precede the entry self as readers
// of the configuration service, or -1 if self is not in entries.
func ReaderRank(self uint64, entries []Member) int {
	own := slices.IndexFunc(entries, func(m Member) bool { return m.ID == self })
	if own < 0 {
		return -1
	}
	rank := 0
	for i := range entries {
		if entries[i].Domain == entries[own].Domain && compareReaders(&entries[i], &entries[own]) < 0 {
			rank++
		}
	}
	return rank
}

// Domains returns the failure domains of entries, sorted.
func Domains(entries []Member) (domains []string) {
	for i := range entries {
		if domain := entries[i].Domain; !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

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
	if perDomain == 0 {
		return topOfPlaces(entries, regionOf, Key(scopeService, service), 1)
	}
	return topOfPlaces(entries, domainOf, Key(scopeService, service), perDomain)
}

// CountServiceEntries returns the number of entries that ServiceEntries returns for any service.
func CountServiceEntries(entries []Member, perDomain int) (count int) {
	place, most := domainOf, perDomain
	if perDomain == 0 {
		place, most = regionOf, 1
	}
	sizes := make(map[string]int)
	for i := range entries {
		sizes[place(entries[i])]++
	}
	for _, size := range sizes {
		count += min(size, most)
	}
	return count
}

// placeTop collects the entries of a place with the highest scores, the highest first.
type placeTop struct {
	place       string
	scores, ids []uint64
}

// topOfPlaces returns the IDs of the n entries of each place with the highest scores, ordered by
// place. It is called for each service whenever an entry joins or leaves, with a small n, so it
// hashes each entry once and sorts none.
func topOfPlaces(entries []Member, place func(Member) string, key uint64, n int) (chosen []uint64) {
	var tops []placeTop
	at := 0
	for i := range entries {
		name := place(entries[i])
		if len(tops) == 0 || tops[at].place != name {
			at = slices.IndexFunc(tops, func(t placeTop) bool { return t.place == name })
		}
		if at < 0 {
			at = len(tops)
			tops = append(tops, placeTop{place: name})
		}
		tops[at].add(Score(key, entries[i].ID), entries[i].ID, n)
	}
	slices.SortFunc(tops, func(a, b placeTop) int { return strings.Compare(a.place, b.place) })
	for i := range tops {
		chosen = append(chosen, tops[i].ids...)
	}
	return chosen
}

// add inserts an entry if its score is among the n highest.
func (t *placeTop) add(score, id uint64, n int) {
	at := len(t.scores)
	for at > 0 && t.scores[at-1] < score {
		at--
	}
	if at >= n {
		return
	}
	t.scores, t.ids = slices.Insert(t.scores, at, score), slices.Insert(t.ids, at, id)
	t.scores, t.ids = t.scores[:min(n, len(t.scores))], t.ids[:min(n, len(t.ids))]
}

func domainOf(m Member) string { return m.Domain }

func regionOf(m Member) string { return m.Region }
