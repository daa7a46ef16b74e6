package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/front"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/profile"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/route"
	"github.com/tealhall/tealhall/internal/wait"
)

// readerCheckInterval is how often an entry checks whether it has to read the configuration
// service.
const readerCheckInterval = 200 * time.Millisecond

// readRetry bounds the time between the attempts of an entry that cannot reach the configuration
// service: all entries of a fleet may be trying at once.
var readRetry = assign.CheckLimits{Shortest: 2 * time.Second, Longest: 30 * time.Second, FleetRate: 20, Values: 2}

// followLoop watches a value at the configuration service while this entry is a reader.
func (e *Entry) followLoop(ctx context.Context, name string) {
	e.awaitPeers(ctx)
	for ctx.Err() == nil {
		if e.shouldRead() {
			wait.For(ctx, e.readDelay())
		}
		if e.shouldRead() {
			e.follow(ctx, name)
		}
		wait.For(ctx, readerCheckInterval)
	}
}

func (e *Entry) readDelay() (delay time.Duration) {
	e.engine.view(func(_ time.Duration, c *core.Core) { delay = c.ReadDelay() })
	return delay
}

// startWait is how long a starting entry waits to learn of others before it reads the configuration
// service: otherwise each entry of a starting fleet would read as if it were alone. discoveryWait
// replaces startWait while the entry and its peers have different records, which lasts seconds when
// hundreds of entries start together. It also replaces startWait at the first start of a whole
// fleet, when it may take longer until another entry appears.
const (
	startWait     = time.Second
	discoveryWait = 3 * time.Second
)

// discovery detects when a starting entry has discovered the others: its records agree with those
// of its peers, and the number of known entries no longer changes. An entry that assigned the
// readers among the first two entries that it knows, or among a part of a large fleet, would begin
// to read, and so would most others.
type discovery struct {
	known, unchanged int
	// unchangedNeeded is the number of checks during which the number of entries must not change.
	unchangedNeeded int
}

// discoveryChecks is the number of checks during which the number of entries must not change, and
// firstStartChecks the same at the first start of a whole fleet.
const (
	discoveryChecks  = 4
	firstStartChecks = 12
)

// observe records the number of known entries and whether peers have the same records. It reports
// whether the discovery is over.
func (m *discovery) observe(known int, agree bool) bool {
	if known != m.known || !agree {
		m.known, m.unchanged = known, 0
	}
	if !agree {
		return false
	}
	m.unchanged++
	return known >= 2 && m.unchanged > m.unchangedNeeded
}

// awaitPeers waits until this entry has discovered the others, if it knows any addresses.
func (e *Entry) awaitPeers(ctx context.Context) {
	if e.knownAddresses.currentVersion() == 0 {
		return
	}
	limit, m := startWait, discovery{unchangedNeeded: discoveryChecks}
	if e.settings.Platform.FirstStart {
		limit, m.unchangedNeeded = discoveryWait, firstStartChecks
	}
	began := e.engine.clock()
	for ctx.Err() == nil {
		known, agree := 0, false
		e.engine.view(func(_ time.Duration, c *core.Core) { known, agree = c.UsableEntries(), c.RecordsAgree() })
		waited := e.engine.clock() - began
		if m.observe(known, agree) || waited >= discoveryWait || agree && waited >= limit {
			return
		}
		wait.For(ctx, readerCheckInterval/4)
	}
}

// assigned reports whether this entry is assigned to read the configuration service, rather than
// reading in place of the assigned entries.
func (e *Entry) assigned() (assigned bool) {
	e.engine.view(func(_ time.Duration, c *core.Core) { assigned = c.AssignedReader() })
	return assigned
}

func (e *Entry) isReader() (reader bool) {
	e.engine.view(func(_ time.Duration, c *core.Core) { reader = c.Reader() })
	return reader
}

// follow watches a value until this entry is no longer a reader.
func (e *Entry) follow(ctx context.Context, name string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.run(func() { e.cancelWhenNotReading(ctx, cancel) })
	options := published.FollowOptions{
		ChangeGap: e.settings.Platform.ChangeGap.Duration,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Backoff:   published.NewBackoff(0, assign.CheckPeriod(e.KnownEntries(), readRetry)),
		OnError:   func(err error) { e.platformFailed(name, err) },
	}
	service := published.Service(e.platform)
	if name == published.VMsValue {
		service = vmsByDifference{e.platform}
	}
	if e.tryResume() && name == published.VMsValue {
		published.Follow(ctx, service, name, e.documents.revision(name), options, e.platformAnswered)
		return
	}
	klog.InfoS("reading a value of the platform", "value", name, "why", "this entry watches the platform", "assigned", e.assigned())
	// A watch may wait long before it shows that the configuration service answers, so read first.
	if v, err := e.platform.Read(ctx, name); err == nil {
		e.platformAnswered(v)
	} else if ctx.Err() == nil {
		e.platformFailed(name, err)
	}
	var after uint64
	e.engine.view(func(_ time.Duration, c *core.Core) { after = c.InForce(name).Revision })
	published.Follow(ctx, service, name, after, options, e.platformAnswered)
}

// tryResume lets the configuration service continue from the list of VMs that is in force here, and
// reports whether the service can do so. Peers have already sent this list, which is large.
func (e *Entry) tryResume() bool {
	service, can := e.platform.service.(published.Resumer)
	if !can || e.documents.revision(published.VMsValue) == 0 {
		return false
	}
	list := e.documents.list()
	service.Resume(published.Value{Name: published.VMsValue, Revision: list.Revision, List: &list})
	return true
}

func (e *Entry) platformAnswered(v published.Value) {
	e.engine.view(func(_ time.Duration, c *core.Core) { c.PlatformAnswered(true) })
	if e.offer(v, assign.Platform) {
		return
	}
	// The service has the whole list, so this makes no call.
	whole, err := e.platform.Watch(e.life, v.Name, 0)
	if err != nil {
		e.platformFailed(v.Name, err)
		return
	}
	e.offer(whole, assign.Platform)
}

func (e *Entry) platformFailed(name string, err error) {
	klog.V(1).InfoS("could not read or watch a value of the platform", "value", name, "err", err)
	if fault.KindOf(err) != fault.RateLimited {
		e.engine.view(func(_ time.Duration, c *core.Core) { c.PlatformAnswered(false) })
	}
}

// cancelWhenNotReading cancels the watch once this entry should no longer read: other entries read,
// or the configuration service does not answer.
func (e *Entry) cancelWhenNotReading(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		wait.For(ctx, readerCheckInterval)
		if !e.shouldRead() {
			cancel()
		}
	}
}

// offer parses a value and passes it to the core, which puts it in force if it is newer. It returns
// false for a difference that does not fit the list in force: the caller then offers the whole list.
func (e *Entry) offer(v published.Value, source uint64) (fits bool) {
	switch {
	case v.Problem != nil:
		e.engine.event(func(_ time.Duration, c *core.Core, out *core.Actions) { c.Unreadable(v.Name, v.Problem, out) })
		return true
	case v.Unchanged():
		e.engine.event(func(now time.Duration, c *core.Core, _ *core.Actions) {
			if c.InForce(v.Name).Revision == v.Revision {
				c.Confirm(now, v.Name)
			}
		})
		return true
	case v.Difference != nil:
		return e.offerDifference(v, source)
	}
	if v.Name == published.ProfilesValue {
		if e.isInForce(v, source) {
			return true
		}
		e.hold(v, 0, nil)
	}
	offered := e.parse(v)
	offered.Source = source
	var inForce *profile.Snapshot
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		c.Offer(now, offered, out)
		if c.InForce(v.Name) != offered.Mark {
			return
		}
		if v.Name == published.VMsValue {
			e.documents.putVMs(offered.VMs)
			return
		}
		e.revision.Store(v.Revision)
		inForce = offered.Profiles
	})
	if offered.Problem != nil {
		e.documents.profiles.drop(v.Revision)
	}
	if inForce != nil {
		e.setRouteLimits(inForce.Routes())
		e.instruments.forgetServices(func(name string) bool { _, ok := inForce.Service(name); return ok })
	}
	return true
}

// isInForce reports whether the profiles are those in force, which need not be parsed again: a reader
// often gets a revision from a peer while it decodes the configuration service's answer.
func (e *Entry) isInForce(v published.Value, source uint64) (inForce bool) {
	mark := markOf(v)
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		if inForce = c.InForce(v.Name) == mark; inForce {
			c.Offer(now, core.OfferedValue{Name: v.Name, Mark: mark, Source: source}, out)
		}
	})
	return inForce
}

// markOf returns the mark of a text.
func markOf(v published.Value) message.Mark {
	return message.Mark{Revision: v.Revision, Digest: xxhash.Sum64(v.Data)}
}

// hold lets peers fetch the text of a later revision before it is parsed and in force here: a step
// from entry to entry then takes a transfer only. Each entry validates the text by itself. packed is
// the form in which a peer sent the text, with the difference from revision after.
func (e *Entry) hold(v published.Value, after uint64, packed []byte) {
	mark := markOf(v)
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		if c.Hold(now, mark, out) {
			e.documents.profiles.add(published.Text{Revision: v.Revision, Data: v.Data}, after, packed)
		}
	})
}

// offerDifference passes the changes of the list of VMs to the core. It returns false if they do not
// fit the list in force.
func (e *Entry) offerDifference(v published.Value, source uint64) (fits bool) {
	d := v.Difference
	offered := core.OfferedValue{
		Name: published.VMsValue, Mark: message.Mark{Revision: d.Revision, Digest: d.Digest}, Source: source, Difference: d, CatchUp: v.CatchUp,
	}
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		isLater := d.Revision > c.InForce(published.VMsValue).Revision
		if err := e.documents.checkFit(d); isLater && err != nil {
			klog.V(1).InfoS("a difference does not fit the list of VMs in force; the whole list is needed", "err", err)
			return
		}
		fits = true
		c.Offer(now, offered, out)
		if isLater && c.InForce(published.VMsValue) == offered.Mark {
			e.documents.applyDifference(d)
		}
	})
	return fits
}

// setRouteLimits applies the limits of the routes in force to callers' connections.
func (e *Entry) setRouteLimits(routes *route.Table) {
	if routes == nil {
		return
	}
	l := routes.Limits()
	e.routeLimits.Store(&front.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout.Duration(), Idle: l.IdleTimeout.Duration()})
}

// parse parses a value's text. It takes no lock, since parsing a large document takes long.
func (e *Entry) parse(v published.Value) core.OfferedValue {
	o := core.OfferedValue{Name: v.Name, Mark: markOf(v)}
	if v.Name == published.VMsValue {
		o.VMs, o.Problem = published.ParseVMs(v)
		if o.Problem == nil {
			// Entries that were given the list in other forms compute the same digest.
			o.Mark.Digest = o.VMs.Digest()
		}
		return o
	}
	if e.options.RouteProfiles == nil {
		o.Profiles, o.Problem = profile.Parse(v.Data, v.Revision)
		return o
	}
	table, err := e.routes.Parse(v.Data)
	if err != nil {
		o.Problem = err
		return o
	}
	o.Profiles, o.Problem = e.options.RouteProfiles.Bind(table, o.Mark.Revision, o.Mark.Digest)
	return o
}
