package idem

import "github.com/cespare/xxhash/v2"

// Size of a filter. With 64 Ki keys the rate of false positives is about 1 in 70,000, with 1 Mi
// keys 1 in 6.
const (
	filterBits   = 1 << 22
	filterWords  = filterBits / 64
	filterHashes = 4
)

// filter is a Bloom filter, a set of keys of fixed size. It may report a key that was never added,
// but never misses an added one. This is safe for spent keys: after a false positive a new key is
// refused as not run, and the caller makes another one.
type filter struct {
	words []uint64 // nil until the first add
}

func (f *filter) add(random [randomBytes]byte) {
	if f.words == nil {
		f.words = make([]uint64, filterWords)
	}
	at, step := filterStart(random)
	for range filterHashes {
		f.words[at%filterBits/64] |= 1 << (at % 64)
		at += step
	}
}

func (f *filter) has(random [randomBytes]byte) bool {
	if f.words == nil {
		return false
	}
	at, step := filterStart(random)
	for range filterHashes {
		if f.words[at%filterBits/64]&(1<<(at%64)) == 0 {
			return false
		}
		at += step
	}
	return true
}

// filterStart returns the position of a key's first bit and the distance between its bits. The key
// is hashed because some callers may use a counter in place of random bits.
func filterStart(random [randomBytes]byte) (at, step uint32) {
	sum := xxhash.Sum64(random[:])
	return uint32(sum), uint32(sum>>32) | 1
}
