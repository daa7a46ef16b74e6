package idem

import "time"

// The defaults of a Table's bounds. With them a key is answered for eight to
// ten minutes after it was made.
const (
	defaultEpochLength    = 2 * time.Minute
	defaultKeepEpochs     = 5
	defaultMaxKeys        = 64 << 10
	defaultMaxAnswerBytes = 4 << 10
	defaultMaxAnswerTotal = 8 << 20
	defaultMaxAdopted     = 64 << 10
)

// Config bounds a Table.
type Config struct {
	// Self is the incarnation whose keys the table runs. No other process may
	// ever have the same one (see Key.Home).
	Self uint64
	// EpochLength is how long callers make keys of the same epoch.
	EpochLength time.Duration
	// KeepEpochs counts the epochs that are kept, the current one included.
	KeepEpochs int
	// MaxKeys bounds the recorded keys of Self.
	MaxKeys int
	// MaxAnswerBytes bounds one kept answer.
	MaxAnswerBytes int
	// MaxAnswerTotal bounds all kept answers together, in bytes.
	MaxAnswerTotal int64
	// MaxAdopted bounds the recorded keys of all other homes together.
	MaxAdopted int
}

// DefaultConfig returns the bounds that an entry uses.
func DefaultConfig(self uint64) Config {
	return Config{
		Self:           self,
		EpochLength:    defaultEpochLength,
		KeepEpochs:     defaultKeepEpochs,
		MaxKeys:        defaultMaxKeys,
		MaxAnswerBytes: defaultMaxAnswerBytes,
		MaxAnswerTotal: defaultMaxAnswerTotal,
		MaxAdopted:     defaultMaxAdopted,
	}
}

// withDefaults replaces bounds that can't work.
func (c Config) withDefaults() Config {
	if c.EpochLength <= 0 {
		c.EpochLength = defaultEpochLength
	}
	c.KeepEpochs = max(c.KeepEpochs, 1)
	c.MaxKeys = max(c.MaxKeys, 1)
	return c
}
