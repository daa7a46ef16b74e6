// Package fault holds the typed errors of tealhall. Every error names what is
// wrong and the remedy, so that a log line or a command's output is enough to
// act on.
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
	// PlatformAnswer: the configuration service answered with something unusable.
	PlatformAnswer Kind = "platform-answer"
	// NotFound: the configuration service does not hold the value.
	NotFound Kind = "not-found"
	// StaleRevision: an older revision than the one in force was offered.
	StaleRevision Kind = "stale-revision"
	// RateLimited: a local bound on calls was reached.
	RateLimited Kind = "rate-limited"
	// BadMessage: a peer's message is malformed or too large.
	BadMessage Kind = "bad-message"
	// VersionMismatch: a peer speaks no version that this program speaks.
	VersionMismatch Kind = "version-mismatch"
	// PeerDown: a peer could not be reached or did not answer in time.
	PeerDown Kind = "peer-down"
	// BadRequest: a caller's request is malformed.
	BadRequest Kind = "bad-request"
	// BadKey: an idempotency key is malformed.
	BadKey Kind = "bad-key"
	// Unavailable: nothing could serve the request.
	Unavailable Kind = "unavailable"
	// Truncated: an answer ended before its announced length.
	Truncated Kind = "truncated"
)

// New returns an error of the given kind. The remedy is an imperative sentence
// that says what the reader can do; it becomes part of the message.
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

// Remedy returns the remedy named by the outermost typed error, or "".
func Remedy(err error) string {
	var typed oops.OopsError
	if !errors.As(err, &typed) {
		return ""
	}
	return typed.Hint()
}
