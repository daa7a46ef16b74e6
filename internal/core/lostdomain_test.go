package core

import (
	"testing"

	"github.com/tealhall/tealhall/internal/route"
)

// All endpoints of a failure domain go down at once while those of another one have room. The
// entries there looked at their own domain first, found one after the other dead, sent to it blindly
// or to the next one, and told 2,271 callers in six seconds that no endpoint takes work. After a few
// failures in a row without an answer the whole domain is taken for lost for a moment, so that the
// others are asked; and a connection that is refused is no attempt.
func TestLostFailureDomainIsLeftAlone(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(b *simEndpoint)
		most int
	}{
		{"connections are refused", func(b *simEndpoint) { b.dead = true }, 0},
		{"nothing answers", func(b *simEndpoint) { b.dead, b.silent = true, true }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newEntryHarness(t, append(idle(30, "d0"), idle(12, "d1")...)...)
			y.learn(8)
			for _, b := range y.endpoints {
				if b.domain == "d0" {
					c.lose(b)
				}
			}
			var ids []RequestID
			for i := range 60 {
				ids = append(ids, y.sendRequest(route.Kinds()[i%3], 3*sec))
				y.run(20 * ms)
				for _, id := range ids {
					for n := range y.open[id] {
						if d := y.open[id][n]; !y.endpoint(d.Endpoint).dead {
							y.answer(id, n, 200)
						}
					}
				}
			}
			y.run(200 * ms)
			refused := 0
			for _, id := range ids {
				if _, told := y.told[id]; told {
					refused++
				}
			}
			if refused > c.most {
				t.Errorf("%d of %d were refused although another failure domain has room", refused, len(ids))
			}
			near := 0
			for _, name := range y.probed {
				if y.endpoint(name).domain == "d0" {
					near++
				}
			}
			if near > len(ids) {
				t.Errorf("%d looks at the lost domain for %d requests", near, len(ids))
			}
			for _, b := range y.endpoints {
				b.dead, b.silent = false, false
			}
			y.run(3 * sec)
			y.sent = nil
			y.press(20*ms, sec)
			if y.sentTo("d0") < 45 {
				t.Errorf("after it is back %d of 50 go there", y.sentTo("d0"))
			}
		})
	}
}
