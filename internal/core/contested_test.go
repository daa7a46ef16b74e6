package core

import (
	"testing"

	"github.com/tealhall/tealhall/internal/route"
)

// Guards against an endpoint that is out of use for as long as a row of another service names its
// address: it is probed there, and its answer gives it back.
func TestEndpointWhoseAddressIsContestedIsProbed(t *testing.T) {
	for _, answers := range []string{"at once", "later"} {
		t.Run(answers, func(t *testing.T) {
			live := &simEndpoint{name: "live", domain: "d0", silent: answers == "later"}
			h := newEntryHarness(t, live)
			h.serviceTime = 10 * ms
			d := harnessRoutes()
			other := harnessRoutes(route.Part{Service: "q", Weight: 1})
			for _, r := range other.Routes {
				r.Name, r.Prefix = "q-"+r.Name, "/q"+r.Prefix
				d.Routes = append(d.Routes, r)
			}
			h.publish(2, d)
			list := h.vmList(2)
			odd := list.VMs[0]
			odd.Name, odd.Pool, odd.Registered = "odd", "q", 2
			list.VMs[0].Registered = 1
			list.VMs = append(list.VMs, odd)
			h.offerList(list)
			h.run(sec)
			live.silent = false
			h.run(2 * sec)
			for range 10 {
				h.sendRequest(route.Idempotent, sec)
				h.run(50 * ms)
			}
			if n := h.sentSince("live", 0); n != 10 {
				t.Errorf("the endpoint got %d of 10 requests", n)
			}
			h.probes = nil
			h.run(60 * sec)
			if n := len(h.probes); n > 5 {
				t.Errorf("%d probes in a minute without a request", n)
			}
		})
	}
}
