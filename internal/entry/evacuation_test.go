package entry_test

import (
	"slices"
	"testing"

	"github.com/tealhall/tealhall/internal/standin"
)

// requestsIn counts the requests that arrived so far at the endpoints of a failure domain.
func (f *fleet) requestsIn(domain string) (n int64) {
	for _, e := range f.Endpoints {
		if e.VM.Domain == domain {
			n += e.Stats().Requests
		}
	}
	return n
}

// evacuatedEverywhere reports whether all entries regard exactly these failure domains as
// evacuated, and no request runs there.
func (f *fleet) evacuatedEverywhere(domains ...string) bool {
	for _, e := range f.Entries {
		var known []string
		for _, v := range e.Status().Fleet.Evacuated {
			if known = append(known, v.FailureDomain); v.Outstanding > 0 {
				return false
			}
		}
		if !slices.Equal(known, domains) {
			return false
		}
	}
	return true
}

// An operator evacuates a failure domain under load. Then the configuration service goes down, and
// an entry is replaced by a new process, which can only ask its peers. Meanwhile no request may
// reach the domain's endpoints and callers must not notice; when the evacuation ends, the endpoints
// are used again.
func TestEvacuatedFailureDomainGetsNoRequests(t *testing.T) {
	t.Parallel() // waits most of the time
	f := newFleet(t, 4)
	l := startBoundedTraffic(t, f)
	l.awaitReplies(t, 100)
	if f.requestsIn("a") == 0 {
		t.Fatal("no requests reach the failure domain before its evacuation")
	}
	f.Evacuate("a")
	await(t, "all entries know of the evacuation and no request runs there", func() bool { return f.evacuatedEverywhere("a") })
	before := f.requestsIn("a")
	l.awaitReplies(t, 100)
	f.Platform.SetFaults(standin.PlatformFaults{Down: true})
	e := f.Entries[1]
	f.stop(t, e)
	f.replace(t, e.Name(), 1)
	l.awaitReplies(t, 100)
	if got := f.requestsIn("a"); got != before {
		t.Errorf("%d requests reached the evacuated failure domain", got-before)
	}
	f.Platform.SetFaults(standin.PlatformFaults{})
	f.Evacuate()
	await(t, "all entries know that the evacuation has ended", func() bool { return f.evacuatedEverywhere() })
	await(t, "its endpoints are used again", func() bool { return f.requestsIn("a") > before })
	l.finishWithoutLoss(t, f)
}
