package idem

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestFaults plays the faults in testdata/faults, each with its story. A line
// is "ENTRY OPERATION ARGUMENTS"; a key is written "HOME.EPOCH.NAME". Epochs
// last a minute, two are kept.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		s := &session{t: t, nodes: map[string]*sessionNode{}}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			fmt.Fprintln(&out, s.play(strings.Fields(line)))
		}
		return out.String()
	})
}

type sessionNode struct {
	*Table
	now time.Duration
}

type session struct {
	t     *testing.T
	nodes map[string]*sessionNode
}

func sessionConfig(self uint64) Config {
	return Config{Self: self, EpochLength: time.Minute, KeepEpochs: 2, MaxKeys: 3,
		MaxAnswerBytes: 150, MaxAnswerTotal: 270, MaxAdopted: 4}
}

func (s *session) node(name string) *sessionNode {
	if s.nodes[name] == nil {
		s.nodes[name] = &sessionNode{Table: NewTable(sessionConfig(uint64(name[0])))}
	}
	return s.nodes[name]
}

func (s *session) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *session) key(text string) Key {
	parts := strings.Split(text, ".")
	k := Key{Home: uint64(parts[0][0]), Epoch: uint32(s.number(parts[1]))}
	copy(k.Random[:], parts[2])
	return k
}

func (s *session) play(f []string) string {
	n, op, args := s.node(f[0]), f[1], f[2:]
	switch op {
	case "begin": // KEY [CALLER DIGEST]
		caller, digest := 1, 1
		if len(args) == 3 {
			caller, digest = s.number(args[1]), s.number(args[2])
		}
		v := n.Begin(n.now, s.key(args[0]), uint64(caller), Digest{byte(digest)})
		if v.Kind == Replay {
			return v.Kind.String() + " " + string(v.Answer.Body)
		}
		return v.Kind.String()
	case "may-dispatch":
		return fmt.Sprint(n.MayDispatch(s.key(args[0])))
	case "release":
		n.Release(s.key(args[0]))
	case "finish": // KEY unknown, or KEY done BODY
		if args[1] == "unknown" {
			n.Finish(s.key(args[0]), Unknown, nil)
		} else {
			n.Finish(s.key(args[0]), Done, &Answer{Body: []byte(args[2])})
		}
	case "at":
		n.now, _ = time.ParseDuration(args[0])
		n.Tick(n.now)
	case "seal":
		n.Seal(n.now)
	case "hand": // TO all|part FROM UNTIL|unknown
		to, records := s.node(args[0]), n.Export()
		switch args[1] {
		case "all":
			to.Adopt(to.now, n.cfg.Self, n.Oldest(), records, true)
		case "part":
			to.AdoptPart(to.now, n.cfg.Self, n.Oldest(), len(records), records[s.number(args[2]):s.number(args[3])])
		default:
			to.Adopt(to.now, n.cfg.Self, n.Oldest(), records, false)
		}
	case "hand-adopted": // TO
		to := s.node(args[0])
		for _, a := range n.ExportAdopted() {
			to.AdoptPart(to.now, a.Home, a.Oldest, a.Total, a.Records)
		}
	default:
		s.t.Fatalf("no operation %q", op)
	}
	st := n.Stats()
	return fmt.Sprintf("ok: epochs %d-%d, keys %d, running %d", st.OldestEpoch, st.Epoch, st.Keys, st.Running)
}
