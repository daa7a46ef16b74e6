package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/message"
)

// BenchmarkTick measures one tick of 10 ms of one entry in a calm fleet: finding the due peers, and
// composing and acknowledging the messages.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{15, 60} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 1)
			f.run(5 * time.Second)
			node, now := f.nodes[f.ids[0]], f.now
			reports := make([]message.LoadReport, 19)
			for i := range reports {
				reports[i].Endpoint = fmt.Sprint("endpoint-", i)
			}
			var due []uint64
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += step
				reports[i%len(reports)].InFlight++
				due = node.Due(now, due[:0])
				for _, to := range due {
					if u, ok := node.Compose(now, to, reports); ok {
						node.Done(now, to, u.Sequence, message.Receipt{Acked: true, EvidenceDigest: u.EvidenceDigest})
					}
				}
			}
		})
	}
}

// BenchmarkSendRate reports what one entry sends in ten seconds of a calm fleet under load, and how
// often a peer that shares a service gets load reports.
func BenchmarkSendRate(b *testing.B) {
	for _, c := range []struct{ entries, sharers, bytesPerSecond, messagesPerSecond int }{
		{15, 0, 9000, 60}, {15, 2, 9000, 60}, {15, 14, 9000, 60}, {15, 2, 150000, 400},
		{20, 0, 9000, 60}, {30, 0, 9000, 60}, {30, 2, 9000, 60}, {60, 0, 9000, 60}, {60, 2, 9000, 60},
	} {
		b.Run(fmt.Sprintf("%d entries, %d share, %d B/s", c.entries, c.sharers, c.bytesPerSecond), func(b *testing.B) {
			var sent, reports int
			for b.Loop() {
				sent, reports = sendRate(c.entries, c.sharers, Config{Self: 1, BytesPerSecond: float64(c.bytesPerSecond), MessagesPerSecond: float64(c.messagesPerSecond)})
			}
			b.ReportMetric(float64(sent)/10, "B/s")
			b.ReportMetric(10000*float64(c.sharers)/float64(max(reports, 1)), "ms/report")
		})
	}
}

// sendRate runs one entry for ten seconds after a minute of warm-up, with acks at the next tick.
func sendRate(entries, sharers int, cfg Config) (sent, reports int) {
	s := New(cfg)
	var peers []Peer
	for i := range entries - 1 {
		peers = append(peers, Peer{Incarnation: uint64(i + 2), Shares: i < sharers})
	}
	s.SetPeers(0, peers)
	loads := make([]message.LoadReport, 6)
	for now := time.Duration(0); now < 70*time.Second; now += step {
		for i := range loads {
			loads[i] = message.LoadReport{Endpoint: fmt.Sprint("endpoint-", i), InFlight: uint16(now / step / 5)}
		}
		for _, to := range s.Due(now, nil) {
			u, ok := s.Compose(now, to, loads)
			s.Done(now, to, u.Sequence, message.Receipt{Acked: ok, EvidenceDigest: u.EvidenceDigest})
			if ok && now >= time.Minute {
				sent += Size(&u)
				reports += min(len(u.LoadReports), 1)
			}
		}
	}
	return sent, reports
}
