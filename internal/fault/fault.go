// Package fault implements the typed errors of tealhall. Every error states the cause and the
// remedy, so that a log line or the output of a command is enough to act on.
package fault

import (
	"errors"

	"github.com/samber/oops"
)

// Kind classifies an error for programs; the message is for people.
type Kind string

// The kinds of errors. Each is used by one layer only.
const (
	// BadSettings: the daemon's static settings are unusable.
	BadSettings Kind = "bad-settings"
	// BadProfile: a profile document was refused as a whole.
	BadProfile Kind = "bad-profile"
	// PlatformDown: the configuration service did not answer.
	PlatformDown Kind = "platform-down"
	// PlatformAnswer: the answer of the configuration service is unusable.
	PlatformAnswer Kind = "platform-answer"
	// NotFound: the configuration service does not have the value.
	NotFound Kind = "not-found"
	// StaleRevision: the offered revision is older than the one in force.
	StaleRevision Kind = "stale-revision"
	// RateLimited: a local rate limit on calls was reached.
	RateLimited Kind = "rate-limited"
	// BadMessage: a peer's message is malformed or too large.
	BadMessage Kind = "bad-message"
	// VersionMismatch: a peer supports no protocol version that this program supports.
	VersionMismatch Kind = "version-mismatch"
	// PeerDown: a peer could not be reached or did not answer in time.
	PeerDown Kind = "peer-down"
	// BadRequest: a caller's request is malformed.
	BadRequest Kind = "bad-request"
	// BadKey: an idempotency key is malformed.
	BadKey Kind = "bad-key"
	// Unavailable: the request could not be served.
	Unavailable Kind = "unavailable"
	// Truncated: an answer ended before its announced length.
	Truncated Kind = "truncated"
)

// New returns an error of the given kind. The remedy is an imperative sentence that tells the
// reader what to do; it becomes part of the message.
func New(kind Kind, remedy, format string, args ...any) error {
	return oops.Code(string(kind)).Hint(remedy).Errorf(format+"; "+remedy, args...)
}

// Wrap adds a kind and a remedy to cause. It returns nil for a nil cause.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	return oops.Code(string(kind)).Hint(remedy).Wrapf(cause, format+"; "+remedy, args...)
}

// KindOf returns the kind of the outermost typed error in err's chain, or "".
func KindOf(err error) Kind {
	var typed oops.OopsError
	if !errors.As(err, &typed) {
		return ""
	}
	code, ok := typed.Code().(string)
	if !ok {
		return ""
	}
	return Kind(code)
}

// Remedy returns the remedy of the outermost typed error in err's chain, or "".
func Remedy(err error) string {
	var typed oops.OopsError
	if !errors.As(err, &typed) {
		return ""
	}
	return typed.Hint()
}
