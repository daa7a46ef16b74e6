package idem

import "github.com/cespare/xxhash/v2"

// The size of a filter. With 64 Ki keys one new key in about 70,000 is taken
// for an old one, with 1 Mi keys one in 6.
const (
	filterBits   = 1 << 22
	filterWords  = filterBits / 64
	filterHashes = 4
)

// filter is a set of keys in fixed memory (a Bloom filter). It may claim to
// hold a key that was never added, but never misses one that was. For spent
// keys this is the safe side: a wrong claim refuses a new key as not run, and
// the caller makes another one.
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

// filterStart returns where a key's bits start and how far they are apart. The
// key is hashed because callers may count instead of drawing random bits.
func filterStart(random [randomBytes]byte) (at, step uint32) {
	sum := xxhash.Sum64(random[:])
	return uint32(sum), uint32(sum>>32) | 1
}
