// Package wire holds the form of the messages between entries on a connection:
// gob messages under net/rpc, with a short header of its own, replies that
// carry typed errors, and regular updates packed against what the connection
// already carried.
//
// Compatibility: gob, and CBOR for the forms that every link carries, ignore fields
// that the receiver does not know and leave absent ones zero. So a release may add
// fields and methods within a protocol version; it must not change the meaning or
// type of a field.
package wire

import (
	"strings"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
)

// Method numbers a method on the wire, where its name would cost more bytes
// than many messages.
type Method uint8

// The methods. Numbers are never used again for something else.
const (
	MethodHello Method = iota + 1
	MethodPing
	MethodUpdate
	MethodFetch
	MethodHandover
)

// ServiceName is the name of the receiver at the net/rpc server.
const ServiceName = "Peer"

var methodNames = map[Method]string{
	MethodHello:    ServiceName + ".Hello",
	MethodPing:     ServiceName + ".Ping",
	MethodUpdate:   ServiceName + ".Update",
	MethodFetch:    ServiceName + ".Fetch",
	MethodHandover: ServiceName + ".Handover",
}

// String returns the name under which net/rpc knows the method. A number of a
// later release gives a name that the server answers as unknown.
func (m Method) String() string {
	if name, ok := methodNames[m]; ok {
		return name
	}
	return ServiceName + ".Unknown"
}

// MethodOf returns the number of a method's name, or 0.
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

// ResponseHeader precedes each response. Fault is set when net/rpc itself
// refused the request; the receivers' own refusals are in the replies.
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

// Refusal is a typed error on the wire.
type Refusal struct {
	Kind    string `cbor:"1,keyasint"`
	Remedy  string `cbor:"2,keyasint,omitempty"`
	Message string `cbor:"3,keyasint,omitempty"`
}

// Refuse returns the wire form of err, or nil for nil.
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

// Err returns the typed error that a refusal stands for, or nil for nil.
func (r *Refusal) Err() error {
	if r == nil {
		return nil
	}
	// The remedy becomes part of a format.
	remedy := strings.ReplaceAll(truncate(r.Remedy), "%", " percent")
	return fault.New(fault.Kind(truncate(r.Kind)), remedy, "%s", truncate(r.Message))
}

func truncate(text string) string {
	if len(text) <= maxRefusalBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxRefusalBytes], "")
}
