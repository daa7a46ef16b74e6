package profile

import (
	"fmt"
	"strconv"
	"time"
)

// field describes one setting of a profile. Validation, Diff and the reference in docs/PROFILES.md
// all use this description.
type field struct {
	// name is the key in the document.
	name string
	// ref returns a pointer to the setting in p. The pointer's type determines the value's format
	// in the document.
	ref func(p *Policy) any
	// min and max bound the value in nanoseconds, bytes or as a plain number. They are ignored for
	// strings and booleans.
	min, max float64
	// allowZero allows 0 even if it is below min.
	allowZero bool
	// fixed marks a setting that is part of the contract with callers and must not differ during a
	// close.
	fixed bool
	// description is the setting's text in the reference.
	description string
}

// fields lists every setting. kind is first because it determines the defaults.
var fields = []field{
	{
		name: "kind", ref: func(p *Policy) any { return &p.Kind }, fixed: true,
		description: "Kind of the requests. `read`: idempotent, callers wait. `once`: must not run twice. `bulk`: large, may be slow. `urgent`: idempotent, few, before all others.",
	},
	{
		name: "deadline", ref: func(p *Policy) any { return &p.Deadline },
		min: float64(10 * time.Millisecond), max: float64(time.Hour),
		description: "Longest time from a request's arrival at an entry to its answer. A request that cannot meet it is refused early as not run. A caller may ask for less, never for more.",
	},
	{
		name: "objective", ref: func(p *Policy) any { return &p.Objective },
		min: float64(time.Millisecond), max: float64(time.Hour), allowZero: true,
		description: "Latency within which an answer has its full value; hedges and early refusals depend on it. `0s`: none. A route's own objective replaces it.",
	},
	{
		name: "looks", ref: func(p *Policy) any { return &p.LoadProbes }, max: 32,
		description: "Endpoints that may be asked for their load right before a request is sent, within `watch_budget`. `0`: none, endpoints are chosen by the load that their answers and peers reported.",
	},
	{
		name: "queue_limit", ref: func(p *Policy) any { return &p.QueueLimit }, max: 10000,
		description: "Requests of the service that may wait at one entry. `0`: none waits, a request that finds no free slot is refused as not run.",
	},
	{
		name: "queue_order", ref: func(p *Policy) any { return &p.QueueOrder },
		description: "Which waiting request goes first among those of equal priority: `deadline` (the nearest) or `arrival` (the oldest).",
	},
	{
		name: "priority", ref: func(p *Policy) any { return &p.Priority }, max: 9,
		description: "Services that share a pool are served in this order, highest first.",
	},
	{
		name: "slot_share", ref: func(p *Policy) any { return &p.SlotShare }, min: 0.01, max: 1,
		description: "Largest share of the pool's slots that the service may hold at once.",
	},
	{
		name: "caller_share", ref: func(p *Policy) any { return &p.CallerShare }, min: 0.01, max: 1,
		description: "Largest share of the queue's places that one caller may hold.",
	},
	{
		name: "retry_budget", ref: func(p *Policy) any { return &p.RetryBudget }, max: 1,
		description: "Retries and hedges together, as a share of successful requests. `0`: neither.",
	},
	{
		name: "max_attempts", ref: func(p *Policy) any { return &p.MaxAttempts }, min: 1, max: 5,
		description: "Attempts of one request, including the first. A request of kind `once` is retried only if the previous attempt provably did not run.",
	},
	{
		name: "hedge_after", ref: func(p *Policy) any { return &p.HedgeAfter },
		min: float64(time.Millisecond), max: float64(time.Minute), allowZero: true,
		description: "How long the first attempt may stay unanswered before a second one starts elsewhere. `0s`: no hedge.",
	},
	{
		name: "watch_budget", ref: func(p *Policy) any { return &p.ProbeBudget }, max: 0.2,
		description: "Share of the endpoints' slot time that the probes of all entries together may take. In a shared pool the smallest value applies.",
	},
	{
		name: "eject_max_share", ref: func(p *Policy) any { return &p.EjectMaxShare }, max: 0.5,
		description: "Largest share of the pool's endpoints ejected at once. `0`: no ejection. In a shared pool the smallest value applies.",
	},
	{
		name: "eject_base", ref: func(p *Policy) any { return &p.EjectBase },
		min: float64(100 * time.Millisecond), max: float64(time.Hour),
		description: "Duration of a first ejection; consecutive ejections last longer, up to `eject_max`. In a shared pool the smallest value applies.",
	},
	{
		name: "eject_max", ref: func(p *Policy) any { return &p.EjectMax },
		min: float64(100 * time.Millisecond), max: float64(time.Hour),
		description: "Longest duration of an ejection. In a shared pool the smallest value applies.",
	},
	{
		name: "max_body", ref: func(p *Policy) any { return &p.MaxBodyBytes }, max: 16 * gigabyte,
		description: "Largest request body; a larger one is refused as not run. `0B`: no body.",
	},
	{
		name: "require_key", ref: func(p *Policy) any { return &p.RequireKey }, fixed: true,
		description: "Whether a request without an idempotency key is refused as not run.",
	},
	{
		name: "entries_per_domain", ref: func(p *Policy) any { return &p.EntriesPerDomain }, min: 0, max: 16,
		description: "Entries of each failure domain that callers of the service are sent to. `0`: one entry in each region, which then sees every request and every slot; requests from callers in other failure domains travel further.",
	},
}

// fieldNames returns the keys of all settings in the order of the reference.
func fieldNames() []string {
	names := make([]string, len(fields))
	for i := range fields {
		names[i] = fields[i].name
	}
	return names
}

// set stores a decoded TOML value in p and reports whether the field allows the value. If not, p is
// unchanged.
func (f *field) set(p *Policy, value any) bool {
	switch ref := f.ref(p).(type) {
	case *Kind:
		text, ok := value.(string)
		return ok && setChoice(ref, Kind(text), Kinds())
	case *QueueOrder:
		text, ok := value.(string)
		return ok && setChoice(ref, QueueOrder(text), []QueueOrder{ByDeadline, ByArrival})
	case *bool:
		flag, ok := value.(bool)
		if ok {
			*ref = flag
		}
		return ok
	case *int:
		n, ok := value.(int64)
		return ok && setInRange(f, ref, int(n))
	case *float64:
		if n, ok := value.(int64); ok {
			return setInRange(f, ref, float64(n))
		}
		share, ok := value.(float64)
		return ok && setInRange(f, ref, share)
	case *time.Duration:
		text, ok := value.(string)
		if !ok {
			return false
		}
		d, err := time.ParseDuration(text)
		return err == nil && setInRange(f, ref, d)
	case *int64:
		text, ok := value.(string)
		if !ok {
			return false
		}
		size, ok := parseSize(text)
		return ok && setInRange(f, ref, size)
	}
	panic("profile: unsupported type of field " + f.name)
}

// setChoice stores value and returns true if value is one of allowed.
func setChoice[T comparable](ref *T, value T, allowed []T) bool {
	for _, a := range allowed {
		if a == value {
			*ref = value
			return true
		}
	}
	return false
}

// setInRange stores value and returns true if value is within the field's bounds. NaN fails both
// comparisons and is therefore refused.
func setInRange[T int | int64 | float64 | time.Duration](f *field, ref *T, value T) bool {
	n := float64(value)
	inside := n >= f.min && n <= f.max
	if !inside && !(f.allowZero && n == 0) {
		return false
	}
	*ref = value
	return true
}

// format returns the setting of p as written in the document, without quotes.
func (f *field) format(p *Policy) string {
	switch ref := f.ref(p).(type) {
	case *Kind:
		return string(*ref)
	case *QueueOrder:
		return string(*ref)
	case *bool:
		return strconv.FormatBool(*ref)
	case *int:
		return strconv.Itoa(*ref)
	case *float64:
		return formatShare(*ref)
	case *time.Duration:
		return formatDuration(*ref)
	case *int64:
		return formatSize(*ref)
	}
	panic("profile: unsupported type of field " + f.name)
}

// unit returns the name of the setting's unit or type.
func (f *field) unit() string {
	switch f.ref(new(Policy)).(type) {
	case *Kind, *QueueOrder:
		return "choice"
	case *bool:
		return "true or false"
	case *int:
		return "whole number"
	case *float64:
		return "share"
	case *time.Duration:
		return "duration"
	default:
		return "size"
	}
}

// allowedValues describes the values that the field allows, as written in the document.
func (f *field) allowedValues() string {
	low, high := "", ""
	switch f.ref(new(Policy)).(type) {
	case *Kind:
		return `"read", "once", "bulk" or "urgent"`
	case *QueueOrder:
		return `"deadline" or "arrival"`
	case *bool:
		return "true or false"
	case *time.Duration:
		low = strconv.Quote(formatDuration(time.Duration(f.min)))
		high = strconv.Quote(formatDuration(time.Duration(f.max)))
	case *int64:
		low = strconv.Quote(formatSize(int64(f.min)))
		high = strconv.Quote(formatSize(int64(f.max)))
	default:
		low, high = formatShare(f.min), formatShare(f.max)
	}
	if f.allowZero {
		return fmt.Sprintf(`"0s", or %s to %s`, low, high)
	}
	return fmt.Sprintf("%s to %s", low, high)
}
