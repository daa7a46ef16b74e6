package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/gossip"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/core/table"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// fleet is what this entry knows of VMs and of the other entries.
type fleet struct {
	members *member.Table
	// version is the version of the member table's entries that the lists below were made at.
	version uint64
	entries []member.Entry
	// byIncarnation and byAssignID are the indexes in entries by incarnation and by assignID.
	byIncarnation, byAssignID map[uint64]int
	// divided is the version at which work was last divided among the entries, dividedAt when.
	divided   uint64
	dividedAt time.Duration
	// assignMembers are the entries that duties are divided among. They are
	// known there by assignID, so that a restart moves no duty.
	assignMembers []assign.Member
	// readMembers are those among whom the duty to read the platform is: entries that start
	// read as well, so that a fleet that starts does not read as many single entries.
	readMembers []assign.Member
	selfID      uint64
	peers       map[uint64]*peer
	profiles    *assign.Tracker
	vms         *assign.Tracker
	nextCheck   time.Duration
	// evacuated are the failure domains whose endpoints get nothing, with since when.
	evacuated []Evacuation
	// remembered are the entries that count for who owns cold endpoints, by assignID, as of a version
	// of the entries; settled says that this entry knows what others do.
	remembered   map[uint64]remembered
	rememberedAt uint64
	settled      bool
	// rows finds an endpoint's row by the VM's name.
	rows   map[string]endpointRef
	gossip *gossip.Scheduler
	// mostEntries is the largest number of entries known at a time so far, this one
	// included.
	mostEntries int
	// ownShare is this entry's part of the fleet's requests.
	ownShare float64
	// shares are the entries that serve a pool which this entry serves.
	shares map[uint64]bool
	// gossipPeers is scratch memory.
	gossipPeers []gossip.Peer
	// due, fresh and loadReports are scratch memory of composeUpdates.
	due         []uint64
	fresh       []message.Evidence
	loadReports []message.LoadReport
	// heardAt is when any other entry was last heard.
	heardAt time.Duration
	// rate is this entry's calls per second, last sampled at rateAt.
	rate     uint32
	rateAt   time.Duration
	rateFrom uint64
	// reader says that this entry is assigned to watch the platform.
	reader  bool
	readers readers
	// own is this entry's record as the others know it, since ownAt; epochAt is when its epoch
	// last differed first.
	own     message.Record
	ownAt   time.Duration
	epochAt time.Duration
	// reportedSilent says that another entry told that this one is silent, as of version silentVersion of
	// its record.
	reportedSilent bool
	silentVersion  uint32
	// links is the version of the links at which members were last told whom this entry
	// watches.
	links uint64
	// reachable are the entries that can be asked, as of a version of the links.
	reachable   []uint64
	reachableAt uint64
	// acked are the entries that have taken a message since the last tick.
	acked []uint64
}

// endpointRef is where an endpoint's row is.
type endpointRef struct {
	pool  *pool
	index int
}

// peer is what another entry said last.
type peer struct {
	update message.Update
	heard  time.Duration
}

func (c *Core) initFleet() {
	gossipConfig := gossip.Config{
		Self:              c.cfg.Self.Incarnation,
		Region:            c.cfg.Self.Region,
		Domain:            c.cfg.Self.Domain,
		BytesPerSecond:    c.cfg.PeerBytesPerSecond,
		MessagesPerSecond: c.cfg.PeerMessagesPerSecond,
	}
	tracked := assign.TrackerConfig{AlwaysCurrent: c.cfg.AlwaysCurrent}
	c.fleet = fleet{
		selfID: assignID(c.cfg.Self.Name),
		members: member.New(member.Config{
			Self:              c.cfg.Self.Incarnation,
			Region:            c.cfg.Self.Region,
			HeartbeatInterval: func() time.Duration { return c.fleet.gossip.HeartbeatInterval() },
			MissingAfter:      c.cfg.MissingAfter,
			KeepLast:          c.cfg.KeepLast,
			ListIsFinal:       c.cfg.ListIsFinal,
		}),
		peers:    make(map[uint64]*peer),
		shares:   make(map[uint64]bool),
		profiles: assign.NewTracker(0, tracked),
		vms:      assign.NewTracker(0, tracked),
		rows:     make(map[string]endpointRef),

		remembered: make(map[uint64]remembered),
		gossip:     gossip.New(gossipConfig),
		reader:     true,
	}
	c.fleet.members.HelloReceived(0, vmOf(c.cfg.Self))
	c.refreshEntries()
	c.announce(0)
}

// vmOf is an entry as it describes itself, in the form of the platform's list.
func vmOf(h message.Hello) published.VM {
	return published.VM{
		Name:        h.Name,
		Incarnation: h.Incarnation,
		Role:        published.EntryRole,
		State:       published.Live,
		Region:      h.Region,
		Domain:      h.Domain,
		Address:     h.CallerAddress,
		PeerAddress: h.PeerAddress,
	}
}

// entry returns the entry of an incarnation, or nil.
func (f *fleet) entry(incarnation uint64) *member.Entry {
	if i, known := f.byIncarnation[incarnation]; known {
		return &f.entries[i]
	}
	return nil
}

// callerAddressOf returns where the entry of an incarnation serves callers.
func (f *fleet) callerAddressOf(incarnation uint64) (string, bool) {
	if e := f.entry(incarnation); e != nil {
		return e.VM.Address, true
	}
	return "", false
}

// knows reports whether the entry of an incarnation may still run.
func (f *fleet) knows(incarnation uint64) bool {
	return f.entry(incarnation) != nil
}

// refreshEntries makes the derived lists anew after a change of members.
func (c *Core) refreshEntries() {
	f := &c.fleet
	f.version = f.members.EntriesVersion()
	f.entries = f.members.Entries(f.entries[:0])
	f.assignMembers, f.readMembers = f.assignMembers[:0], f.readMembers[:0]
	if f.byIncarnation == nil {
		f.byIncarnation, f.byAssignID = make(map[uint64]int), make(map[uint64]int)
	}
	clear(f.byIncarnation)
	clear(f.byAssignID)
	for i := len(f.entries) - 1; i >= 0; i-- {
		f.byIncarnation[f.entries[i].VM.Incarnation] = i
	}
	for i := range f.entries {
		e := &f.entries[i]
		id := assignID(e.VM.Name)
		f.byAssignID[id] = i
		m := assign.Member{Incarnation: id, Region: e.VM.Region, Domain: e.VM.Domain}
		self := e.VM.Incarnation == c.cfg.Self.Incarnation
		if self || e.Usable() {
			f.assignMembers = append(f.assignMembers, m)
		}
		if self || c.mayRead(e) {
			f.readMembers = append(f.readMembers, m)
		}
	}
	f.mostEntries = max(f.mostEntries, len(f.entries))
	f.ownShare = c.requestShare()
	for _, p := range c.poolRows {
		p.repeats.SetFleet(f.mostEntries)
	}
	f.readers.stale = true
}

// assignID is an entry's number in the division of duties. It is made from the
// name and not from the incarnation.
func assignID(name string) uint64 { return xxhash.Sum64String(name) }

// incarnationsOf turns numbers of duties into incarnations.
func (c *Core) incarnationsOf(ids []uint64) []uint64 {
	var out []uint64
	for _, id := range ids {
		if i, known := c.fleet.byAssignID[id]; known {
			out = append(out, c.fleet.entries[i].VM.Incarnation)
		}
	}
	return out
}

// NoteHello feeds the first message on a peer link. What a peer says of itself counts
// until its first update; later on its updates are the newer word.
func (c *Core) HelloReceived(now time.Duration, h message.Hello, out *Actions) {
	c.applyChanges(now, c.fleet.members.HelloReceived(now, vmOf(h)), "peer "+h.Name, out)
	if !c.fleet.members.Knows(h.Incarnation) {
		return
	}
	c.fleet.gossip.NoteHello(now, recordOf(h))
	c.fleet.members.NoteVersion(h.Incarnation, h.Status.Version)
	_, heard := c.fleet.peers[h.Incarnation]
	if heard || h.Status.From != h.Incarnation {
		return
	}
	p := &peer{}
	c.fleet.peers[h.Incarnation] = p
	c.takeUpdate(now, p, &h.Status, out)
}

// NoteHelloAnswer feeds the answer to this entry's own first message on a link.
func (c *Core) HelloAnswered(now time.Duration, h message.Hello, out *Actions) {
	c.HelloReceived(now, h, out)
	c.fleet.gossip.NoteHelloAnswer(h.Incarnation, h.Records)
}

// applyEvidence feeds evidence about VMs; what it says of requests and limits is left out.
func (c *Core) applyEvidence(now time.Duration, out *Actions, evidence ...message.Evidence) {
	var changes []member.Change
	for _, ev := range evidence {
		if !ev.Kind.OfRequest() && ev.Kind != message.EvidenceLimit {
			changes = append(changes, c.fleet.members.ApplyEvidence(now, ev)...)
		}
	}
	c.applyChanges(now, changes, "evidence", out)
}

// divideEvery is the time between two divisions of services among the entries. A fleet that
// starts or is replaced changes at each message, and a division walks over all entries for
// each service; entries that divide differently for a moment only meet at some endpoints.
const divideEvery = 50 * time.Millisecond

// applyChanges carries changed beliefs into the pools and the audit trail. The
// table may also have changed without a change that is worth a note, such as an
// entry that has become ready.
func (c *Core) applyChanges(now time.Duration, changes []member.Change, actor string, out *Actions) {
	entriesChanged := c.fleet.members.EntriesVersion() != c.fleet.version
	if len(changes) == 0 && !entriesChanged {
		return
	}
	for i := range changes {
		c.applyChange(now, &changes[i], out)
	}
	auditChanges(changes, actor, out)
	if entriesChanged {
		c.refreshEntries()
		c.fleet.gossip.SetPeers(now, c.gossipPeers())
	}
	c.announceRows(now)
	c.drainQueues(now, out)
}

func (c *Core) applyChange(now time.Duration, ch *member.Change, out *Actions) {
	switch ch.Kind {
	case member.EndpointAdded:
		p := c.poolNamed(ch.VM.Pool)
		index := p.add(now, ch.VM)
		p.Endpoints[index].Evacuated = slices.Contains(c.fleet.members.Evacuated(), ch.VM.Domain)
		if ch.VM.Cold {
			p.becameCold(now, index)
		}
		p.newRows = true
		c.applyLimit(now, p, index, "a peer", out)
		c.fleet.rows[ch.VM.Name] = endpointRef{pool: p, index: index}
	case member.EndpointLeaving:
		if e := c.rowOfVM(&ch.VM); e != nil {
			e.State = table.EndpointLeaving
		}
	case member.EndpointMissing, member.EndpointListed:
		if e := c.rowOfVM(&ch.VM); e != nil {
			e.Missing = ch.Kind == member.EndpointMissing
		}
	case member.EndpointGone:
		if e := c.rowOfVM(&ch.VM); e != nil {
			e.State = table.EndpointGone
			delete(c.fleet.rows, ch.VM.Name)
			out.DropAddresses = append(out.DropAddresses, ch.VM.Address)
		}
	case member.EndpointCold:
		if ref, ok := c.fleet.rows[ch.VM.Name]; ok && ref.pool.endpointAt(ref.index, ch.VM.Incarnation) != nil {
			ref.pool.becameCold(now, ref.index)
		}
	case member.DomainEvacuated:
		c.fleet.evacuated = append(c.fleet.evacuated, Evacuation{Domain: ch.VM.Domain, Since: now})
		c.setEvacuated(now, ch.VM.Domain, true)
	case member.DomainReturned:
		c.fleet.evacuated = slices.DeleteFunc(c.fleet.evacuated, func(e Evacuation) bool { return e.Domain == ch.VM.Domain })
		c.setEvacuated(now, ch.VM.Domain, false)
	case member.EntryGone:
		delete(c.fleet.peers, ch.VM.Incarnation)
		c.fleet.gossip.Forget(now, ch.VM.Name, ch.VM.Incarnation)
		out.DropAddresses = append(out.DropAddresses, ch.VM.Address)
	}
}

// setEvacuated marks the endpoints of a failure domain. What runs there goes on. One that is
// taken back has done nothing for a while and is taken for cold until it tells more.
func (c *Core) setEvacuated(now time.Duration, domain string, evacuated bool) {
	for _, p := range c.poolRows {
		for i := range p.Endpoints {
			e := &p.Endpoints[i]
			if e.Domain != domain {
				continue
			}
			e.Evacuated = evacuated
			if !evacuated {
				p.becameCold(now, i)
			}
		}
	}
}

// rowOfVM returns the row of one incarnation of an endpoint, or nil.
func (c *Core) rowOfVM(vm *published.VM) *table.Endpoint {
	ref, ok := c.fleet.rows[vm.Name]
	if !ok {
		return nil
	}
	return ref.pool.endpointAt(ref.index, vm.Incarnation)
}

// tickFleet ages the beliefs about VMs and asks for published values.
func (c *Core) tickFleet(now time.Duration, out *Actions) {
	c.noteAcked(now, out)
	c.applyChanges(now, c.fleet.members.Tick(now), "silence", out)
	c.spreadSilent(now)
	c.remember(now)
	c.checkReaders(now)
	c.fetchDue(now, out)
}
