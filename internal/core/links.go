package core

import (
	"slices"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/message"
)

// LinksVersion grows with each change of the results of LinkAddresses and PeerAddresses.
func (c *Core) LinksVersion() uint64 {
	return c.fleet.entriesVersion + c.fleet.gossip.Version() + uint64(c.state)
}

// LinkAddresses appends the addresses of the entries to keep links with.
func (c *Core) LinkAddresses(out []string) []string {
	for _, incarnation := range c.fleet.gossip.Links(nil) {
		if address, known := c.peerAddressOf(incarnation); known && address != "" {
			out = append(out, address)
		}
	}
	if c.state >= message.EntryLeaving {
		// The successors adopt this entry's keys and the keys that it has adopted.
		out = append(out, c.SuccessorAddresses(c.cfg.Self.Incarnation)...)
		for _, adopted := range c.keys.ExportAdopted() {
			out = append(out, c.SuccessorAddresses(adopted.Home)...)
		}
	}
	return out
}

// PeerAddresses appends the addresses of all other known entries.
func (c *Core) PeerAddresses(out []string) []string {
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		if e.VM.Incarnation != c.cfg.Self.Incarnation && e.VM.PeerAddress != "" {
			out = append(out, e.VM.PeerAddress)
		}
	}
	return out
}

// KnowsOthers reports whether any other entry is known and not suspected.
func (c *Core) KnowsOthers() bool {
	return slices.ContainsFunc(c.fleet.entries, func(e member.Entry) bool {
		return e.VM.Incarnation != c.cfg.Self.Incarnation && !e.Suspected
	})
}

// lostDialers is how many entries dial an address at which an entry was known earlier or may be
// running, but none is known now. With three dialers, two of them may be dead or on the wrong side
// of a partition.
const lostDialers = 3

// DialsLost reports whether this entry is one of the few that dial an address at which no entry is
// known. If all entries dialed every such address, a partition into halves would cause dials in the
// order of a quarter of the square of the fleet's size.
func (c *Core) DialsLost(address string) bool {
	key, before := assign.Key("finds", address), 0
	own := assign.Score(key, c.fleet.selfAssignID)
	for i := range c.fleet.readerCandidates {
		if assign.Score(key, c.fleet.readerCandidates[i].ID) > own {
			before++
		}
	}
	return before < lostDialers
}
