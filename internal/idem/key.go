// Package idem keeps a non-idempotent request from running twice without any
// shared state: a key names the one entry incarnation that may run it, its
// home, and only the home's Table decides whether the request may be sent.
//
// The package is pure: time is passed in, nothing here blocks, locks or does
// I/O. A Table belongs to one goroutine at a time.
package idem

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"

	"github.com/tealhall/tealhall/internal/fault"
)

// The parts of a key's text: scheme, home, epoch and random, joined by dots.
const (
	keyScheme    = "th1"
	keyParts     = 4
	homeDigits   = 16
	randomBytes  = 16
	randomDigits = 2 * randomBytes
	epochBits    = 32
)

// keyRemedy ends every error about a key's text.
const keyRemedy = "ask an entry for its key prefix and append 32 random lower-case hexadecimal digits"

// Key is an idempotency key.
type Key struct {
	// Home is the entry incarnation that alone may dispatch the request.
	//
	// Two processes with the same Home could both run a key. The daemon
	// excludes that: it makes the number anew at every start of the process,
	// from the second of the start and 32 random bits, and never takes it from
	// settings, the VM or the platform, which stay the same when a process is
	// restarted on its VM.
	Home uint64
	// Epoch is the home's key epoch in which the key was made.
	Epoch uint32
	// Random makes the key unique: 128 random bits.
	Random [16]byte
}

// Prefix returns the text that a caller completes to a key by appending 32
// random lower-case hexadecimal digits.
func Prefix(home uint64, epoch uint32) string {
	text := make([]byte, 0, len(keyScheme)+homeDigits+16)
	text = append(text, keyScheme...)
	text = append(text, '.')
	digits := strconv.FormatUint(home, 16)
	for range homeDigits - len(digits) {
		text = append(text, '0')
	}
	text = append(text, digits...)
	text = append(text, '.')
	text = strconv.AppendUint(text, uint64(epoch), 10)
	text = append(text, '.')
	return string(text)
}

// String returns the key's only text form, the one that ParseKey accepts.
func (k Key) String() string {
	return Prefix(k.Home, k.Epoch) + hex.EncodeToString(k.Random[:])
}

// NewKey makes a key of an epoch of home with 128 bits read from rng.
func NewKey(home uint64, epoch uint32, rng io.Reader) (Key, error) {
	key := Key{Home: home, Epoch: epoch}
	if _, err := io.ReadFull(rng, key.Random[:]); err != nil {
		return Key{}, fault.Wrap(err, fault.BadKey, "check the source of random bits", "idempotency key could not be made")
	}
	return key, nil
}

// ParseKey reads a key's text. It is strict: each key has one text form, so
// that no proxy or log that compares texts can take one key for two. An error
// is of kind fault.BadKey.
func ParseKey(s string) (Key, error) {
	parts := strings.Split(s, ".")
	if len(parts) != keyParts || parts[0] != keyScheme {
		return Key{}, fault.New(fault.BadKey, keyRemedy, "idempotency key is not of the form %s.home.epoch.random", keyScheme)
	}
	home, err := parseHome(parts[1])
	if err != nil {
		return Key{}, err
	}
	epoch, err := parseEpoch(parts[2])
	if err != nil {
		return Key{}, err
	}
	key := Key{Home: home, Epoch: epoch}
	if len(parts[3]) != randomDigits || !isLowerHex(parts[3]) {
		return Key{}, fault.New(fault.BadKey, keyRemedy, "idempotency key does not end in %d lower-case hexadecimal digits", randomDigits)
	}
	if _, err := hex.Decode(key.Random[:], []byte(parts[3])); err != nil {
		return Key{}, fault.Wrap(err, fault.BadKey, keyRemedy, "idempotency key has an unreadable random part")
	}
	return key, nil
}

func parseHome(s string) (uint64, error) {
	if len(s) != homeDigits || !isLowerHex(s) {
		return 0, fault.New(fault.BadKey, keyRemedy, "idempotency key names its home by other than %d lower-case hexadecimal digits", homeDigits)
	}
	home, err := strconv.ParseUint(s, 16, 64)
	if err != nil || home == 0 {
		return 0, fault.New(fault.BadKey, keyRemedy, "idempotency key names no home")
	}
	return home, nil
}

func parseEpoch(s string) (uint32, error) {
	epoch, err := strconv.ParseUint(s, 10, epochBits)
	if err != nil || epoch < firstEpoch || s[0] == '0' || s[0] == '+' {
		return 0, fault.New(fault.BadKey, keyRemedy, "idempotency key has no valid epoch")
	}
	return uint32(epoch), nil
}

func isLowerHex(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
