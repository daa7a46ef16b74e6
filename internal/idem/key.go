// Package idem prevents a non-idempotent request from running twice, without shared state: each key
// names its home, the one entry incarnation that may run it, and only the home's Table decides
// whether the request may be sent.
//
// The package does not block, lock, do I/O or read a clock: the code that uses it, called the
// driver, passes in the time. A Table is not safe for concurrent use.
package idem

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"

	"github.com/tealhall/tealhall/internal/fault"
)

// The text of a key consists of a scheme, the home, the epoch and random digits, joined by dots.
const (
	keyScheme    = "th1"
	keyParts     = 4
	homeDigits   = 16
	randomBytes  = 16
	randomDigits = 2 * randomBytes
	epochBits    = 32
)

// keyRemedy is the remedy of every error about a key's text.
const keyRemedy = "ask an entry for its key prefix and append 32 random lower-case hexadecimal digits"

// Key is an idempotency key.
type Key struct {
	// Home is the only entry incarnation that may dispatch the request.
	//
	// Two processes with the same Home could both run a key. The daemon prevents that: it makes a
	// new number at each start of the process from the time of the start and random bits. It never
	// takes the number from settings, the VM or the platform, because these stay the same when a
	// process restarts on its VM.
	Home uint64
	// Epoch is the home's key epoch in which the key was made.
	Epoch uint32
	// Random contains 128 random bits that make the key unique.
	Random [16]byte
}

// Prefix returns the first part of a key's text. A caller makes a key by appending 32 random
// lower-case hexadecimal digits.
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

// String returns the key's text, the only form that ParseKey accepts.
func (k Key) String() string {
	return Prefix(k.Home, k.Epoch) + hex.EncodeToString(k.Random[:])
}

// NewKey returns a new key of the given home and epoch, with 128 random bits read from rng.
func NewKey(home uint64, epoch uint32, rng io.Reader) (Key, error) {
	key := Key{Home: home, Epoch: epoch}
	if _, err := io.ReadFull(rng, key.Random[:]); err != nil {
		return Key{}, fault.Wrap(err, fault.BadKey, "check the source of random bits", "idempotency key could not be made")
	}
	return key, nil
}

// ParseKey parses a key's text. Each key has exactly one accepted text form, so that a proxy or log
// that compares texts cannot take one key for two. Errors are of kind fault.BadKey.
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
		return 0, fault.New(fault.BadKey, keyRemedy, "idempotency key does not name its home by %d lower-case hexadecimal digits", homeDigits)
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
