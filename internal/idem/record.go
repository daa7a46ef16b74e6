package idem

// Digest binds a key to one request. It is a hash over caller, method, target and body.
type Digest [32]byte

// Result is the state of the request that a key identifies.
type Result uint8

// The results of a key.
const (
	// Running means that the request was or will be dispatched and has no result yet.
	Running Result = iota + 1
	// Done means that an endpoint answered. The answer is kept if it is small enough.
	Done
	// Unknown means that some of the request may have reached an endpoint, but no answer came.
	Unknown
)

// Answer is an endpoint's answer, kept for replay. It is immutable.
type Answer struct {
	Status int
	// Header contains pairs of name and value in their original order.
	Header [][2]string
	Body   []byte
}

// Record is a key with its result, as an entry hands it over to its successor.
type Record struct {
	Key    Key
	Caller uint64 // hash of the caller's identity
	Digest Digest
	Result Result
	// Answer is nil if there was none or it was not kept.
	Answer *Answer
}
