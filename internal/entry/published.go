package entry

import (
	"context"
	"math/rand/v2"
	"sync"
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

// documents has the texts of the values in force, which peers fetch, and the recent changes to the
// list of VMs.
type documents struct {
	mu     sync.Mutex
	byName map[string]published.Value
	vms    published.History
}

// put stores a value that came into force. vms is the parsed list if the value is the list of VMs;
// patched says that the value was made from a difference.
func (d *documents) put(v published.Value, vms published.VMList, patched bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byName == nil {
		d.byName = make(map[string]published.Value)
	}
	if v.Revision <= d.byName[v.Name].Revision {
		return
	}
	d.byName[v.Name] = v
	switch {
	case v.Name != published.VMsValue:
	case patched:
		d.vms.AddPatched(vms, v.Data)
	default:
		d.vms.Add(vms, v.Data)
	}
}

// since returns the document for a peer that has revision f.After and asks for a later one: the
// difference if the peer can apply it, else the whole text.
func (d *documents) since(f message.Fetch) message.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.byName[f.Name]
	answer := message.Document{Name: f.Name, Revision: v.Revision}
	if v.Revision <= f.After {
		return answer
	}
	answer.Data = v.Data
	if f.Difference && f.Name == published.VMsValue {
		if data, ok := d.vms.Since(f.After); ok {
			answer.Data, answer.Difference = data, true
		}
	}
	return answer
}

// patched applies a difference to the stored list of VMs and returns the new value and the new
// list.
func (d *documents) patched(answer message.Document) (published.Value, published.VMList, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, text, err := d.vms.Patched(answer.Revision, answer.Data)
	return published.Value{Name: answer.Name, Revision: answer.Revision, Data: text}, list, err
}

func (d *documents) get(name string) published.Value {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byName[name]
}

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
	if e.tryResume(name) {
		published.Follow(ctx, e.platform, name, e.documents.get(name).Revision, options, e.platformAnswered)
		return
	}
	// A watch may wait long before it shows that the configuration service answers, so read first.
	if v, err := e.platform.Read(ctx, name); err == nil {
		e.platformAnswered(v)
	} else if ctx.Err() == nil {
		e.platformFailed(name, err)
	}
	var after uint64
	e.engine.view(func(_ time.Duration, c *core.Core) { after = c.InForce(name).Revision })
	published.Follow(ctx, e.platform, name, after, options, e.platformAnswered)
}

// tryResume lets the configuration service continue from the list of VMs that is in force here, and
// reports whether the service can do so. Peers have already sent this list, which is large.
func (e *Entry) tryResume(name string) bool {
	service, can := e.platform.service.(published.Resumer)
	current := e.documents.get(name)
	if !can || name != published.VMsValue || current.Revision == 0 {
		return false
	}
	service.Resume(current)
	return true
}

func (e *Entry) platformAnswered(v published.Value) {
	e.engine.view(func(_ time.Duration, c *core.Core) { c.PlatformAnswered(true) })
	e.offer(v, assign.Platform)
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

// offer parses a value and passes it to the core. A value without data means that there is no later
// revision.
func (e *Entry) offer(v published.Value, source uint64) {
	if v.Problem != nil {
		e.engine.event(func(_ time.Duration, c *core.Core, out *core.Actions) { c.Unreadable(v.Name, v.Problem, out) })
		return
	}
	if v.Data == nil {
		e.engine.event(func(now time.Duration, c *core.Core, _ *core.Actions) {
			if c.InForce(v.Name).Revision == v.Revision {
				c.Confirm(now, v.Name)
			}
		})
		return
	}
	offered := e.parse(v)
	offered.Source = source
	e.offerParsed(v, offered, false)
}

// offerPatched passes to the core a list of VMs that was made from a peer's difference.
func (e *Entry) offerPatched(v published.Value, list published.VMList, source uint64) {
	e.offerParsed(v, core.OfferedValue{Name: v.Name, Mark: markOf(v), Source: source, VMs: list}, true)
}

// offerParsed passes a value to the core and stores its text if it comes into force. patched says
// that the value was made from a difference.
func (e *Entry) offerParsed(v published.Value, offered core.OfferedValue, patched bool) {
	var inForce *profile.Snapshot
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		c.Offer(now, offered, out)
		if c.InForce(v.Name) != offered.Mark {
			return
		}
		e.documents.put(v, offered.VMs, patched)
		if v.Name == published.ProfilesValue {
			e.revision.Store(v.Revision)
			inForce = offered.Profiles
		}
	})
	if inForce != nil {
		e.setRouteLimits(inForce.Routes())
		e.instruments.forgetServices(func(name string) bool { _, ok := inForce.Service(name); return ok })
	}
}

// setRouteLimits applies the limits of the routes in force to callers' connections.
func (e *Entry) setRouteLimits(routes *route.Table) {
	if routes == nil {
		return
	}
	l := routes.Limits()
	e.routeLimits.Store(&front.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout.Duration(), Idle: l.IdleTimeout.Duration()})
}

func markOf(v published.Value) message.Mark {
	return message.Mark{Revision: v.Revision, Digest: xxhash.Sum64(v.Data)}
}

// parse parses a value's text. It takes no lock, since parsing a large document takes long.
func (e *Entry) parse(v published.Value) core.OfferedValue {
	o := core.OfferedValue{Name: v.Name, Mark: markOf(v)}
	if v.Name == published.VMsValue {
		o.VMs, o.Problem = published.ParseVMs(v)
		return o
	}
	if e.options.RouteProfiles == nil {
		o.Profiles, o.Problem = profile.Parse(v.Data, v.Revision)
		return o
	}
	table, err := route.Parse(v.Data)
	if err != nil {
		o.Problem = err
		return o
	}
	o.Profiles, o.Problem = e.options.RouteProfiles.Bind(table, o.Mark.Revision, o.Mark.Digest)
	return o
}
