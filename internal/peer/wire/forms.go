package wire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/tealhall/tealhall/internal/message"
)

// A gob stream describes each type before its first value. On the links of a fleet, most of which
// carry few messages, the descriptions were more than half of all bytes: 2.8 KB per link before its
// first update. The types below are carried by every link. They are encoded as CBOR maps with
// integer keys, and gob carries the resulting bytes, which need no description. A release may add
// keys; it must not change the meaning or type of an existing one.

// Hello is a message.Hello that encodes itself for a connection.
type Hello message.Hello

// helloForm is the CBOR form of a Hello.
type helloForm struct {
	Version       uint16            `cbor:"1,keyasint"`
	MinVersion    uint16            `cbor:"2,keyasint"`
	Name          string            `cbor:"3,keyasint"`
	Incarnation   uint64            `cbor:"4,keyasint"`
	Region        string            `cbor:"5,keyasint,omitempty"`
	Domain        string            `cbor:"6,keyasint,omitempty"`
	CallerAddress string            `cbor:"7,keyasint,omitempty"`
	PeerAddress   string            `cbor:"8,keyasint,omitempty"`
	Records       message.RecordSet `cbor:"9,keyasint"`
	// Status is nil if the sender reports no status of its own.
	Status   *Update `cbor:"12,keyasint,omitempty"`
	Capacity uint32  `cbor:"13,keyasint,omitempty"`
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (h Hello) MarshalBinary() ([]byte, error) {
	form := helloForm{
		Version: h.Version, MinVersion: h.MinVersion, Name: h.Name, Incarnation: h.Incarnation, Region: h.Region, Domain: h.Domain,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Records: h.Records, Capacity: h.Capacity,
	}
	if h.Status.From != 0 {
		form.Status = new(Packer).Pack(h.Status)
	}
	return cbor.Marshal(form)
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (h *Hello) UnmarshalBinary(data []byte) error {
	var form helloForm
	if err := cbor.Unmarshal(data, &form); err != nil {
		return err
	}
	*h = Hello{
		Version: form.Version, MinVersion: form.MinVersion, Name: form.Name, Incarnation: form.Incarnation, Region: form.Region, Domain: form.Domain,
		CallerAddress: form.CallerAddress, PeerAddress: form.PeerAddress, Records: form.Records, Capacity: form.Capacity,
	}
	if form.Status == nil {
		return nil
	}
	status, err := new(Unpacker).Unpack(form.Incarnation, form.Status)
	h.Status = status
	return err
}

// MarshalRecords encodes the records of a document.
func MarshalRecords(records []message.Record) ([]byte, error) { return cbor.Marshal(records) }

// UnmarshalRecords decodes the output of MarshalRecords.
func UnmarshalRecords(data []byte) (records []message.Record, err error) {
	err = cbor.Unmarshal(data, &records)
	return records, err
}

// updateForm has the fields of an Update without its methods.
type updateForm Update

// MarshalBinary implements encoding.BinaryMarshaler.
func (u Update) MarshalBinary() ([]byte, error) { return cbor.Marshal(updateForm(u)) }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (u *Update) UnmarshalBinary(data []byte) error { return cbor.Unmarshal(data, (*updateForm)(u)) }

// requestForm has the fields of a RequestHeader without its methods.
type requestForm RequestHeader

// MarshalBinary implements encoding.BinaryMarshaler.
func (h RequestHeader) MarshalBinary() ([]byte, error) { return cbor.Marshal(requestForm(h)) }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (h *RequestHeader) UnmarshalBinary(data []byte) error {
	return cbor.Unmarshal(data, (*requestForm)(h))
}

// responseForm has the fields of a ResponseHeader without its methods.
type responseForm ResponseHeader

// MarshalBinary implements encoding.BinaryMarshaler.
func (h ResponseHeader) MarshalBinary() ([]byte, error) { return cbor.Marshal(responseForm(h)) }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (h *ResponseHeader) UnmarshalBinary(data []byte) error {
	return cbor.Unmarshal(data, (*responseForm)(h))
}

// helloReplyForm has the fields of a HelloReply without its methods.
type helloReplyForm HelloReply

// MarshalBinary implements encoding.BinaryMarshaler.
func (r HelloReply) MarshalBinary() ([]byte, error) { return cbor.Marshal(helloReplyForm(r)) }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (r *HelloReply) UnmarshalBinary(data []byte) error {
	return cbor.Unmarshal(data, (*helloReplyForm)(r))
}

// ackReplyForm has the fields of an AckReply without its methods.
type ackReplyForm AckReply

// MarshalBinary implements encoding.BinaryMarshaler.
func (r AckReply) MarshalBinary() ([]byte, error) { return cbor.Marshal(ackReplyForm(r)) }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (r *AckReply) UnmarshalBinary(data []byte) error {
	return cbor.Unmarshal(data, (*ackReplyForm)(r))
}

// fetchReplyForm has the fields of a FetchReply without its methods.
type fetchReplyForm FetchReply

// MarshalBinary implements encoding.BinaryMarshaler.
func (r FetchReply) MarshalBinary() ([]byte, error) { return cbor.Marshal(fetchReplyForm(r)) }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (r *FetchReply) UnmarshalBinary(data []byte) error {
	return cbor.Unmarshal(data, (*fetchReplyForm)(r))
}
