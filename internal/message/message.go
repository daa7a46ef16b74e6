// Package message defines the messages between entries. The types have almost no behaviour: package
// peer transports them and package core processes them.
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

// EntryState is the state of an entry as reported to its peers.
type EntryState uint8

// The states of an entry. Within one incarnation the state only moves forward in this order.
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
	// Capacity is the CPU capacity that the sender's VM provides, in thousandths of a core.
	Capacity uint32
	// Records summarises the records that the sender has. A peer that lacks some of them asks for
	// them.
	Records RecordSet
	// Status is the sender's own status: an Update that has no evidence, no load reports and no
	// sequence number. Its From is 0 if the sender reports no status.
	Status Update
}

// RecordSet summarises the records that an entry has, its own included, by their number and digest.
type RecordSet struct {
	Count  uint16 `cbor:"1,keyasint,omitempty"`
	Digest uint64 `cbor:"2,keyasint,omitempty"`
}

// Record is what an entry reports about itself to the whole fleet. Peers pass it on unchanged,
// except for Silent; only the entry itself increases Version.
type Record struct {
	Name          string `cbor:"1,keyasint"`
	Incarnation   uint64 `cbor:"2,keyasint"`
	Version       uint32 `cbor:"3,keyasint"`
	Region        string `cbor:"4,keyasint,omitempty"`
	Domain        string `cbor:"5,keyasint,omitempty"`
	CallerAddress string `cbor:"6,keyasint,omitempty"`
	PeerAddress   string `cbor:"7,keyasint,omitempty"`
	// State, Epoch, Reader and Rate are as in an Update.
	State  EntryState `cbor:"8,keyasint,omitempty"`
	Epoch  uint32     `cbor:"9,keyasint,omitempty"`
	Reader bool       `cbor:"10,keyasint,omitempty"`
	Rate   uint32     `cbor:"11,keyasint,omitempty"`
	// Silent is set by another entry, which monitors this one and gets no answer from it. The entry
	// refutes it by a record with a later version.
	Silent bool `cbor:"12,keyasint,omitempty"`
	// Capacity is as in a Hello.
	Capacity uint32 `cbor:"13,keyasint,omitempty"`
	// NoEndpoint is as in an Update.
	NoEndpoint bool `cbor:"14,keyasint,omitempty"`
}

// Newer reports whether r replaces other, a record of the same VM: r is of a later incarnation, or
// has a later version of the same incarnation, or reports the same version as silent.
func (r *Record) Newer(other *Record) bool {
	switch {
	case r.Incarnation != other.Incarnation:
		return r.Incarnation > other.Incarnation
	case r.Version != other.Version:
		return r.Version > other.Version
	}
	return r.Silent && !other.Silent
}

// RecordsValue is the Fetch.Name that asks a peer for all records that it has.
const RecordsValue = "records"

// Mark identifies a revision of a published value without its content.
type Mark struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	Digest   uint64 `cbor:"2,keyasint,omitempty"`
}

// EvidenceKind is what a piece of evidence states about a VM, or about a request that a VM ran.
type EvidenceKind uint8

// The kinds of evidence.
const (
	// EvidenceLeaving: the VM announced that it is draining or leaving. Final for its incarnation.
	EvidenceLeaving EvidenceKind = iota + 1
	// EvidenceReplaced: a later incarnation answers at the VM's address.
	EvidenceReplaced
	// EvidenceStopped: the VM announced that it has stopped. Final for its incarnation.
	EvidenceStopped
	// EvidenceCrashed: the VM, an endpoint, crashed while it ran the request that Content and
	// Caller identify.
	EvidenceCrashed
	// EvidenceCompleted: a run of the request that Content and Caller identify has completed. It
	// names the request in place of a VM, because entries of earlier releases take evidence of an
	// unknown kind for the end of the VM.
	EvidenceCompleted
	// EvidenceLimit: the rate limit that an endpoint reported. Its VM identifies the endpoint, in
	// the form that package core defines. A later version replaces an earlier one.
	EvidenceLimit
)

// OfRequest reports whether the evidence is about a request rather than a VM.
func (k EvidenceKind) OfRequest() bool { return k == EvidenceCrashed || k == EvidenceCompleted }

// Evidence is a statement about one incarnation of a VM, or about a request that a VM ran. It
// spreads to the whole fleet by gossip.
type Evidence struct {
	VM          string       `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Kind        EvidenceKind `cbor:"3,keyasint"`
	// AgeMillis is the age of the statement when it was sent.
	AgeMillis uint32 `cbor:"4,keyasint,omitempty"`
	// Content and Caller identify the request, in evidence about a request.
	Content uint64 `cbor:"5,keyasint,omitempty"`
	Caller  uint64 `cbor:"8,keyasint,omitempty"`
	// RanMillis is how long a run had taken when its endpoint crashed.
	RanMillis uint32 `cbor:"6,keyasint,omitempty"`
	// Clears identifies, by a hash, the latest crash that preceded a completed run.
	Clears uint32 `cbor:"7,keyasint,omitempty"`
	// Limit is set in evidence of kind EvidenceLimit.
	Limit
}

// Limit is an endpoint's rate limit as it spreads to the fleet.
type Limit struct {
	// Rate is in requests a second, 0 for no limit.
	Rate    float64 `cbor:"9,keyasint,omitempty"`
	Version uint32  `cbor:"10,keyasint,omitempty"`
	// Period is the owner period in which the limit was spread. It determines which entries may
	// send to the endpoint.
	Period uint32 `cbor:"11,keyasint,omitempty"`
}

// Newer reports whether l replaces other. The later version wins. Between limits of the same
// version, the later period wins, and then the higher rate, so that every entry chooses the same
// limit.
func (l Limit) Newer(other Limit) bool {
	return cmp.Or(cmp.Compare(l.Version, other.Version), cmp.Compare(l.Period, other.Period), cmp.Compare(l.Rate, other.Rate)) > 0
}

// LoadReport is the load of one endpoint as known to the sender.
type LoadReport struct {
	// Endpoint is the endpoint's VM name.
	Endpoint    string
	Incarnation uint64
	// InFlight is the number of requests that the endpoint is processing or has queued.
	InFlight uint16
	// Own is how many of these the sender itself has sent.
	Own       uint16
	AgeMillis uint16
}

// Update is the regular message between two entries. It carries changes rather than whole tables. A
// receiver may miss any update, because changes that it lacks are sent again later.
type Update struct {
	From     uint64 // incarnation of the sender
	Sequence uint64
	State    EntryState
	Epoch    uint32 // current epoch of the sender's idempotency keys
	Profiles Mark
	VMs      Mark
	// Reader is set if the sender reads the platform itself.
	Reader bool
	// NoEndpoint is set if the sender reaches no endpoint and relays all requests.
	NoEndpoint bool
	// Rate is the sender's calls per second, used to weight entries.
	Rate uint32
	// EvidenceDigest is the digest of all evidence that the sender has. Equal digests mean that
	// neither entry has evidence that the other lacks.
	EvidenceDigest uint64
	// Version is the version of the sender's own record. RecordDigest is the digest of all records
	// that the sender has.
	Version      uint32
	RecordDigest uint64
	Evidence     []Evidence
	Records      []Record
	LoadReports  []LoadReport
}

// Fetch asks a peer for the content of a published value, or for its records.
type Fetch struct {
	Name string
	// After is the revision that the sender of the Fetch has. The peer answers only if it has a
	// later one.
	After uint64
	// Difference is set if the peer may answer with the difference from revision After.
	Difference bool
	// Packed is set if the peer may answer in parts, and with packed rows. Offset is where in the
	// value the requested part begins, and Revision the revision of the parts before it.
	Packed   bool
	Offset   int
	Revision uint64
	// Compressed is set if the peer may answer with a packed text, and MayDefer if it may answer that
	// it is to be asked again.
	Compressed, MayDefer bool
	// Marks are hashes of the records that the sender of a Fetch of RecordsValue already has.
	Marks []uint32
}

// Document is a revision of a published value that a peer has.
type Document struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Data     []byte `cbor:"3,keyasint,omitempty"`
	// Difference is set if Data contains only the changes since Fetch.After, not the whole value.
	Difference bool `cbor:"4,keyasint,omitempty"`
	// Packed is set if Data is a part of packed rows. Size is the size of the whole value if Data
	// may be a part of it, else 0.
	Packed bool `cbor:"5,keyasint,omitempty"`
	Size   int  `cbor:"6,keyasint,omitempty"`
	// Compressed is set if Data is a part of a packed text.
	Compressed bool `cbor:"7,keyasint,omitempty"`
	// AskAgainMillis is after which time the peer is to be asked again, because it sends to others
	// now. The document is empty then.
	AskAgainMillis uint32 `cbor:"8,keyasint,omitempty"`
}

// Handover is a part of a sealed idempotency table. Parts may arrive in any order and more than
// once.
type Handover struct {
	// Home is the incarnation of the entry to which the keys belong.
	Home uint64
	// Total is the number of records in the whole table.
	Total   int
	Records []idem.Record
	// OldestEpoch is the oldest epoch in the table: keys of earlier epochs were removed before the
	// table was sealed.
	OldestEpoch uint32
}

// Ack is the answer to an Update or a Handover.
type Ack struct {
	Accepted bool   `cbor:"1,keyasint,omitempty"`
	Reason   string `cbor:"2,keyasint,omitempty"`
	// EvidenceDigest is the digest of all evidence that the receiver of an update has after
	// processing it, like Update.EvidenceDigest for the sender.
	EvidenceDigest uint64 `cbor:"3,keyasint,omitempty"`
	// RecordDigest is the digest of all records that the receiver has after processing the update.
	RecordDigest uint64 `cbor:"4,keyasint,omitempty"`
}

// Receipt reports to the sender of an update whether the peer received it.
type Receipt struct {
	// Acked is set if the peer has processed the update.
	Acked bool
	// EvidenceDigest and RecordDigest are the digests in the peer's Ack.
	EvidenceDigest, RecordDigest uint64
}
