package idem

// DecisionKind says what becomes of a request that brings a key.
type DecisionKind uint8

// The kinds of verdicts.
const (
	// Run: the key is recorded as running. Whoever called Begin ends it by
	// Finish or Release.
	Run DecisionKind = iota + 1
	// Join: the same request is running. Wait for its end and call Begin
	// again. A caller that can't wait so long is told "unknown".
	Join
	// Replay: the request is done, Decision.Answer holds its answer.
	Replay
	// DoneNoAnswer: the request is done, its answer was not kept.
	DoneNoAnswer
	// OutcomeUnknown: the request may have run. It is never run again.
	OutcomeUnknown
	// NotHome: Decision.Home alone can tell. Forward the request there once, or
	// to a successor of it; a request that was forwarded is not forwarded again.
	NotHome
	// HomeUnknown: the home can't be reached and nobody holds its table. The
	// driver sets it in place of NotHome; a Table never returns it.
	HomeUnknown
	// Mismatch: the key belongs to another caller or another request. This
	// request was not run; nothing is told of the other.
	Mismatch
	// Expired: the key's epoch was forgotten, with every key in it. Whether
	// the request ran is not known any more, and it is never run.
	Expired
	// FromFuture: the key's epoch has not begun here. No entry gave out such a
	// prefix, so nothing is promised about the key.
	FromFuture
	// Spent: a caller was told that this key's request was not run. To keep
	// that true the key never runs; the caller makes a new one.
	Spent
	// Sealed: the home is stopping, a new key is not run.
	Sealed
	// Full: the table has no room, a new key is not run.
	Full
	// SealedNotRun: the home handed over its whole table, and the key is not
	// in it: the request was not run and never will be.
	SealedNotRun
)

var decisionNames = [...]string{
	Run:            "run",
	Join:           "join",
	Replay:         "replay",
	DoneNoAnswer:   "done-no-answer",
	OutcomeUnknown: "outcome-unknown",
	NotHome:        "not-home",
	HomeUnknown:    "home-unknown",
	Mismatch:       "mismatch",
	Expired:        "expired",
	FromFuture:     "from-future",
	Spent:          "spent",
	Sealed:         "sealed",
	Full:           "full",
	SealedNotRun:   "sealed-not-run",
}

// String returns the kind's name as it stands in logs and the audit trail.
func (k DecisionKind) String() string {
	if int(k) < len(decisionNames) && decisionNames[k] != "" {
		return decisionNames[k]
	}
	return "invalid"
}

// Outcome is what a caller may be told of its request.
type Outcome uint8

// The outcomes.
const (
	// Pending: nothing can be told yet. If it must be, the outcome is unknown.
	Pending Outcome = iota
	// ReplyNotRun: no try of the key has run, and none ever will.
	ReplyNotRun
	// ReplyUnknown: the request may have run, or may still run.
	ReplyUnknown
	// ReplyDone: the request ran once.
	ReplyDone
)

// Outcome returns the strongest statement that the verdict supports.
func (k DecisionKind) Outcome() Outcome {
	switch k {
	case Run, Join, NotHome:
		return Pending
	case Replay, DoneNoAnswer:
		return ReplyDone
	case Mismatch, Spent, Sealed, Full, SealedNotRun:
		return ReplyNotRun
	default:
		return ReplyUnknown
	}
}

// Decision is the answer to Begin.
type Decision struct {
	Kind DecisionKind
	// Home is the key's home.
	Home uint64
	// Answer is set for Replay only. It is shared and must not be changed.
	Answer *Answer
}
