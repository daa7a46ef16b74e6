// Package transfer decides how the bytes of large answers pass through an entry: how much of an
// answer the entry holds for a caller that reads slowly, and which answer may use the entry's link
// next. Buffers and Turns are pure; Link makes them usable by concurrent requests.
package transfer

// Buffers bounds the bytes that an entry holds for callers that read their answers slowly. An answer
// may hold as much as is left of the limit for all (the dynamic threshold of shared-memory switches):
// one slow caller may use half of it, n of them get an equal part each, and one more always finds
// room without anything being taken from the others.
type Buffers struct {
	// Limit bounds the bytes of all answers together, PerAnswer those of one.
	Limit, PerAnswer int64
	used             int64
}

// Take takes n bytes for an answer that holds held bytes. It reports false, and takes nothing, if the
// answer may not hold as much.
func (b *Buffers) Take(held, n int64) bool {
	if held+n > b.PerAnswer || held+n > b.Limit-b.used {
		return false
	}
	b.used += n
	return true
}

// Return gives n bytes back.
func (b *Buffers) Return(n int64) { b.used -= n }

// Used returns the bytes that all answers hold.
func (b *Buffers) Used() int64 { return b.used }
