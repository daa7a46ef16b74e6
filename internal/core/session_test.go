package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/tealhall/tealhall/internal/idem"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// session is a cluster harness that is driven by the commands of a golden file.
type session struct {
	*clusterHarness
	keys map[string]idem.Key
	// lastRequest is the request that was sent last.
	lastRequest RequestID
	// notesShown is the number of notes of each entry that were printed.
	notesShown map[*node]int
}

// TestSessions runs the sessions in testdata/sessions. Each file has a series of external events,
// and after each event the notes expected in the audit trails of all entries.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		var s *session
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				var entries int
				d.ScanArgs(t, "entries", &entries)
				s = &session{clusterHarness: newClusterHarness(t, entries), keys: map[string]idem.Key{}, notesShown: map[*node]int{}}
				s.publishVMs(1, strings.Fields(d.Input)...)
				s.run(2 * sec)
				return s.statusText()
			}
			s.TB = t
			return s.step(t, d) + s.notes()
		})
	})
}

// step runs one command of a file and returns its output.
func (s *session) step(t *testing.T, d *datadriven.TestData) string {
	arg := func(name string) (value string) {
		if d.HasArg(name) {
			d.ScanArgs(t, name, &value)
		}
		return value
	}
	n := s.find(arg("entry"))
	switch d.Cmd {
	case "run":
		d, err := time.ParseDuration(arg("for"))
		if err != nil {
			t.Fatal(err)
		}
		s.run(d)
	case "clock":
		at, err := time.Parse("2006-01-02 15:04", strings.TrimSpace(d.Input))
		if err != nil {
			t.Fatal(err)
		}
		s.wall = at.Add(-s.now)
		s.run(100 * ms)
	case "list":
		var revision uint64
		d.ScanArgs(t, "rev", &revision)
		s.publishVMs(revision, strings.Fields(d.Input)...)
	case "publish":
		var revision uint64
		d.ScanArgs(t, "rev", &revision)
		before, after, _ := strings.Cut(d.Input, " => ")
		s.republish(revision, before, after)
	case "platform":
		down := d.HasArg("down")
		s.platformDown = func(*node) bool { return down }
	case "network":
		split := d.HasArg("split")
		s.cut = func(from, to *node) bool { return split && separatesHalves(from, to) }
	case "endpoint":
		s.setReaction(t, d)
	case "ask":
		s.ask(n, arg("service"), arg("key"), arg("home"))
		s.run(200 * ms)
		return s.lastReply(n)
	case "key":
		s.keys[arg("name")] = s.key(n)
	case "leave":
		s.do(n, func(now time.Duration, out *Actions) { n.Leave(now, "a new release", out) })
	case "stop":
		return s.stop(n)
	case "start":
		s.start(int(arg("vm")[0] - '0'))
	case "status":
		return s.statusText()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// find returns the running process of an entry's VM.
func (s *session) find(vm string) (found *node) {
	for _, n := range s.nodes {
		if !n.dead && n.hello.Name == "entry-"+vm {
			found = n
		}
	}
	return found
}

// setReaction changes the reaction of one endpoint.
func (s *session) setReaction(t *testing.T, d *datadriven.TestData) {
	var name, does string
	d.ScanArgs(t, "name", &name)
	d.ScanArgs(t, "does", &does)
	re := reactions["answers"]
	switch does {
	case "drain":
		re.head.Draining = true
	case "lose":
		re = reactions["lost"]
	case "refuse":
		re = reactions["refuses"]
	}
	before := s.clusterHarness.endpoint
	s.clusterHarness.endpoint = func(at string, a Arrival) reaction {
		if at == name {
			return re
		}
		return before(at, a)
	}
}

// ask sends a request, under a key with a known name or a new key.
func (s *session) ask(n *node, service, key, home string) {
	a := Arrival{Service: service, Caller: 1, HasKey: key != ""}
	if a.HasKey {
		if _, known := s.keys[key]; !known {
			s.keys[key] = s.key(s.find(home))
		}
		a.Key = s.keys[key]
	}
	s.lastRequest = s.sendRequest(n, a)
}

// lastReply describes the reply to the last request.
func (s *session) lastReply(n *node) string {
	got := n.replies[s.lastRequest]
	switch got.body {
	case "":
		return fmt.Sprintf("outcome %v (%v): %s\n", got.Outcome, got.Reason, got.Reason.Remedy())
	case requestText(n.arrivals[s.lastRequest]):
		return fmt.Sprintf("outcome %v with its own answer\n", got.Outcome)
	}
	return "another request's answer: " + got.body + "\n"
}

// stop completes a planned stop: it seals the entry's keys, hands them over and ends the process.
func (s *session) stop(n *node) string {
	n.SealKeys(s.now - n.started)
	s.run(200 * ms)
	taken := 0
	for _, part := range n.Handover(10) {
		for _, address := range n.SuccessorAddresses(part.Home)[:1] {
			to := s.nodeAt(address)
			s.do(to, func(now time.Duration, out *Actions) { to.Adopt(now, &part, out) })
			taken += len(part.Records)
		}
	}
	s.do(n, func(now time.Duration, out *Actions) { n.Stopped(now, out) })
	s.run(500 * ms)
	n.dead = true
	return fmt.Sprintf("handed over %d keys with %d requests in flight\n", taken, n.InFlight())
}

// statusText describes each running entry in a line.
func (s *session) statusText() string {
	var b strings.Builder
	for _, n := range s.nodes {
		s.notesShown[n] = len(n.notes)
		if n.dead {
			continue
		}
		state := [...]string{"starting", "serving", "leaving", "stopped"}[n.State()]
		if n.State() == message.EntryServing && n.closing {
			state += " a close"
		}
		fmt.Fprintf(&b, "%s %s, profiles %d, list %d, names %q\n", n.hello.Name, state,
			n.InForce(published.ProfilesValue).Revision, n.InForce(published.VMsValue).Revision, n.entriesNamed("counts"))
	}
	return b.String()
}

// notes prints the new notes of all audit trails.
func (s *session) notes() string {
	var b strings.Builder
	for _, n := range s.nodes {
		for _, x := range n.notes[s.notesShown[n]:] {
			fmt.Fprintf(&b, "%s: %s", n.hello.Name, x.Subject+" "+x.Action)
			if x.From+x.To != "" {
				fmt.Fprintf(&b, " (%s -> %s)", x.From, x.To)
			}
			if x.Why != "" {
				fmt.Fprintf(&b, ": %s", x.Why)
			}
			b.WriteByte('\n')
		}
		s.notesShown[n] = len(n.notes)
	}
	return b.String()
}
