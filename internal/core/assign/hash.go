// Package assign divides work among entries without an election: which entries read the
// configuration service, which entry probes an endpoint, which entries serve a service. Every entry
// computes the same division from the entries that it knows. Two entries that know different
// entries compute divisions with overlaps or gaps for as long as they differ: an overlap costs
// additional calls, and a gap is bridged by the check that every entry makes at a low rate.
//
// The package also tracks the revision in force of a published value. Everything here is pure: time
// is passed in as the duration since the process started. Nothing is safe for concurrent use.
package assign

import (
	"github.com/cespare/xxhash/v2"
)

// Member is one of the entries among which work is divided.
type Member struct {
	// ID identifies the entry to every other entry.
	ID     uint64
	Region string
	Domain string
	// Capacity is the capacity of the entry's VM in thousandths of a core, 0 if it is not known.
	Capacity uint32
}

// Key hashes a text for use with Score. The scope separates kinds of work, so that the same entry
// is not first in all of them.
func Key(scope, text string) uint64 {
	return mix(xxhash.Sum64String(scope)) ^ xxhash.Sum64String(text)
}

// Score returns the rendezvous score of the entry with the given ID for a key. The entry with the
// highest score does the work; when an entry leaves, only its own work moves. Other packages also
// use Score to combine two hashes.
func Score(key, id uint64) uint64 {
	return mix(key ^ mix(id))
}

// mix is the finalizer of the SplitMix64 generator: a bijection that spreads IDs, which may be
// consecutive numbers, over all 64 bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
