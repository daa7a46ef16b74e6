package wire

import (
	"encoding/binary"
	"math"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
)

// maxEndpoints bounds the endpoint table of one connection. A full table is restarted, because it
// would otherwise fill up with endpoints that were replaced.
const maxEndpoints = 4096

// Update is a message.Update packed relative to the earlier updates on the connection. An
// unchanged Mark is omitted, and an endpoint is identified in full once and by its number
// afterwards. The tables at both ends always agree, because a connection delivers updates in order
// or ends, and both ends start with empty tables on a new connection.
type Update struct {
	Sequence uint64             `cbor:"1,keyasint,omitempty"`
	State    message.EntryState `cbor:"2,keyasint,omitempty"`
	Epoch    uint32             `cbor:"3,keyasint,omitempty"`
	// Profiles and VMs are zero when unchanged; revisions never go back to 0.
	Profiles message.Mark `cbor:"4,keyasint,omitzero"`
	VMs      message.Mark `cbor:"5,keyasint,omitzero"`
	Reader   bool         `cbor:"6,keyasint,omitempty"`
	Rate     uint32       `cbor:"7,keyasint,omitempty"`
	// EvidenceDigest is the exclusive or of the digest and its previous value; 0 means unchanged.
	EvidenceDigest uint64             `cbor:"8,keyasint,omitempty"`
	Evidence       []message.Evidence `cbor:"9,keyasint,omitempty"`
	// Restart tells the receiver to clear its endpoint table before it adds Endpoints.
	Restart bool `cbor:"10,keyasint,omitempty"`
	// Endpoints are the new rows of the endpoint table, numbered in order of appearance.
	Endpoints []EndpointID `cbor:"11,keyasint,omitempty"`
	// LoadReports has four unsigned varints for each load report: the endpoint's number, InFlight,
	// Own and AgeMillis.
	LoadReports []byte           `cbor:"12,keyasint,omitempty"`
	Version     uint32           `cbor:"13,keyasint,omitempty"`
	Records     []message.Record `cbor:"14,keyasint,omitempty"`
	// RecordDigest is packed in the same way as EvidenceDigest.
	RecordDigest uint64 `cbor:"15,keyasint,omitempty"`
	NoEndpoint   bool   `cbor:"16,keyasint,omitempty"`
}

// EndpointID identifies one incarnation of an endpoint.
type EndpointID struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// Packer packs the updates that are sent on one connection. It is not safe for concurrent use.
type Packer struct {
	profiles, vms                message.Mark
	evidenceDigest, recordDigest uint64
	numbers                      map[EndpointID]uint64
}

// Pack returns the packed form of u. It omits From, which the receiver knows from the Hello.
func (p *Packer) Pack(u message.Update) *Update {
	packed := &Update{
		Sequence:       u.Sequence,
		State:          u.State,
		Epoch:          u.Epoch,
		Profiles:       packMark(&p.profiles, u.Profiles),
		VMs:            packMark(&p.vms, u.VMs),
		Reader:         u.Reader,
		NoEndpoint:     u.NoEndpoint,
		Rate:           u.Rate,
		EvidenceDigest: u.EvidenceDigest ^ p.evidenceDigest,
		Evidence:       u.Evidence,
		Version:        u.Version,
		Records:        u.Records,
		RecordDigest:   u.RecordDigest ^ p.recordDigest,
	}
	p.evidenceDigest, p.recordDigest = u.EvidenceDigest, u.RecordDigest
	if p.numbers == nil || len(p.numbers)+len(u.LoadReports) > maxEndpoints {
		packed.Restart = p.numbers != nil
		p.numbers = make(map[EndpointID]uint64)
	}
	for _, report := range u.LoadReports {
		p.packLoadReport(packed, report)
	}
	return packed
}

// packMark returns the zero Mark if now equals the last one, and otherwise stores and returns now.
func packMark(last *message.Mark, now message.Mark) message.Mark {
	if *last == now {
		return message.Mark{}
	}
	*last = now
	return now
}

func (p *Packer) packLoadReport(packed *Update, report message.LoadReport) {
	id := EndpointID{Endpoint: report.Endpoint, Incarnation: report.Incarnation}
	number, known := p.numbers[id]
	if !known {
		number = uint64(len(p.numbers))
		p.numbers[id] = number
		packed.Endpoints = append(packed.Endpoints, id)
	}
	b := binary.AppendUvarint(packed.LoadReports, number)
	b = binary.AppendUvarint(b, uint64(report.InFlight))
	b = binary.AppendUvarint(b, uint64(report.Own))
	packed.LoadReports = binary.AppendUvarint(b, uint64(report.AgeMillis))
}

// Unpacker restores the updates that arrive on one connection. It is not safe for concurrent use.
type Unpacker struct {
	profiles, vms                message.Mark
	evidenceDigest, recordDigest uint64
	endpoints                    []EndpointID
}

// Unpack restores an update of the given sender. An error means that the tables of the two ends
// differ; the caller must then close the connection.
func (p *Unpacker) Unpack(from uint64, packed *Update) (message.Update, error) {
	if packed.Restart {
		p.endpoints = nil
	}
	p.endpoints = append(p.endpoints, packed.Endpoints...)
	if len(p.endpoints) > maxEndpoints {
		return message.Update{}, badUpdate("names more than %d endpoints", maxEndpoints)
	}
	loadReports, err := p.unpackLoadReports(packed.LoadReports)
	if err != nil {
		return message.Update{}, err
	}
	p.evidenceDigest ^= packed.EvidenceDigest
	p.recordDigest ^= packed.RecordDigest
	return message.Update{
		From:           from,
		Sequence:       packed.Sequence,
		State:          packed.State,
		Epoch:          packed.Epoch,
		Profiles:       unpackMark(&p.profiles, packed.Profiles),
		VMs:            unpackMark(&p.vms, packed.VMs),
		Reader:         packed.Reader,
		NoEndpoint:     packed.NoEndpoint,
		Rate:           packed.Rate,
		EvidenceDigest: p.evidenceDigest,
		Evidence:       packed.Evidence,
		Version:        packed.Version,
		Records:        packed.Records,
		RecordDigest:   p.recordDigest,
		LoadReports:    loadReports,
	}, nil
}

// unpackMark returns the Mark that packMark packed.
func unpackMark(last *message.Mark, now message.Mark) message.Mark {
	if now != (message.Mark{}) {
		*last = now
	}
	return *last
}

func (p *Unpacker) unpackLoadReports(b []byte) ([]message.LoadReport, error) {
	var out []message.LoadReport
	for len(b) > 0 {
		var fields [4]uint64
		for i := range fields {
			value, size := binary.Uvarint(b)
			if size <= 0 {
				return nil, badUpdate("ends within a sighting")
			}
			fields[i], b = value, b[size:]
		}
		if fields[0] >= uint64(len(p.endpoints)) {
			return nil, badUpdate("refers to endpoint %d of %d", fields[0], len(p.endpoints))
		}
		if max(fields[1], fields[2], fields[3]) > math.MaxUint16 {
			return nil, badUpdate("holds a number beyond its range")
		}
		id := p.endpoints[fields[0]]
		out = append(out, message.LoadReport{
			Endpoint:    id.Endpoint,
			Incarnation: id.Incarnation,
			InFlight:    uint16(fields[1]),
			Own:         uint16(fields[2]),
			AgeMillis:   uint16(fields[3]),
		})
	}
	return out, nil
}

func badUpdate(format string, args ...any) error {
	return fault.New(fault.BadMessage, "replace the program at the other end if it happens again",
		"the update "+format, args...)
}
