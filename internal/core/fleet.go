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
	// entriesVersion is the version of the member table's entries from which the lists below were
	// made.
	entriesVersion uint64
	entries        []member.Entry
	// byIncarnation and byAssignID map incarnations and assign IDs to indexes in entries.
	byIncarnation, byAssignID map[uint64]int
	// assignedVersion is the entriesVersion at which services were last assigned, and assignedAt is
	// when that was.
	assignedVersion uint64
	assignedAt      time.Duration
	// assignMembers are the entries among which work is divided. They are identified by assignID,
	// so that a restart of an entry moves no assignment.
	assignMembers []assign.Member
	// readerCandidates are the entries among which readers are chosen. Entries that start are
	// included: otherwise each entry of a starting fleet would take itself for the only reader.
	readerCandidates []assign.Member
	selfAssignID     uint64
	peers            map[uint64]*peer
	profiles         *assign.Tracker
	vms              *assign.Tracker
	nextCheck        time.Duration
	// evacuated lists the failure domains whose endpoints get no new work.
	evacuated []Evacuation
	// remembered are the entries that count for the ownership of cold endpoints, by assignID, as of
	// rememberedVersion of the entries. settled says that this entry knows the state of the others.
	remembered        map[uint64]rememberedEntry
	rememberedVersion uint64
	settled           bool
	// rows maps the VM name of an endpoint to its row.
	rows   map[string]endpointRef
	gossip *gossip.Scheduler
	// maxEntriesSeen is the largest number of entries ever known at the same time, this one
	// included.
	maxEntriesSeen int
	// ownShare is this entry's share of the fleet's requests.
	ownShare float64
	// poolPeers are the entries that serve a pool which this entry also serves.
	poolPeers map[uint64]bool
	// serviceEntryCounts maps the number of entries per failure domain that a policy sets to the
	// number of entries to which callers of its services are sent.
	serviceEntryCounts map[int]int
	// gossipPeers is scratch memory of Core.gossipPeers.
	gossipPeers []gossip.Peer
	// due, newEvidence and loadReports are scratch memory of composeUpdates.
	due         []uint64
	newEvidence []message.Evidence
	loadReports []message.LoadReport
	// heardAt is when a message or an acknowledgement from another entry last arrived.
	heardAt time.Duration
	// rate is this entry's calls per second. It was last sampled at rateAt, when Counters.Arrived
	// was rateArrived.
	rate        uint32
	rateAt      time.Duration
	rateArrived uint64
	// reader says that this entry is assigned to read the configuration service.
	reader  bool
	readers readers
	// ownRecord is this entry's record as announced to the others at announcedAt. epochDue is when
	// a changed epoch is announced, 0 if it has not changed.
	ownRecord   message.Record
	announcedAt time.Duration
	epochDue    time.Duration
	// noEndpoint says that this entry tells the fleet that it reaches no endpoint.
	noEndpoint bool
	// reportedSilent says that another entry reported this one as silent, as of version
	// silentVersion of its record.
	reportedSilent bool
	silentVersion  uint32
	// watchedVersion is the version of the links at which the member table was last updated with
	// the entries that this one watches.
	watchedVersion uint64
	// reachable are the entries from which values can be fetched, as of reachableVersion of the
	// links.
	reachable        []uint64
	reachableVersion uint64
	// acked are the entries that acknowledged a message since the last tick.
	acked []uint64
}

// endpointRef locates the row of an endpoint.
type endpointRef struct {
	pool  *pool
	index int
}

// peer is the latest status of another entry and when it arrived.
type peer struct {
	update  message.Update
	heardAt time.Duration
}

func (c *Core) initFleet() {
	gossipConfig := gossip.Config{
		Self:              c.cfg.Self.Incarnation,
		Region:            c.cfg.Self.Region,
		Domain:            c.cfg.Self.Domain,
		BytesPerSecond:    c.cfg.PeerBytesPerSecond,
		MessagesPerSecond: c.cfg.PeerMessagesPerSecond,
	}
	trackerConfig := assign.TrackerConfig{AlwaysCurrent: c.cfg.AlwaysCurrent}
	c.fleet = fleet{
		selfAssignID: assignID(c.cfg.Self.Name),
		members: member.New(member.Config{
			Self:              c.cfg.Self.Incarnation,
			Region:            c.cfg.Self.Region,
			HeartbeatInterval: func() time.Duration { return c.fleet.gossip.HeartbeatInterval() },
			MissingAfter:      c.cfg.MissingAfter,
			KeepLast:          c.cfg.KeepLast,
			ListIsFinal:       c.cfg.ListIsFinal,
		}),
		peers:     make(map[uint64]*peer),
		poolPeers: make(map[uint64]bool),

		serviceEntryCounts: make(map[int]int),
		profiles:           assign.NewTracker(0, trackerConfig),
		vms:                assign.NewTracker(0, trackerConfig),
		rows:               make(map[string]endpointRef),

		remembered: make(map[uint64]rememberedEntry),
		gossip:     gossip.New(gossipConfig),
		reader:     true,
	}
	c.fleet.members.HelloReceived(0, vmOf(c.cfg.Self))
	c.refreshEntries()
	c.announce(0)
}

// vmOf returns the VM of the entry that sent the hello, as the platform's list would name it.
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

// entry returns the entry with the given incarnation, or nil.
func (f *fleet) entry(incarnation uint64) *member.Entry {
	if i, known := f.byIncarnation[incarnation]; known {
		return &f.entries[i]
	}
	return nil
}

// callerAddressOf returns the address at which the entry with the given incarnation serves callers.
func (f *fleet) callerAddressOf(incarnation uint64) (string, bool) {
	if e := f.entry(incarnation); e != nil {
		return e.VM.Address, true
	}
	return "", false
}

// knows reports whether the entry with the given incarnation may still run.
func (f *fleet) knows(incarnation uint64) bool {
	return f.entry(incarnation) != nil
}

// refreshEntries rebuilds the derived lists after a change of members.
func (c *Core) refreshEntries() {
	f := &c.fleet
	f.entriesVersion = f.members.EntriesVersion()
	f.entries = f.members.Entries(f.entries[:0])
	f.assignMembers, f.readerCandidates = f.assignMembers[:0], f.readerCandidates[:0]
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
		m := assign.Member{ID: id, Region: e.VM.Region, Domain: e.VM.Domain}
		self := e.VM.Incarnation == c.cfg.Self.Incarnation
		if self || e.Usable() {
			f.assignMembers = append(f.assignMembers, m)
		}
		if self || c.mayRead(e) {
			f.readerCandidates = append(f.readerCandidates, m)
		}
	}
	f.maxEntriesSeen = max(f.maxEntriesSeen, len(f.entries))
	f.ownShare = c.requestShare()
	for _, p := range c.poolRows {
		p.repeats.SetFleet(f.maxEntriesSeen)
	}
	f.readers.stale = true
}

// assignID identifies an entry in the division of work. It is derived from the name and not from
// the incarnation, so that it survives a restart.
func assignID(name string) uint64 { return xxhash.Sum64String(name) }

// incarnationsOf converts assign IDs to incarnations.
func (c *Core) incarnationsOf(ids []uint64) []uint64 {
	var out []uint64
	for _, id := range ids {
		if i, known := c.fleet.byAssignID[id]; known {
			out = append(out, c.fleet.entries[i].VM.Incarnation)
		}
	}
	return out
}

// HelloReceived processes the first message on a peer link. The status in the hello counts until
// the peer's first update; from then on its updates are newer.
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
	c.applyUpdate(now, p, &h.Status, out)
}

// HelloAnswered processes the answer to this entry's own hello.
func (c *Core) HelloAnswered(now time.Duration, h message.Hello, out *Actions) {
	c.HelloReceived(now, h, out)
	c.fleet.gossip.NoteHelloAnswer(h.Incarnation, h.Records)
}

// applyEvidence applies evidence about VMs. Evidence about requests and limits is skipped.
func (c *Core) applyEvidence(now time.Duration, out *Actions, evidence ...message.Evidence) {
	var changes []member.Change
	for _, ev := range evidence {
		if !ev.Kind.OfRequest() && ev.Kind != message.EvidenceLimit {
			changes = append(changes, c.fleet.members.ApplyEvidence(now, ev)...)
		}
	}
	c.applyChanges(now, changes, "evidence", out)
}

// assignInterval is the shortest time between two assignments of services to the entries. A fleet
// that starts or is replaced changes with each message, and an assignment walks over all entries
// for each service. While the assignments of entries differ for a moment, the only effect is that
// more entries than intended send to the same endpoints.
const assignInterval = 50 * time.Millisecond

// applyChanges applies membership changes to the pools and notes them in the audit trail. The
// member table may also have changed without anything to note, for instance when an entry becomes
// ready.
func (c *Core) applyChanges(now time.Duration, changes []member.Change, actor string, out *Actions) {
	entriesChanged := c.fleet.members.EntriesVersion() != c.fleet.entriesVersion
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
	c.notifyNewRows(now)
	c.drainQueues(now, out)
}

func (c *Core) applyChange(now time.Duration, ch *member.Change, out *Actions) {
	switch ch.Kind {
	case member.EndpointAdded:
		p := c.poolNamed(ch.VM.Pool)
		index := p.add(now, ch.VM)
		p.Endpoints[index].Evacuated = slices.Contains(c.fleet.members.Evacuated(), ch.VM.Domain)
		if ch.VM.Cold {
			p.markCold(now, index)
		}
		p.newRows = true
		c.applyLimit(now, p, index, "a peer", out)
		c.takeBackoff(&p.Endpoints[index])
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
			c.fleet.rows[ch.VM.Name].pool.gone++
			c.keepBackoff(now, e)
			delete(c.fleet.rows, ch.VM.Name)
			out.DropAddresses = append(out.DropAddresses, ch.VM.Address)
		}
	case member.EndpointCold:
		if ref, ok := c.fleet.rows[ch.VM.Name]; ok && ref.pool.endpointAt(ref.index, ch.VM.Incarnation) != nil {
			ref.pool.markCold(now, ref.index)
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

// setEvacuated sets whether the endpoints of a failure domain are evacuated. Requests that are
// running there continue. An endpoint that returns has been idle for a while and is treated as cold
// until it reports otherwise.
func (c *Core) setEvacuated(now time.Duration, domain string, evacuated bool) {
	for _, p := range c.poolRows {
		for i := range p.Endpoints {
			e := &p.Endpoints[i]
			if e.Domain != domain {
				continue
			}
			e.Evacuated = evacuated
			if !evacuated {
				p.markCold(now, i)
			}
		}
	}
}

// rowOfVM returns the row of the given incarnation of an endpoint, or nil.
func (c *Core) rowOfVM(vm *published.VM) *table.Endpoint {
	ref, ok := c.fleet.rows[vm.Name]
	if !ok {
		return nil
	}
	return ref.pool.endpointAt(ref.index, vm.Incarnation)
}

// tickFleet expires outdated knowledge of VMs and other entries, decides whether this entry reads
// the configuration service, and fetches published values.
func (c *Core) tickFleet(now time.Duration, out *Actions) {
	c.noteAcked(now, out)
	c.applyChanges(now, c.fleet.members.Tick(now), "silence", out)
	c.spreadSilent(now)
	c.rememberEntries(now)
	c.checkReaders(now)
	c.fetchDue(now, out)
	c.probeContested(now, out)
}
