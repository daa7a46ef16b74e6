// Package wire encodes the messages between entries: gob messages under net/rpc with a compact
// header, replies that carry typed errors, and regular updates packed relative to the earlier
// updates on the connection.
//
// Compatibility: gob, and CBOR for the types that every link carries, ignore fields that the
// receiver does not know and leave absent ones zero. A release may therefore add fields and
// methods within a protocol version. It must not change the meaning or type of a field.
package wire

import (
	"strings"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
)

// Method identifies a method by a number, because its name would take more bytes than many
// messages.
type Method uint8

// The methods. The number of a removed method is never reused.
const (
	MethodHello Method = iota + 1
	MethodPing
	MethodUpdate
	MethodFetch
	MethodHandover
)

// ServiceName is the name under which the receiver is registered with net/rpc.
const ServiceName = "Peer"

var methodNames = map[Method]string{
	MethodHello:    ServiceName + ".Hello",
	MethodPing:     ServiceName + ".Ping",
	MethodUpdate:   ServiceName + ".Update",
	MethodFetch:    ServiceName + ".Fetch",
	MethodHandover: ServiceName + ".Handover",
}

// String returns the name under which net/rpc knows the method. For a number of a later release it
// returns a name that the server refuses as unknown.
func (m Method) String() string {
	if name, ok := methodNames[m]; ok {
		return name
	}
	return ServiceName + ".Unknown"
}

// MethodOf returns the number of the method with a name, or 0.
func MethodOf(name string) Method {
	for m, n := range methodNames {
		if n == name {
			return m
		}
	}
	return 0
}

// RequestHeader precedes each request.
type RequestHeader struct {
	Method Method `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
}

// ResponseHeader precedes each response. Fault is set when net/rpc itself refused the request;
// refusals by the receiver's methods are part of the replies.
type ResponseHeader struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Fault string `cbor:"2,keyasint,omitempty"`
}

// Ping keeps a link alive.
type Ping struct{ Count uint64 }

// PingReply answers a Ping.
type PingReply struct{ Count uint64 }

// HelloReply answers a Hello.
type HelloReply struct {
	Hello   Hello    `cbor:"1,keyasint"`
	Refusal *Refusal `cbor:"2,keyasint,omitempty"`
}

// AckReply answers an Update or a Handover.
type AckReply struct {
	Ack     message.Ack `cbor:"1,keyasint"`
	Refusal *Refusal    `cbor:"2,keyasint,omitempty"`
}

// FetchReply answers a Fetch.
type FetchReply struct {
	Document message.Document `cbor:"1,keyasint"`
	Refusal  *Refusal         `cbor:"2,keyasint,omitempty"`
}

// maxRefusalBytes bounds each text of a refusal.
const maxRefusalBytes = 512

// Refusal is the encoded form of a typed error.
type Refusal struct {
	Kind    string `cbor:"1,keyasint"`
	Remedy  string `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint,omitempty"`
}

// Refuse returns the encoded form of err, or nil if err is nil.
func Refuse(err error) *Refusal {
	if err == nil {
		return nil
	}
	remedy := fault.Remedy(err)
	return &Refusal{
		Kind:    string(fault.KindOf(err)),
		Remedy:  truncate(remedy),
		Message: truncate(strings.TrimSuffix(err.Error(), "; "+remedy)),
	}
}

// Err returns the typed error that a refusal represents, or nil if r is nil.
func (r *Refusal) Err() error {
	if r == nil {
		return nil
	}
	// fault.New uses the remedy as a part of a format string.
	remedy := strings.ReplaceAll(truncate(r.Remedy), "%", " percent")
	return fault.New(fault.Kind(truncate(r.Kind)), remedy, "%s", truncate(r.Message))
}

func truncate(text string) string {
	if len(text) <= maxRefusalBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxRefusalBytes], "")
}
