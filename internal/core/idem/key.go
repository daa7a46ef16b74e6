// Package idem keeps a non-idempotent request from running twice without any
// shared state: a key names the one entry incarnation that may run it.
package idem

// Key is an idempotency key.
type Key struct {
	// Home is the entry incarnation that alone may dispatch the request.
	Home uint64
	// Epoch is the home's key epoch in which the key was made.
	Epoch uint32
	// Random makes the key unique: 128 random bits.
	Random [16]byte
}
