// Package message defines what entries tell each other. The types carry no
// behaviour; package peer moves them and package core decides on them.
package message

import (
	"cmp"

	"github.com/tealhall/tealhall/internal/idem"
)

// The versions of the peer protocol that this program speaks.
const (
	Version    uint16 = 3
	MinVersion uint16 = 3
)

// EntryState is the state of an entry as it tells its peers.
type EntryState uint8

// The states of an entry. For one incarnation they only move forward.
const (
	EntryStarting EntryState = iota
	EntryServing
	EntryLeaving
	EntryStopped
)

// Hello opens a peer link and identifies both ends.
type Hello struct {
	Version       uint16
	MinVersion    uint16
	Name          string
	Incarnation   uint64
	Region        string
	Domain        string
	CallerAddress string
	PeerAddress   string
	// Capacity is what the sender's VM gives it, in thousandths of a core.
	Capacity uint32
	// Records says which entries the sender knows: one that knows fewer asks for the records.
	Records RecordSet
	// Status is what the sender tells of itself, as in an Update without evidence,
	// sightings and a place in the sequence; From is 0 if it tells nothing.
	Status Update
}

// RecordSet says which entries somebody knows, itself included, without their addresses.
type RecordSet struct {
	Count  uint16 `cbor:"1,keyasint,omitempty"`
	Digest uint64 `cbor:"2,keyasint,omitempty"`
}

// Record is what an entry tells of itself to the whole fleet. Others pass it on unchanged; only
// the entry itself raises the version.
type Record struct {
	Name          string `cbor:"1,keyasint"`
	Incarnation   uint64 `cbor:"2,keyasint"`
	Version       uint32 `cbor:"3,keyasint"`
	Region        string `cbor:"4,keyasint,omitempty"`
	Domain        string `cbor:"5,keyasint,omitempty"`
	CallerAddress string `cbor:"6,keyasint,omitempty"`
	PeerAddress   string `cbor:"7,keyasint,omitempty"`
	// The rest is as in an Update.
	State  EntryState `cbor:"8,keyasint,omitempty"`
	Epoch  uint32     `cbor:"9,keyasint,omitempty"`
	Reader bool       `cbor:"10,keyasint,omitempty"`
	Rate   uint32     `cbor:"11,keyasint,omitempty"`
	// Silent is said by another entry, which watches this one: it does not answer. The entry
	// refutes it with a later version.
	Silent bool `cbor:"12,keyasint,omitempty"`
	// Capacity is as in a Hello.
	Capacity uint32 `cbor:"13,keyasint,omitempty"`
}

// Newer reports whether r replaces other, which is of the same VM: a later process, a later
// version of the same, or that it is silent since that version.
func (r *Record) Newer(other *Record) bool {
	switch {
	case r.Incarnation != other.Incarnation:
		return r.Incarnation > other.Incarnation
	case r.Version != other.Version:
		return r.Version > other.Version
	}
	return r.Silent && !other.Silent
}

// RecordsValue is the name under which a peer is asked for all records that it holds.
const RecordsValue = "records"

// Mark identifies a revision of a published value without its text.
type Mark struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	Digest   uint64 `cbor:"2,keyasint,omitempty"`
}

// EvidenceKind is what an entry claims of a VM, or of a request that a VM ran.
type EvidenceKind uint8

// The kinds of evidence about a VM.
const (
	// EvidenceLeaving: the VM announced that it drains or leaves. Final for
	// its incarnation.
	EvidenceLeaving EvidenceKind = iota + 1
	// EvidenceReplaced: a later incarnation answers at the VM's address.
	EvidenceReplaced
	// EvidenceStopped: the VM said that it has stopped. Final as well.
	EvidenceStopped
	// EvidenceCrashed: the VM, an endpoint, crashed while it ran the request of Content and Caller.
	EvidenceCrashed
	// EvidenceCompleted: a run of the request of Content and Caller completed. It names the request in place
	// of a VM, since entries of earlier releases take evidence of kinds that they don't know for the
	// end of the VM.
	EvidenceCompleted
	// EvidenceLimit: what an endpoint says that it takes. Its VM says whose limit it is, as in package
	// core. A later version takes the place of an earlier one.
	EvidenceLimit
)

// OfRequest reports whether the evidence is about a request rather than a VM.
func (k EvidenceKind) OfRequest() bool { return k == EvidenceCrashed || k == EvidenceCompleted }

// Evidence is a claim about one incarnation of a VM, or what it did with a request, that spreads over
// the fleet.
type Evidence struct {
	VM          string       `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Kind        EvidenceKind `cbor:"3,keyasint"`
	// AgeMillis is how old the claim was when it was sent.
	AgeMillis uint32 `cbor:"4,keyasint,omitempty"`
	// Content and Caller identify the request that evidence of a request is about.
	Content uint64 `cbor:"5,keyasint,omitempty"`
	Caller  uint64 `cbor:"8,keyasint,omitempty"`
	// RanMillis is how long a run had taken when its endpoint crashed.
	RanMillis uint32 `cbor:"6,keyasint,omitempty"`
	// Clears is a number of the latest crash that a completed run came after.
	Clears uint32 `cbor:"7,keyasint,omitempty"`
	// Limit is that of EvidenceLimit.
	Limit
}

// Limit is what the fleet is told of the requests that an endpoint takes.
type Limit struct {
	// Rate is in requests a second, 0 for no limit.
	Rate    float64 `cbor:"9,keyasint,omitempty"`
	Version uint32  `cbor:"10,keyasint,omitempty"`
	// Period is whose turn it is to send to the endpoint.
	Period uint32 `cbor:"11,keyasint,omitempty"`
}

// Newer reports whether l replaces other: a later version, and of two that were told at the same time
// the same one at every entry.
func (l Limit) Newer(other Limit) bool {
	return cmp.Or(cmp.Compare(l.Version, other.Version), cmp.Compare(l.Period, other.Period), cmp.Compare(l.Rate, other.Rate)) > 0
}

// LoadReport is one entry's knowledge of the load of one endpoint.
type LoadReport struct {
	// Endpoint is the endpoint's VM name.
	Endpoint    string
	Incarnation uint64
	// InFlight counts requests that the endpoint works on or queues.
	InFlight uint16
	// Own is how many of these the sender placed itself.
	Own       uint16
	AgeMillis uint16
}

// Update is the regular message between two entries. It carries changes, not
// tables; a receiver may miss any of them and be told again later.
type Update struct {
	From     uint64 // incarnation of the sender
	Sequence uint64
	State    EntryState
	Epoch    uint32 // current epoch of the sender's idempotency keys
	Profiles Mark
	VMs      Mark
	// Reader says that the sender reads the platform itself.
	Reader bool
	// Rate is the sender's calls per second, for weights.
	Rate uint32
	// EvidenceDigest digests all evidence that the sender holds. Equal digests tell two
	// entries that neither has evidence for the other.
	EvidenceDigest uint64
	// Version is that of the sender's own record, RecordDigest digests all records that it holds.
	Version      uint32
	RecordDigest uint64
	Evidence     []Evidence
	Records      []Record
	LoadReports  []LoadReport
}

// Fetch asks a peer for the text of a published value.
type Fetch struct {
	Name string
	// After: answer only if the peer holds a later revision than this.
	After uint64
	// Difference says that the asker holds revision After and can do with the difference.
	Difference bool
	// Marks are those of the records that the asker of RecordsValue holds.
	Marks []uint32
}

// Document is a published value as a peer holds it.
type Document struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Data     []byte `cbor:"3,keyasint,omitempty"`
	// Difference says that Data is what changed since the revision that was asked for, and
	// not the whole text.
	Difference bool `cbor:"4,keyasint,omitempty"`
}

// Handover is a part of a sealed idempotency table. Parts may come in any order
// and more than once.
type Handover struct {
	// Home is the incarnation whose keys these are.
	Home uint64
	// Total is how many records the whole table has.
	Total   int
	Records []idem.Record
	// OldestEpoch: keys of earlier epochs were forgotten before the table was sealed.
	OldestEpoch uint32
}

// Ack answers a message that needs no content.
type Ack struct {
	Accepted bool   `cbor:"1,keyasint,omitempty"`
	Reason   string `cbor:"2,keyasint,omitempty"`
	// EvidenceDigest digests all evidence that the receiver of an update holds after it, as
	// Update.EvidenceDigest does for its sender.
	EvidenceDigest uint64 `cbor:"3,keyasint,omitempty"`
	// RecordDigest is the same of records.
	RecordDigest uint64 `cbor:"4,keyasint,omitempty"`
}

// Receipt tells the sender of an update how that ended.
type Receipt struct {
	// Acked: the peer has taken it in.
	Acked bool
	// EvidenceDigest and RecordDigest are those of the peer's Ack.
	EvidenceDigest, RecordDigest uint64
}
