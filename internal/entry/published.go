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

// readerCheck is how often an entry looks whether it reads the platform.
const readerCheck = 200 * time.Millisecond

// readRetry bounds the time between tries of an entry that does not reach the
// platform: all entries of a fleet of this size may be trying.
var readRetry = assign.CheckLimits{Shortest: 2 * time.Second, Longest: 30 * time.Second, FleetRate: 20, Values: 2}

// documents holds the texts in force, to give them to peers, and what changed in the list
// of VMs lately.
type documents struct {
	mu     sync.Mutex
	byName map[string]published.Value
	vms    published.History
}

// put takes in a value that is in force; vms is its list if it is that of the VMs, and patched
// says that a difference made it.
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

// since returns what a peer gets that holds a revision and asks for a later one: what
// changed, if it can do with that, else the text.
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

// patched returns the value, and its list, that a difference makes of the list of VMs held.
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

// followLoop watches a value at the platform for as long as this entry is one
// of those that read for all.
func (e *Entry) followLoop(ctx context.Context, name string) {
	e.awaitPeers(ctx)
	for ctx.Err() == nil {
		if e.reads() {
			wait.For(ctx, e.readDelay())
		}
		if e.reads() {
			e.follow(ctx, name)
		}
		wait.For(ctx, readerCheck)
	}
}

func (e *Entry) readDelay() (patience time.Duration) {
	e.engine.view(func(_ time.Duration, c *core.Core) { patience = c.ReadDelay() })
	return patience
}

// startWait is for how long an entry that starts waits to learn of others before
// it reads for all: each entry of a fleet that starts would otherwise read as if it
// were alone. meetingWait is the same while it and those that it met hold different
// records, as hundreds that start together do for seconds, and at the first start of a whole
// fleet, when no caller comes for longer.
const (
	startWait   = time.Second
	meetingWait = 3 * time.Second
)

// meeting tells when an entry that starts has met the others: it agrees with its peers on who
// there is, and that stays so. An entry that divided the duty to read among the first two that
// it met, or among the part of a large fleet that it has heard of, would begin to read, as most
// others would.
type meeting struct {
	known, unchanged int
	// checks is for how many of them it has to stay the same.
	checks int
}

// meetingChecks is for how many checks the number of entries has to stay the same, and
// firstChecks the same at the first start of a whole fleet.
const (
	meetingChecks = 4
	firstChecks   = 12
)

// over takes in how many entries are known by now, and whether peers agree with that.
func (m *meeting) over(known int, agreed bool) bool {
	if known != m.known || !agreed {
		m.known, m.unchanged = known, 0
	}
	if !agreed {
		return false
	}
	m.unchanged++
	return known >= 2 && m.unchanged > m.checks
}

// awaitPeers waits until this entry knows the others, if it has been told of any.
func (e *Entry) awaitPeers(ctx context.Context) {
	if e.knownAddresses.latest() == 0 {
		return
	}
	patience, m := startWait, meeting{checks: meetingChecks}
	if e.settings.Platform.FirstStart {
		patience, m.checks = meetingWait, firstChecks
	}
	began := e.engine.clock()
	for ctx.Err() == nil {
		known, agreed := 0, false
		e.engine.view(func(_ time.Duration, c *core.Core) { known, agreed = c.UsableEntries(), c.RecordsAgree() })
		waited := e.engine.clock() - began
		if m.over(known, agreed) || waited >= meetingWait || agreed && waited >= patience {
			return
		}
		wait.For(ctx, readerCheck/4)
	}
}

// assigned reports whether it is this entry's duty to read, rather than in place of others.
func (e *Entry) assigned() (assigned bool) {
	e.engine.view(func(_ time.Duration, c *core.Core) { assigned = c.AssignedReader() })
	return assigned
}

func (e *Entry) isReader() (reader bool) {
	e.engine.view(func(_ time.Duration, c *core.Core) { reader = c.Reader() })
	return reader
}

// follow watches until this entry is no longer a reader.
func (e *Entry) follow(ctx context.Context, name string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.run(func() { e.endFollowing(ctx, cancel) })
	options := published.FollowOptions{
		ChangeGap: e.settings.Platform.ChangeGap.Duration,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Backoff:   published.NewBackoff(0, assign.CheckPeriod(e.KnownEntries(), readRetry)),
		OnError:   func(err error) { e.platformFailed(name, err) },
	}
	if e.resumes(name) {
		published.Follow(ctx, e.platform, name, e.documents.get(name).Revision, options, e.platformAnswered)
		return
	}
	// A watch may be held for long before it shows that the platform answers.
	if v, err := e.platform.Read(ctx, name); err == nil {
		e.platformAnswered(v)
	} else if ctx.Err() == nil {
		e.platformFailed(name, err)
	}
	var after uint64
	e.engine.view(func(_ time.Duration, c *core.Core) { after = c.InForce(name).Revision })
	published.Follow(ctx, e.platform, name, after, options, e.platformAnswered)
}

// resumes has the platform's service go on from the list of VMs in force here, where it can,
// and reports whether it does. The list is large, and peers have given it.
func (e *Entry) resumes(name string) bool {
	service, can := e.platform.service.(published.Resumer)
	held := e.documents.get(name)
	if !can || name != published.VMsValue || held.Revision == 0 {
		return false
	}
	service.Resume(held)
	return true
}

func (e *Entry) platformAnswered(v published.Value) {
	e.engine.view(func(_ time.Duration, c *core.Core) { c.PlatformAnswered(true) })
	e.offer(v, assign.Platform)
}

func (e *Entry) platformFailed(name string, err error) {
	klog.V(1).InfoS("the platform did not answer", "value", name, "err", err)
	if fault.KindOf(err) != fault.RateLimited {
		e.engine.view(func(_ time.Duration, c *core.Core) { c.PlatformAnswered(false) })
	}
}

// endFollowing cancels once others read for this entry, or the platform is silent.
func (e *Entry) endFollowing(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		wait.For(ctx, readerCheck)
		if !e.reads() {
			cancel()
		}
	}
}

// offer parses a value and gives it to the core. A value without a text says
// that there is no later revision.
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
	e.take(v, offered, false)
}

// offerPatched gives the core a list of VMs that a difference from a peer made.
func (e *Entry) offerPatched(v published.Value, list published.VMList, source uint64) {
	e.take(v, core.Offered{Name: v.Name, Mark: markOf(v), Source: source, VMs: list}, true)
}

// take gives the core a value and keeps its text if it comes into force. patched says that a
// difference made it.
func (e *Entry) take(v published.Value, offered core.Offered, patched bool) {
	var adopted *profile.Snapshot
	e.engine.event(func(now time.Duration, c *core.Core, out *core.Actions) {
		c.Offer(now, offered, out)
		if c.InForce(v.Name) != offered.Mark {
			return
		}
		e.documents.put(v, offered.VMs, patched)
		if v.Name == published.ProfilesValue {
			e.revision.Store(v.Revision)
			adopted = offered.Profiles
		}
	})
	if adopted != nil {
		e.allow(adopted.Routes())
		e.instruments.forgetServices(func(name string) bool { _, ok := adopted.Service(name); return ok })
	}
}

// allow lets callers take what the routes in force allow.
func (e *Entry) allow(routes *route.Table) {
	if routes == nil {
		return
	}
	l := routes.Limits()
	e.allowed.Store(&front.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout.Duration(), Idle: l.IdleTimeout.Duration()})
}

func markOf(v published.Value) message.Mark {
	return message.Mark{Revision: v.Revision, Digest: xxhash.Sum64(v.Data)}
}

// parse reads a value's text. It takes no lock: a document may be large.
func (e *Entry) parse(v published.Value) core.Offered {
	o := core.Offered{Name: v.Name, Mark: markOf(v)}
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
