package wire

import (
	"encoding/binary"
	"math"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
)

// maxNames bounds the endpoints that one connection has numbered. A full table
// is started anew, so that replaced endpoints don't fill it for good.
const maxNames = 4096

// Update is a message.Update packed against what the connection carried
// before: a Mark that did not change is left out, and an endpoint is named
// once, then referred to by its number. A connection delivers updates in order
// or ends, and both ends start anew with each connection, so the two tables
// can't differ.
type Update struct {
	Sequence uint64             `cbor:"1,keyasint,omitempty"`
	State    message.EntryState `cbor:"2,keyasint,omitempty"`
	Epoch    uint32             `cbor:"3,keyasint,omitempty"`
	// Profiles and VMs are zero when unchanged; revisions never go back to 0.
	Profiles message.Mark `cbor:"4,keyasint,omitzero"`
	VMs      message.Mark `cbor:"5,keyasint,omitzero"`
	Reader   bool         `cbor:"6,keyasint,omitempty"`
	Rate     uint32       `cbor:"7,keyasint,omitempty"`
	// EvidenceDigest is the exclusive or with its last value: 0 when unchanged.
	EvidenceDigest uint64             `cbor:"8,keyasint,omitempty"`
	Evidence       []message.Evidence `cbor:"9,keyasint,omitempty"`
	// Restart tells the receiver to forget all names before it adds Names.
	Restart bool `cbor:"10,keyasint,omitempty"`
	// Names are numbered in order of their appearance on the connection.
	Names []Name `cbor:"11,keyasint,omitempty"`
	// LoadReports holds four unsigned varints for each load report: the endpoint's
	// number, InFlight, Own and AgeMillis.
	LoadReports []byte           `cbor:"12,keyasint,omitempty"`
	Version     uint32           `cbor:"13,keyasint,omitempty"`
	Records     []message.Record `cbor:"14,keyasint,omitempty"`
	// RecordDigest is packed as EvidenceDigest is.
	RecordDigest uint64 `cbor:"15,keyasint,omitempty"`
}

// Name identifies one incarnation of an endpoint.
type Name struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// Packer packs the updates that are sent on one connection. It is not safe for
// concurrent use.
type Packer struct {
	profiles, vms                message.Mark
	evidenceDigest, recordDigest uint64
	numbers                      map[Name]uint64
}

// Pack returns the packed form. The update's From is left out; the receiver
// knows it from the Hello.
func (p *Packer) Pack(u message.Update) *Update {
	packed := &Update{
		Sequence:       u.Sequence,
		State:          u.State,
		Epoch:          u.Epoch,
		Profiles:       changed(&p.profiles, u.Profiles),
		VMs:            changed(&p.vms, u.VMs),
		Reader:         u.Reader,
		Rate:           u.Rate,
		EvidenceDigest: u.EvidenceDigest ^ p.evidenceDigest,
		Evidence:       u.Evidence,
		Version:        u.Version,
		Records:        u.Records,
		RecordDigest:   u.RecordDigest ^ p.recordDigest,
	}
	p.evidenceDigest, p.recordDigest = u.EvidenceDigest, u.RecordDigest
	if p.numbers == nil || len(p.numbers)+len(u.LoadReports) > maxNames {
		packed.Restart = p.numbers != nil
		p.numbers = make(map[Name]uint64)
	}
	for _, s := range u.LoadReports {
		p.pack(packed, s)
	}
	return packed
}

func changed(last *message.Mark, now message.Mark) message.Mark {
	if *last == now {
		return message.Mark{}
	}
	*last = now
	return now
}

func (p *Packer) pack(packed *Update, s message.LoadReport) {
	name := Name{Endpoint: s.Endpoint, Incarnation: s.Incarnation}
	number, known := p.numbers[name]
	if !known {
		number = uint64(len(p.numbers))
		p.numbers[name] = number
		packed.Names = append(packed.Names, name)
	}
	b := binary.AppendUvarint(packed.LoadReports, number)
	b = binary.AppendUvarint(b, uint64(s.InFlight))
	b = binary.AppendUvarint(b, uint64(s.Own))
	packed.LoadReports = binary.AppendUvarint(b, uint64(s.AgeMillis))
}

// Unpacker restores the updates that come in on one connection. It is not safe
// for concurrent use.
type Unpacker struct {
	profiles, vms                message.Mark
	evidenceDigest, recordDigest uint64
	names                        []Name
}

// Unpack restores an update of the given sender. An error means that the two
// ends disagree about the connection, which must then be closed.
func (p *Unpacker) Unpack(from uint64, packed *Update) (message.Update, error) {
	if packed.Restart {
		p.names = nil
	}
	p.names = append(p.names, packed.Names...)
	if len(p.names) > maxNames {
		return message.Update{}, badUpdate("names more than %d endpoints", maxNames)
	}
	sightings, err := p.loadReports(packed.LoadReports)
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
		Profiles:       latest(&p.profiles, packed.Profiles),
		VMs:            latest(&p.vms, packed.VMs),
		Reader:         packed.Reader,
		Rate:           packed.Rate,
		EvidenceDigest: p.evidenceDigest,
		Evidence:       packed.Evidence,
		Version:        packed.Version,
		Records:        packed.Records,
		RecordDigest:   p.recordDigest,
		LoadReports:    sightings,
	}, nil
}

func latest(last *message.Mark, now message.Mark) message.Mark {
	if now != (message.Mark{}) {
		*last = now
	}
	return *last
}

func (p *Unpacker) loadReports(b []byte) ([]message.LoadReport, error) {
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
		if fields[0] >= uint64(len(p.names)) {
			return nil, badUpdate("refers to endpoint %d of %d", fields[0], len(p.names))
		}
		if max(fields[1], fields[2], fields[3]) > math.MaxUint16 {
			return nil, badUpdate("holds a number beyond its range")
		}
		name := p.names[fields[0]]
		out = append(out, message.LoadReport{
			Endpoint:    name.Endpoint,
			Incarnation: name.Incarnation,
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
