package peer

import (
	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer/wire"
)

// receiver has the methods that net/rpc calls for one connection. Refusals are part of the
// replies, because errors of net/rpc itself are plain strings.
type receiver struct{ session *session }

// Hello processes the first call on the connection.
func (r *receiver) Hello(args *wire.Hello, reply *wire.HelloReply) error {
	answer, err := r.hello(message.Hello(*args))
	reply.Hello, reply.Refusal = wire.Hello(answer), wire.Refuse(err)
	return nil
}

func (r *receiver) hello(peer message.Hello) (message.Hello, error) {
	if r.session.peer.Load() != nil {
		return message.Hello{}, fault.New(fault.BadMessage, "open a new connection", "Hello came twice")
	}
	if err := checkVersion(peer); err != nil {
		return message.Hello{}, err
	}
	answer, err := r.session.server.handler.Hello(peer)
	if err != nil {
		return message.Hello{}, err
	}
	r.session.server.closeOlder(r.session, peer)
	return answer, nil
}

// checkVersion refuses a peer that has no protocol version in common with this program. Two
// releases can run side by side while their version ranges overlap.
func checkVersion(peer message.Hello) error {
	if peer.Version >= message.MinVersion && peer.MinVersion <= message.Version {
		return nil
	}
	older := "this entry"
	if peer.Version < message.MinVersion {
		older = "entry " + peer.Name
	}
	return fault.New(fault.VersionMismatch, "upgrade "+older+" by way of a release that speaks both versions",
		"entry %s speaks peer protocol versions %d to %d, this entry %d to %d",
		peer.Name, peer.MinVersion, peer.Version, message.MinVersion, message.Version)
}

// requireHello returns the peer, or an error if its Hello was not accepted yet.
func (r *receiver) requireHello() (*message.Hello, error) {
	peer := r.session.peer.Load()
	if peer == nil {
		return nil, fault.New(fault.BadMessage, "send Hello first on each connection", "a call came before Hello")
	}
	return peer, nil
}

// Ping keeps the link alive.
func (r *receiver) Ping(args *wire.Ping, reply *wire.PingReply) error {
	if _, err := r.requireHello(); err != nil {
		return err
	}
	reply.Count = args.Count
	return nil
}

// Update processes a regular message.
func (r *receiver) Update(args *wire.Update, reply *wire.AckReply) error {
	ack, err := r.update(args)
	reply.Ack, reply.Refusal = ack, wire.Refuse(err)
	return nil
}

func (r *receiver) update(args *wire.Update) (message.Ack, error) {
	peer, err := r.requireHello()
	if err != nil {
		return message.Ack{}, err
	}
	update, err := r.unpack(peer.Incarnation, args)
	if err != nil {
		// The state of the two ends differs, so later updates could be unpacked wrongly.
		r.session.codec.Close()
		return message.Ack{}, err
	}
	return r.session.server.handler.Update(update)
}

func (r *receiver) unpack(from uint64, args *wire.Update) (message.Update, error) {
	r.session.mu.Lock()
	defer r.session.mu.Unlock()
	return r.session.unpacker.Unpack(from, args)
}

// Fetch returns a published value.
func (r *receiver) Fetch(args *message.Fetch, reply *wire.FetchReply) error {
	document, err := r.fetch(*args)
	reply.Document, reply.Refusal = document, wire.Refuse(err)
	return nil
}

func (r *receiver) fetch(args message.Fetch) (message.Document, error) {
	peer, err := r.requireHello()
	if err != nil {
		return message.Document{}, err
	}
	document, err := r.session.server.handler.Fetch(peer.Incarnation, args)
	if err != nil {
		return message.Document{}, err
	}
	if limit := r.session.server.cfg.DocumentBytes; len(document.Data) > limit {
		return message.Document{}, fault.New(fault.BadMessage, "publish a smaller document",
			"value %s has %d bytes, a link carries %d", document.Name, len(document.Data), limit)
	}
	return document, nil
}

// Handover receives a part of a sealed idempotency table.
func (r *receiver) Handover(args *message.Handover, reply *wire.AckReply) error {
	var ack message.Ack
	_, err := r.requireHello()
	if err == nil {
		ack, err = r.session.server.handler.Handover(*args)
	}
	reply.Ack, reply.Refusal = ack, wire.Refuse(err)
	return nil
}
