package profile

import (
	"fmt"
	"strings"
)

// rule is an invalid combination of settings within one profile. Its problem and remedy also appear
// in the reference.
type rule struct {
	// fields are the settings involved. The problem is reported at the first of them that the
	// document sets.
	fields   []string
	violated func(p *Policy) bool
	problem  string
	remedy   string
}

// rules apply to both modes of every profile.
var rules = []rule{
	{
		fields:   []string{"hedge_after", "kind"},
		violated: func(p *Policy) bool { return p.HedgeAfter > 0 && (p.Kind == Once || p.Kind == Bulk) },
		problem:  "a hedge runs a request a second time, which kinds once and bulk do not allow",
		remedy:   "remove hedge_after",
	},
	{
		fields:   []string{"max_attempts", "require_key", "kind"},
		violated: func(p *Policy) bool { return p.Kind == Once && !p.RequireKey && p.MaxAttempts > 1 },
		problem:  "kind once without a required key can have one attempt only",
		remedy:   "set require_key = true or max_attempts = 1",
	},
	{
		fields:   []string{"hedge_after", "deadline"},
		violated: func(p *Policy) bool { return p.HedgeAfter >= p.Deadline },
		problem:  "the hedge would start at the deadline or later",
		remedy:   "set hedge_after well below deadline, or remove it",
	},
	{
		fields:   []string{"hedge_after", "max_attempts"},
		violated: func(p *Policy) bool { return p.HedgeAfter > 0 && p.MaxAttempts < 2 },
		problem:  "a hedge is a second attempt, and max_attempts allows one",
		remedy:   "set max_attempts to 2 or more, or remove hedge_after",
	},
	{
		fields:   []string{"hedge_after", "retry_budget"},
		violated: func(p *Policy) bool { return p.HedgeAfter > 0 && p.RetryBudget == 0 },
		problem:  "hedges are paid from retry_budget, which is 0",
		remedy:   "set retry_budget above 0, or remove hedge_after",
	},
	{
		fields:   []string{"eject_base", "eject_max"},
		violated: func(p *Policy) bool { return p.EjectBase > p.EjectMax },
		problem:  "the first ejection is longer than the longest one",
		remedy:   "set eject_base to eject_max or less",
	},
	{
		fields: []string{"caller_share", "queue_limit"},
		violated: func(p *Policy) bool {
			return p.QueueLimit > 0 && p.CallerShare*float64(p.QueueLimit) < 1
		},
		problem: "caller_share of queue_limit is less than one place, so no caller could ever wait",
		remedy:  "set caller_share to 1 / queue_limit or more, or queue_limit = 0",
	},
}

const (
	orderWithoutQueue       = "queue_order has no meaning with queue_limit = 0"
	orderWithoutQueueRemedy = "remove queue_order or set queue_limit to 1 or more"
)

// checkRules reports the rules that the policy of one mode violates. blocks are the tables that may
// set the mode's settings, the one with precedence first. Rules that involve a refused setting are
// skipped, because p holds the default, or during a close the ordinary setting, in its place.
func (c *checker) checkRules(p *Policy, blocks []section, refused map[string]bool) {
	for _, r := range rules {
		if r.violated(p) && !containsAny(refused, r.fields) {
			c.report(firstSetPath(blocks, r.fields), r.problem, r.remedy)
		}
	}
	_, ordered := blocks[0].values["queue_order"]
	if ordered && p.QueueLimit == 0 && !containsAny(refused, []string{"queue_limit"}) {
		c.report(blocks[0].child("queue_order"), orderWithoutQueue, orderWithoutQueueRemedy)
	}
}

func containsAny(set map[string]bool, names []string) bool {
	for _, name := range names {
		if set[name] {
			return true
		}
	}
	return false
}

// firstSetPath returns the path of the first of the named settings that a block sets.
func firstSetPath(blocks []section, names []string) string {
	for _, block := range blocks {
		for _, name := range names {
			if _, ok := block.values[name]; ok {
				return block.child(name)
			}
		}
	}
	return blocks[0].child(names[0])
}

// urgentReserve is the share of a pool's slots that services of other kinds may not use if an
// urgent service shares the pool. Without it, bulk requests, which use a slot for a long
// time and are never cut off, could occupy every slot, and an urgent request would wait for an
// entire upload.
const urgentReserve = 0.1

// shareTolerance absorbs rounding errors in a sum of decimal shares.
const shareTolerance = 1e-9

// checkUrgentReserve reports urgent services whose pools do not leave urgentReserve to them.
// services must be sorted by name.
func (c *checker) checkUrgentReserve(services []*Service) {
	for _, s := range services {
		if s.Ordinary.Kind != Urgent {
			continue
		}
		for _, mode := range []Mode{Ordinary, Closing} {
			c.checkUrgentReserveInMode(s, mode, services)
		}
	}
}

func (c *checker) checkUrgentReserveInMode(urgent *Service, mode Mode, services []*Service) {
	var sum float64
	var names []string
	for _, s := range services {
		if s.Pool != urgent.Pool || s.Ordinary.Kind == Urgent {
			continue
		}
		sum += s.Policy(mode == Closing).SlotShare
		names = append(names, s.Name)
	}
	if sum <= 1-urgentReserve+shareTolerance {
		return
	}
	problem := fmt.Sprintf("in %s mode the other services of pool %s (%s) may hold %.4g of its slots, which leaves too little for urgent requests",
		mode, urgent.Pool, strings.Join(names, ", "), sum)
	remedy := fmt.Sprintf("set their slot_share to %.4g or less together", 1-urgentReserve)
	c.report(joinPath("service", urgent.Name), problem, remedy)
}
