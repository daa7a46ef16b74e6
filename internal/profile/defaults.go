package profile

import "time"

// Default returns the policy of a profile of the given kind that sets no other field.
func Default(kind Kind) Policy {
	p := Policy{
		Kind:             kind,
		Deadline:         2 * time.Second,
		QueueLimit:       64,
		QueueOrder:       ByDeadline,
		Priority:         5,
		SlotShare:        1,
		CallerShare:      0.25,
		RetryBudget:      0.1,
		MaxAttempts:      3,
		ProbeBudget:      0.02,
		EjectMaxShare:    0.3,
		EjectBase:        5 * time.Second,
		EjectMax:         2 * time.Minute,
		MaxBodyBytes:     megabyte,
		EntriesPerDomain: 1,
	}
	switch kind {
	case Once:
		p.Deadline = 10 * time.Second
		p.QueueLimit = 128
		p.QueueOrder = ByArrival
		p.Priority = 7
		p.ProbeBudget = 0.01
		p.RequireKey = true
	case Bulk:
		p.Deadline = 5 * time.Minute
		p.QueueLimit = 256
		p.QueueOrder = ByArrival
		p.Priority = 1
		p.SlotShare = 0.5
		p.ProbeBudget = 0.005
		p.EjectMaxShare = 0.2
		p.MaxBodyBytes = 256 * megabyte
	case Urgent:
		p.Deadline = time.Second
		p.QueueLimit = 16
		p.Priority = 9
		p.CallerShare = 0.5
	}
	return p
}
