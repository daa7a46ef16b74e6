package forward

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against answers that reach the wrong caller and requests that are sent twice. Many callers
// share few connections, while the endpoint closes some of them before, within and after an answer
// and answers some requests twice. Each caller must get its own whole answer or an error, and no
// request may arrive twice.
func TestCallersGetOwnAnswersOnFailingConnections(t *testing.T) {
	var arrivals sync.Map
	e := newEndpoint(t, func(p *endpointConn, number int) {
		rng := rand.New(rand.NewPCG(1, uint64(number)))
		for {
			r := p.readRequest()
			if r == nil {
				return
			}
			id := r.Header.Get("Id")
			count, _ := arrivals.LoadOrStore(id, new(atomic.Int32))
			count.(*atomic.Int32).Add(1)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			switch rng.IntN(8) {
			case 0:
				p.reset()
			case 1:
				p.writeText(answer[:rng.IntN(len(answer))])
				p.Close()
			case 2:
				p.writeText(answer + answer)
			case 3:
				p.writeText(answer)
				p.Close()
			default:
				p.writeText(answer)
			}
		}
	})
	c := newConnections(t, Config{MaxConnsPerEndpoint: 6})
	var callers sync.WaitGroup
	var whole atomic.Int32
	for caller := range 8 {
		callers.Go(func() {
			for i := range 200 {
				id := fmt.Sprintf("%d-%d", caller, i)
				out := outgoing(t, e.address, http.MethodPost, "")
				out.Extra = http.Header{"Id": {id}}
				out.Body, out.ContentLength = strings.NewReader(id), int64(len(id))
				if i%3 == 0 {
					out.Body = io.MultiReader(out.Body) // sent by an upload
				}
				text, _, err := exchangeText(c, out)
				if err == nil && text != id {
					t.Errorf("request %s got the answer %q", id, text)
				}
				if err == nil {
					whole.Add(1)
				}
			}
		})
	}
	callers.Wait()
	arrivals.Range(func(id, count any) bool {
		if got := count.(*atomic.Int32).Load(); got != 1 {
			t.Errorf("request %s arrived %d times", id, got)
		}
		return true
	})
	if whole.Load() == 0 {
		t.Error("no request got a whole answer")
	}
	if got := c.Stats(e.address); got.Busy != 0 || got.Dialing != 0 {
		t.Errorf("connections are still busy: %+v", got)
	}
}
