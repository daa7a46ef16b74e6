package idem

// DecisionKind is the kind of a decision on a request with a key.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Run means that the key is now recorded as running. The caller of Begin ends it with Finish
	// or Release.
	Run DecisionKind = iota + 1
	// Join means that the same request is already running. The driver waits until it ends and calls
	// Begin again. A caller that cannot wait that long gets the reply "unknown".
	Join
	// Replay means that the request is done and Decision.Answer is its answer.
	Replay
	// DoneNoAnswer means that the request is done, but its answer was not kept.
	DoneNoAnswer
	// OutcomeUnknown means that the request may have run. It is never run again.
	OutcomeUnknown
	// NotHome means that only Decision.Home can decide. The driver forwards the request once, to
	// the home or its successor; a forwarded request is not forwarded again.
	NotHome
	// HomeUnknown means that the home cannot be reached and no entry adopted its table. The driver
	// sets it in place of NotHome; a Table never returns it.
	HomeUnknown
	// Mismatch means that the key belongs to another caller or another request. This request was
	// not run, and nothing about the other request is disclosed.
	Mismatch
	// Expired means that the key's epoch and all its keys were dropped. Whether the request ran is
	// no longer known, and it is never run.
	Expired
	// FromFuture means that the key's epoch has not begun yet. No entry issued such a prefix, so
	// there are no guarantees for the key.
	FromFuture
	// Spent means that a caller was told that this key's request was not run. The key never runs,
	// so that this stays true. The caller has to make a new key.
	Spent
	// Sealed means that the home is stopping and does not run new keys.
	Sealed
	// Full means that the table has no room and the new key is not run.
	Full
	// SealedNotRun means that the home handed over its complete table without the key, so that
	// the request was not run and never will be.
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

// String returns the kind's name for logs and the audit trail.
func (k DecisionKind) String() string {
	if int(k) < len(decisionNames) && decisionNames[k] != "" {
		return decisionNames[k]
	}
	return "invalid"
}

// Outcome is the statement that a caller may get about its request.
type Outcome uint8

// The outcomes.
const (
	// Pending means that there is no outcome yet. A caller that cannot wait gets "unknown".
	Pending Outcome = iota
	// ReplyNotRun means that no request with the key has run or ever will.
	ReplyNotRun
	// ReplyUnknown means that the request may have run, or may still run.
	ReplyUnknown
	// ReplyDone means that the request ran once.
	ReplyDone
)

// Outcome returns the strongest statement that the decision supports.
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

// Decision is the result of Begin.
type Decision struct {
	Kind DecisionKind
	// Home is the key's home.
	Home uint64
	// Answer is set only for Replay. It is shared and must not be changed.
	Answer *Answer
}
