package idem

import "time"

// Defaults of Config. With them a key is kept for eight to ten minutes after it was made.
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
	// Self is the incarnation of this entry. Only requests whose keys have this home may run here.
	// No other process may ever use the same number; see Key.Home.
	Self uint64
	// EpochLength is the duration of an epoch.
	EpochLength time.Duration
	// KeepEpochs is the number of epochs that are kept, including the current one.
	KeepEpochs int
	// MaxKeys is the maximum number of recorded keys of Self.
	MaxKeys int
	// MaxAnswerBytes is the maximum size of a kept answer.
	MaxAnswerBytes int
	// MaxAnswerTotal is the maximum size of all kept answers together, in bytes.
	MaxAnswerTotal int64
	// MaxAdopted is the maximum number of recorded keys of all other homes together.
	MaxAdopted int
}

// DefaultConfig returns the default bounds for the incarnation self.
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

// withDefaults replaces invalid bounds.
func (c Config) withDefaults() Config {
	if c.EpochLength <= 0 {
		c.EpochLength = defaultEpochLength
	}
	c.KeepEpochs = max(c.KeepEpochs, 1)
	c.MaxKeys = max(c.MaxKeys, 1)
	return c
}
