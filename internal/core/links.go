package core

import (
	"slices"

	"github.com/tealhall/tealhall/internal/core/assign"
	"github.com/tealhall/tealhall/internal/core/member"
	"github.com/tealhall/tealhall/internal/message"
)

// LinksVersion grows with each change of what LinkAddresses and PeerAddresses return.
func (c *Core) LinksVersion() uint64 {
	return c.fleet.entriesVersion + c.fleet.gossip.Version() + uint64(c.state)
}

// LinkAddresses appends the addresses of the entries to hold links with.
func (c *Core) LinkAddresses(out []string) []string {
	for _, incarnation := range c.fleet.gossip.Links(nil) {
		if address, known := c.peerAddressOf(incarnation); known && address != "" {
			out = append(out, address)
		}
	}
	if c.state >= message.EntryLeaving {
		// They take over its keys, and those that it adopted.
		out = append(out, c.SuccessorAddresses(c.cfg.Self.Incarnation)...)
		for _, adopted := range c.keys.ExportAdopted() {
			out = append(out, c.SuccessorAddresses(adopted.Home)...)
		}
	}
	return out
}

// PeerAddresses appends the addresses of all other entries that are known.
func (c *Core) PeerAddresses(out []string) []string {
	for i := range c.fleet.entries {
		e := &c.fleet.entries[i]
		if e.VM.Incarnation != c.cfg.Self.Incarnation && e.VM.PeerAddress != "" {
			out = append(out, e.VM.PeerAddress)
		}
	}
	return out
}

// KnowsOthers reports whether any other entry is known that is not suspected.
func (c *Core) KnowsOthers() bool {
	return slices.ContainsFunc(c.fleet.entries, func(e member.Entry) bool {
		return e.VM.Incarnation != c.cfg.Self.Incarnation && !e.Suspected
	})
}

// lostDialers is how many entries dial an address at which an entry was or may be that nobody
// knows now. With three, two of them may be on the wrong side of a partition or dead.
const lostDialers = 3

// DialsLost reports whether this entry is one of those that dial an address at which no entry is
// known. Guards against a fleet in which all dial each one that is lost: after a partition
// into halves that is a quarter of the square of the fleet.
func (c *Core) DialsLost(address string) bool {
	key, before := assign.Key("finds", address), 0
	own := assign.Score(key, c.fleet.selfAssignID)
	for i := range c.fleet.readerCandidates {
		if assign.Score(key, c.fleet.readerCandidates[i].Incarnation) > own {
			before++
		}
	}
	return before < lostDialers
}
