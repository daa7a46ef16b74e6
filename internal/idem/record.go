package idem

// Digest binds a key to one request: a hash over caller, method, target and body.
type Digest [32]byte

// Result is what is known of the request that a key names.
type Result uint8

// The results of a key.
const (
	// Running: dispatched or about to be, no result yet.
	Running Result = iota + 1
	// Done: an endpoint answered; the answer is kept if it was small.
	Done
	// Unknown: a byte may have reached an endpoint and no answer came back.
	Unknown
)

// Answer is an endpoint's answer that is kept for replay. It is immutable.
type Answer struct {
	Status int
	// Header holds name, value pairs in order.
	Header [][2]string
	Body   []byte
}

// Record is one key with its result, as it is handed to a successor.
type Record struct {
	Key    Key
	Caller uint64 // hash of the caller's identity
	Digest Digest
	Result Result
	// Answer is nil when it was too large to keep or there was none.
	Answer *Answer
}
