package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/core"
	tables "github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer"
	"github.com/tealhall/tealhall/internal/published"
)

const (
	// maxConcernsPerKind bounds the concerns of one kind that are listed one by one.
	maxConcernsPerKind = 5
	// minRefusalShare and minRefusals are the share and the number of refused requests in the
	// last minute that together make a concern.
	minRefusalShare = 0.01
	minRefusals     = 10
	// nearLimitShare is the share of a limit whose use is a concern.
	nearLimitShare = 0.9
	// staleConcernPeriod is how long the offer of an older revision remains a concern.
	staleConcernPeriod = time.Minute
	// holdTimeText names the time for which the core does not act on the losses in a VM list that
	// lost many VMs at once.
	holdTimeText = "a minute"
)

// concernList collects concerns for operators.
type concernList []admin.Concern

func (l *concernList) add(clears, format string, args ...any) {
	*l = append(*l, admin.Concern{What: fmt.Sprintf(format, args...), Clears: clears})
}

// addEach calls add for each of the n items up to maxConcernsPerKind, and adds one concern that
// counts the rest. items names the items and the tealhallctl command that lists them.
func (l *concernList) addEach(n int, items string, add func(i int)) {
	for i := range min(n, maxConcernsPerKind) {
		add(i)
	}
	if n > maxConcernsPerKind {
		l.add("see tealhallctl "+items, "%d more %s with the same concern", n-maxConcernsPerKind, items)
	}
}

// concerns returns the conditions that operators should know of, each with the event or the action
// that clears it. The status is calm when there are none.
func (f *facts) concerns() []admin.Concern {
	l := concernList{}
	f.selfConcerns(&l)
	f.publishedConcerns(&l, "profiles", &f.view.Profiles)
	f.publishedConcerns(&l, "VM list", &f.view.VMs)
	f.platformConcerns(&l)
	f.entryConcerns(&l)
	f.linkConcerns(&l)
	f.endpointConcerns(&l)
	f.poolConcerns(&l)
	f.requestConcerns(&l)
	f.limitConcerns(&l)
	return l
}

func (f *facts) selfConcerns(l *concernList) {
	switch {
	case f.view.State >= message.EntryLeaving:
		l.add("by itself: the process ends when its requests have ended; a second signal cuts them off",
			"this entry is %s; callers are no longer sent to it", stateName(f.view.State))
	case !f.view.Ready:
		l.add("by itself, once the platform or a peer provides the missing data; check platform.url and peers.seeds if it lasts",
			"this entry is not ready: %s", f.view.NotReadyWhy)
	}
	if f.recent.pauses > 0 {
		l.add("by itself after a minute; if it recurs, find out what pauses the VM",
			"the process was paused %d time(s) in the last minute, so it treated its data about other VMs as stale", f.recent.pauses)
	}
}

func (f *facts) publishedConcerns(l *concernList, name string, p *core.PublishedView) {
	if p.Wanted > 0 {
		l.add("by itself within seconds; check the links below if it lasts",
			"%s: revision %s exists, %s is in force here", name, published.RevisionText(p.Wanted), published.RevisionText(p.InForce.Revision))
	}
	if p.Refused > p.InForce.Revision {
		l.add("publish a corrected one; until then the revision in force stays",
			"%s: revision %s was refused: %s", name, published.RevisionText(p.Refused), firstLine(p.RefusedWhy))
	}
	if p.Unreadable != "" {
		l.add("publish it again; until then the revision in force stays",
			"%s: the value that the platform has now cannot be used: %s", name, firstLine(p.Unreadable))
	}
	if len(p.Problems) > 0 {
		l.add("publish a corrected one; the other routes are in force as they are",
			"%s: revision %d is in force, except for the parts that cannot be used: %s", name, p.InForce.Revision, strings.Join(p.Problems, "; "))
	}
	if p.Stale && f.now-p.StaleAt < staleConcernPeriod {
		l.add("by itself when the replica has caught up; the revision in force never goes back",
			"%s: an older revision than %s, which is in force, was offered %s ago", name, published.RevisionText(p.InForce.Revision), ageText(f.now, p.StaleAt))
	}
}

func (f *facts) platformConcerns(l *concernList) {
	if names := f.failingValues(); len(names) > 0 {
		v := f.platform.values[names[0]]
		last := "it has never answered"
		if v.answered {
			last = "the last answer came " + ageText(f.now, v.answeredAt) + " ago"
		}
		l.add("by itself when the service answers again; entries keep the revisions in force, and closes begin and end by the calendar",
			"the configuration service failed %d times in a row for %s, %s: %s", v.failing, strings.Join(names, " and "), last, firstLine(v.cause))
	}
	if f.view.ListHeld {
		l.add("by itself when the list has them again, or after "+holdTimeText+"; correct the list if it is wrong",
			"the VM list lost many VMs at once; the entry does not act on the losses yet")
	}
}

func (f *facts) entryConcerns(l *concernList) {
	var suspected, leaving []*core.EntryView
	for i := range f.view.Entries {
		switch e := &f.view.Entries[i]; {
		case e.Self:
		case e.State >= message.EntryLeaving:
			leaving = append(leaving, e)
		case e.Suspected:
			suspected = append(suspected, e)
		}
	}
	l.addEach(len(suspected), "entries", func(i int) {
		e := suspected[i]
		l.add("by itself when it is heard again, or when the platform's list drops it; check the VM and the network to it",
			"entry %s has not been heard for %s; this entry sends no callers there", e.VM.Name, ageText(f.now, e.SeenAt))
	})
	l.addEach(len(leaving), "entries", func(i int) {
		l.add("by itself when it has stopped", "entry %s is leaving", leaving[i].VM.Name)
	})
	behind := f.entriesBehind()
	l.addEach(len(behind), "entries", func(i int) {
		l.add("by itself within seconds; check the status of that entry if it lasts",
			"entry %s has revision %d of the profiles, %d is in force here", behind[i].VM.Name, behind[i].Profiles, f.view.Profiles.InForce.Revision)
	})
}

// linkConcerns adds the links to known entries that are down. A link to a seed address that no
// known entry uses any more is not a concern.
func (f *facts) linkConcerns(l *concernList) {
	names := make(map[string]string)
	for i := range f.view.Entries {
		e := &f.view.Entries[i]
		if !e.Self && e.State == message.EntryServing && !e.Suspected {
			names[e.VM.PeerAddress] = e.VM.Name
		}
	}
	var down []*peer.LinkStats
	for i := range f.links {
		s := &f.links[i]
		failed := s.State == peer.LinkWaiting || s.State == peer.LinkDialing && s.LastError != ""
		if failed && names[s.Address] != "" {
			down = append(down, s)
		}
	}
	l.addEach(len(down), "links", func(i int) {
		l.add("by itself when it can be opened again; check the network from this entry to that one",
			"the link to entry %s at %s is down: %s", names[down[i].Address], down[i].Address, firstLine(down[i].LastError))
	})
}

func (f *facts) endpointConcerns(l *concernList) {
	var ejected, leaving, missing []*core.EndpointView
	for i := range f.view.Endpoints {
		e := &f.view.Endpoints[i]
		if e.Ejection != nil {
			ejected = append(ejected, e)
		}
		if e.State == tables.EndpointLeaving && e.Outstanding > 0 {
			leaving = append(leaving, e)
		}
		if e.State == tables.EndpointLive && e.Missing {
			missing = append(missing, e)
		}
	}
	l.addEach(len(ejected), "endpoints", func(i int) {
		e := ejected[i]
		l.add("by itself: "+e.Ejection.Clears, "endpoint %s of pool %s is ejected: %s", e.Name, e.Pool, e.Ejection.Why)
	})
	l.addEach(len(leaving), "endpoints", func(i int) {
		e := leaving[i]
		l.add("by itself when they have ended; no new requests are sent there",
			"endpoint %s of pool %s is leaving with %d request(s) of this entry in flight", e.Name, e.Pool, e.Outstanding)
	})
	l.addEach(len(missing), "endpoints", func(i int) {
		l.add("by itself when the list has it again, or when it no longer answers; correct the list if it is wrong",
			"endpoint %s of pool %s is missing from the platform's list but still used", missing[i].Name, missing[i].Pool)
	})
}

func (f *facts) poolConcerns(l *concernList) {
	for i := range f.view.Pools {
		p := &f.view.Pools[i]
		if p.Unreachable {
			l.add("by itself when endpoints answer again; check the network paths from this entry, and the endpoints if other entries say the same",
				"no endpoint of pool %s has answered this entry for %s, so its requests are relayed to other entries", p.Name, ageText(f.now, p.UnreachableSince))
		}
		if p.Unconnected {
			l.add("by itself when new connections can be opened again; check the network paths from this entry to the endpoints",
				"no new connection to an endpoint of pool %s could be opened for %s, so requests that find no open one are relayed to other entries", p.Name, ageText(f.now, p.UnconnectedSince))
		}
		if p.ViewWrong {
			l.add("by itself when most look healthy; check the network from this entry to them, and the service itself",
				"most endpoints of pool %s look unhealthy, so none is ejected", p.Name)
		}
		if len(p.Services) > 0 && p.Live > 0 && p.Live == p.Evacuated {
			l.add("when the evacuation of a failure domain is taken back; callers are refused until then",
				"all endpoints of pool %s of %s are evacuated", p.Name, p.Services[0].Name)
		}
		if len(p.Services) > 0 && p.Live == 0 {
			l.add("start endpoints, or correct the pool's name in the profiles or in the VM list",
				"pool %s of %s has no live endpoint", p.Name, p.Services[0].Name)
		}
	}
}

func (f *facts) requestConcerns(l *concernList) {
	r := &f.recent
	total, mostFrequent := uint64(0), core.ReasonNone
	for i, n := range r.refused {
		if reason := core.Reason(i); countsAsConcern(reason) {
			total += n
			if n > r.refused[mostFrequent] {
				mostFrequent = reason
			}
		}
	}
	if total >= minRefusals && float64(total) >= minRefusalShare*float64(r.arrived) {
		l.add(operatorRemedy(mostFrequent), "%d of %d requests were refused in the last minute, %d of them for %s",
			total, r.arrived, r.refused[mostFrequent], mostFrequent)
	}
	if n := len(f.view.Quarantined); n > 0 {
		l.add("by itself some minutes after the last crash, or when a run completes; grep the log for request lines with this content to find the caller, and fix the request or the service",
			"%d request(s) are in quarantine, because endpoints crashed whenever they ran them; the first has content %x", n, f.view.Quarantined[0].Content)
	}
	if r.unknown > 0 {
		l.add("by itself after a minute; the callers have to check in the application whether the requests ran",
			"%d request(s) ended with an unknown outcome in the last minute", r.unknown)
	}
	if r.retriesDenied > 0 {
		l.add("by itself when requests succeed, which earns retries; find out why they fail",
			"the retry budget denied %d retries in the last minute", r.retriesDenied)
	}
}

// countsAsConcern reports whether the cause of a refusal lies with this entry or the endpoints
// rather than with the caller's request. A caller that exceeds its share counts too.
func countsAsConcern(reason core.Reason) bool {
	return reason != core.ReasonNone && (reason.Status() >= http.StatusInternalServerError && reason != core.ReasonTooDeep ||
		reason == core.ReasonCallerShare)
}

// operatorRemedy returns what an operator can do about refusals for a reason.
func operatorRemedy(reason core.Reason) string {
	switch reason {
	case core.ReasonQueueFull, core.ReasonTooLate, core.ReasonDeadline:
		return "by itself when the load falls; or add endpoints, or publish a longer queue or deadline"
	case core.ReasonCallerShare:
		return "by itself when that caller sends less, or publish a larger caller_share"
	case core.ReasonNoEndpoint:
		return "start endpoints, or correct the pool in the profiles or the VM list"
	case core.ReasonOverload:
		return "add entries, or raise limits.in_flight_requests"
	case core.ReasonMemoryFull:
		return "by itself when fewer callers send large requests at a time; add entries, or raise limits.request_share"
	case core.ReasonLinkFull:
		return "by itself when the large answers under way are sent; add entries, or raise limits.link_mbps if the link is faster"
	case core.ReasonEndpointsRefuse, core.ReasonEndpointLost, core.ReasonAnswerBroken:
		return "by itself when the endpoints of the service work again; check them"
	case core.ReasonKeyTableFull:
		return "by itself as keys expire, or raise limits.keys"
	case core.ReasonHomeUnreachable:
		return "check the links between the entries"
	}
	return "by itself; see the reasons below"
}

func (f *facts) limitConcerns(l *concernList) {
	near := func(n, limit int, what, setting string) {
		if limit > 0 && float64(n) >= nearLimitShare*float64(limit) {
			l.add("by itself when the load falls; add entries or raise "+setting, "%d of %d %s", n, limit, what)
		}
	}
	near(f.view.InFlight, f.settings.Limits.InFlightRequests, "allowed requests are in flight", "limits.in_flight_requests")
	near(f.view.Keys.Keys, f.settings.Limits.Keys, "allowed idempotency keys are in the key table", "limits.keys")
	held := int(f.settings.Limits.HeldShare * f.settings.Limits.MemoryMB * bytesPerMB)
	near(int(f.requestMemory.Held), int(f.capacity.RequestBytes), "bytes of requests are held", "limits.request_share")
	near(f.callers, f.capacity.Callers, "connections of callers are open", "limits.descriptors and limits.memory_mb")
	near(int(f.transfers.Held), held, "bytes are held for callers that read slowly", "limits.held_share")
	for i := range f.view.Pools {
		for _, s := range f.view.Pools[i].Services {
			near(s.Waiting, s.Policy.QueueLimit, "requests that may wait for "+s.Name+" are waiting", "queue_limit in its profile")
		}
	}
}

// firstLine returns the first line of an error's text, and how many more there are.
func firstLine(text string) string {
	line, rest, more := strings.Cut(text, "\n")
	if more {
		line += fmt.Sprintf(" (and %d more, see tealhallctl audit)", 1+strings.Count(rest, "\n"))
	}
	return cmp.Or(line, "no error is known")
}

// ageText returns the time from at to now as text.
func ageText(now, at time.Duration) string {
	d := max(0, now-at)
	if d < time.Minute {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
