package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tealhall/tealhall/internal/core"
)

const (
	// arrivingInterval is the time between two checks of the bodies that arrive during a stop.
	arrivingInterval = 10 * time.Millisecond
	// refusalTime is how long before the cut-off of a stop a body is refused at the latest, so that
	// its caller, which may still be sending, can read the refusal.
	refusalTime = 500 * time.Millisecond
)

// errStopping ends the reading of a body that arrives too late in a planned stop.
var errStopping = errors.New("the entry stops before the request would be answered; use another entry")

// arrivingBodies are the request bodies that are being received. It is safe for concurrent use.
type arrivingBodies struct {
	mu     sync.Mutex
	bodies map[*arrivingBody]struct{}
}

// arrivingBody is a request body that is being received.
type arrivingBody struct {
	admission core.Admission
	// deadline is when the caller gives up.
	deadline time.Duration
	refuse   context.CancelCauseFunc
}

// add adds a body and returns a context that is done once the body is refused. remove must be called
// when the body has been received.
func (a *arrivingBodies) add(admission core.Admission, deadline time.Duration) (ctx context.Context, remove func()) {
	ctx, refuse := context.WithCancelCause(context.Background())
	b := &arrivingBody{admission: admission, deadline: deadline, refuse: refuse}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodies == nil {
		a.bodies = make(map[*arrivingBody]struct{})
	}
	a.bodies[b] = struct{}{}
	return ctx, func() {
		a.mu.Lock()
		delete(a.bodies, b)
		a.mu.Unlock()
		refuse(nil)
	}
}

// refuseIf refuses the bodies for which outlasts is true.
func (a *arrivingBodies) refuseIf(outlasts func(b *arrivingBody) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for b := range a.bodies {
		if outlasts(b) {
			b.refuse(errStopping)
		}
	}
}

// refuseLateBodies refuses, until ctx ends, the bodies that arrive too late for their request to be
// answered before the cut-off of a stop.
func (e *Entry) refuseLateBodies(ctx context.Context) {
	ticker := time.NewTicker(arrivingInterval)
	defer ticker.Stop()
	for {
		e.arriving.refuseIf(e.bodyOutlastsStop)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// bodyOutlastsStop reports whether the request of a body would probably still run at the cut-off of a
// stop, if the body were received now.
func (e *Entry) bodyOutlastsStop(b *arrivingBody) (outlasts bool) {
	e.engine.view(func(now time.Duration, c *core.Core) {
		outlasts = c.Outlasts(now, b.admission, b.deadline, refusalTime)
	})
	return outlasts
}
