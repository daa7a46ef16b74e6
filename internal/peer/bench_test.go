package peer

import (
	"fmt"
	"net"
	"net/rpc"
	"testing"

	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/peer/wire"
)

// gobReceiver serves updates with the default gob codec of net/rpc.
type gobReceiver struct{}

func (gobReceiver) Update(_ *message.Update, reply *message.Ack) error {
	reply.Accepted = true
	return nil
}

func benchUpdate(sequence, loadReports int) message.Update {
	u := message.Update{From: 0x9e3779b97f4a7c15, Sequence: uint64(sequence), State: message.EntryServing, Epoch: 40,
		Profiles: message.Mark{Revision: 4000, Digest: 0x9e3779b97f4a7c15},
		VMs:      message.Mark{Revision: 90_000, Digest: 0xc2b2ae3d27d4eb4f},
		Rate:     2500 + uint32(sequence%100), EvidenceDigest: 0x165667b19e3779f9}
	for i := range loadReports {
		u.LoadReports = append(u.LoadReports, message.LoadReport{
			Endpoint:    fmt.Sprintf("endpoint-%03d", (sequence*7+i)%100),
			Incarnation: 0x9e3779b97f4a7c15 + uint64((sequence*7+i)%100),
			InFlight:    uint16(i % 4), Own: uint16(i % 2), AgeMillis: uint16(50 * i)})
	}
	return u
}

// BenchmarkUpdateBytes reports the bytes of an update and of its reply without TCP and IP headers,
// for the default codec of net/rpc and for the packed form. The connections are warm: types, marks
// and endpoints were sent before the measurement.
func BenchmarkUpdateBytes(b *testing.B) {
	for _, loadReports := range []int{0, 20} {
		b.Run(fmt.Sprintf("gob/load-reports=%d", loadReports), func(b *testing.B) {
			client, used := gobClient(b)
			measureBytes(b, used, func(i int) error {
				u := benchUpdate(i, loadReports)
				return client.Call("Peer.Update", &u, new(message.Ack))
			})
		})
		b.Run(fmt.Sprintf("packed/load-reports=%d", loadReports), func(b *testing.B) {
			client, used := packedClient(b)
			var packer wire.Packer
			measureBytes(b, used, func(i int) error {
				u := packer.Pack(benchUpdate(i, loadReports))
				return client.Call(wire.MethodUpdate.String(), u, new(wire.AckReply))
			})
		})
	}
}

const warmUpdates = 100

func measureBytes(b *testing.B, used *meter, call func(i int) error) {
	for i := range warmUpdates {
		if err := call(i); err != nil {
			b.Fatal(err)
		}
	}
	in, out := used.in.Load(), used.out.Load()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if err := call(warmUpdates + i); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(used.out.Load()-out)/float64(b.N), "out-bytes/op")
	b.ReportMetric(float64(used.in.Load()-in)/float64(b.N), "in-bytes/op")
}

func gobClient(b *testing.B) (*rpc.Client, *meter) {
	near, far := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", gobReceiver{}); err != nil {
		b.Fatal(err)
	}
	go server.ServeConn(far)
	used := new(meter)
	client := rpc.NewClient(meteredConn{Conn: near, meter: used})
	b.Cleanup(func() { client.Close() })
	return client, used
}

func packedClient(b *testing.B) (*rpc.Client, *meter) {
	near, far := net.Pipe()
	server := NewServer(Config{}, &discardingHandler{})
	server.start(far)
	used := new(meter)
	limits := Config{}.withDefaults().limits()
	client := rpc.NewClientWithCodec(wire.NewClientCodec(meteredConn{Conn: near, meter: used}, limits))
	b.Cleanup(func() {
		client.Close()
		server.Close()
	})
	hello := wire.Hello(helloOf("a", 1))
	if err := client.Call(wire.MethodHello.String(), &hello, new(wire.HelloReply)); err != nil {
		b.Fatal(err)
	}
	return client, used
}

// discardingHandler accepts updates without storing them.
type discardingHandler struct{ recordingHandler }

func (*discardingHandler) Update(message.Update) (message.Ack, error) {
	return message.Ack{Accepted: true}, nil
}

// BenchmarkOpenConnection opens a connection and exchanges Hello. It measures the cost of a link
// for both ends before its first update, without the packets.
func BenchmarkOpenConnection(b *testing.B) {
	server := NewServer(Config{}, &discardingHandler{})
	limits := Config{}.withDefaults().limits()
	hello := wire.Hello(helloOf("a", 1))
	b.ReportAllocs()
	for b.Loop() {
		near, far := net.Pipe()
		server.start(far)
		client := rpc.NewClientWithCodec(wire.NewClientCodec(near, limits))
		if err := client.Call(wire.MethodHello.String(), &hello, new(wire.HelloReply)); err != nil {
			b.Fatal(err)
		}
		client.Close()
	}
}
