package contract

// EntriesAnswer is the JSON answer to GET EntriesPath: the entries that a caller should use for a
// service.
type EntriesAnswer struct {
	// Service is the service that the answer is for.
	Service string `json:"service"`
	// Revision is the revision of the profiles in force at the entry that answered.
	Revision uint64 `json:"revision"`
	// TTLMillis is the time for which the caller may use the answer, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
	// Entries is in the order in which this caller should try the entries.
	Entries []EntryAddress `json:"entries"`
}

// EntryAddress is one entry in an EntriesAnswer.
type EntryAddress struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Incarnation is in hexadecimal; it changes when the entry restarts.
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	// KeyPrefix followed by 32 random hexadecimal digits is an idempotency key whose home is this
	// entry.
	KeyPrefix string `json:"key_prefix"`
	// Weight is the share of requests that this entry should get among the entries of equal rank. 0
	// means that the entry should be used only when the others fail.
	Weight float64 `json:"weight"`
}

// ErrorAnswer is the JSON body of every answer that the entry itself generates.
type ErrorAnswer struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Remedy  string  `json:"remedy"`
	// RetryAfterMillis is the retry delay in milliseconds; 0 if a retry does not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// HeaderReplayed is ReplayedValue on the stored answer to a request that ran before under the same
// idempotency key.
const HeaderReplayed = "Tealhall-Replayed"

// ReplayedValue is the only value of HeaderReplayed.
const ReplayedValue = "1"

// CountedValue is the only value of HeaderCounted.
const CountedValue = "1"

// The values of HeaderForwarded.
const (
	// ForwardedValue: the request was forwarded to the home of its key.
	ForwardedValue = "1"
	// RelayedValue: the request was relayed by an entry that reaches no endpoint.
	RelayedValue = "relay"
)
