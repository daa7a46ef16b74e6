package profile

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const exampleDocument = "../../examples/mermaconteo.toml"

// mustParse parses a document that must be accepted.
func mustParse(t *testing.T, document string) *Snapshot {
	t.Helper()
	s, err := Parse([]byte(document), 7)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestExampleDocumentsAreAccepted(t *testing.T) {
	cases := []struct{ file, services, pools string }{
		{exampleDocument, "live-counts photo-batches waste-entries weekly-summaries", "batches live-counts waste-entries"},
		{"../../examples/sabra.toml", "booking library scans site-checks", "booking field library"},
	}
	for _, tc := range cases {
		t.Run(tc.file, func(t *testing.T) {
			data, err := os.ReadFile(tc.file)
			if err != nil {
				t.Fatal(err)
			}
			s := mustParse(t, string(data))
			if got := strings.Join(serviceNames(s, s), " "); got != tc.services {
				t.Errorf("services = %s", got)
			}
			if got := strings.Join(s.Pools(), " "); got != tc.pools {
				t.Errorf("pools = %s", got)
			}
			if len(s.Warnings()) > 0 || len(s.Closes()) == 0 {
				t.Errorf("warnings %v, closes %v", s.Warnings(), s.Closes())
			}
		})
	}
}

func TestSnapshotHoldsPoliciesAndPoolLimits(t *testing.T) {
	document := `format = 1
requires = 1
[profile]
scans = { kind = "bulk", deadline = "1h", watch_budget = 0, close = { deadline = "90s", max_body = "3GiB" } }
checks = { kind = "urgent", slot_share = 1, close = { eject_max_share = 0.1 } }
[service]
scans = { profile = "scans", pool = "field" }
checks = { profile = "checks", pool = "field" }
`
	data := []byte(document)
	s, err := Parse(data, 7)
	if err != nil {
		t.Fatal(err)
	}
	data[0] = 'X'
	s.Data()[1] = 'X'
	if s.Revision() != 7 || string(s.Data()) != document {
		t.Errorf("revision %d, data %q", s.Revision(), s.Data())
	}
	if s.Digest() == mustParse(t, document+"\n").Digest() {
		t.Error("two different documents have the same digest")
	}

	scans, ok := s.Service("scans")
	if _, other := s.Service("photos"); !ok || other {
		t.Fatal("service scans is missing, or service photos exists")
	}
	ordinary := Default(Bulk)
	ordinary.Deadline, ordinary.ProbeBudget = time.Hour, 0
	closePolicy := ordinary
	closePolicy.Deadline, closePolicy.MaxBodyBytes = 90*time.Second, 3<<30
	if *scans.Policy(false) != ordinary || *scans.Policy(true) != closePolicy {
		t.Errorf("scans = %+v", scans)
	}

	limits := PoolLimits{ProbeBudget: 0, EjectMaxShare: 0.2, EjectBase: 5 * time.Second, EjectMax: 2 * time.Minute}
	if got, ok := s.PoolLimits("field", false); !ok || got != limits {
		t.Errorf("ordinary limits = %+v", got)
	}
	limits.EjectMaxShare = 0.1
	if got, ok := s.PoolLimits("field", true); !ok || got != limits {
		t.Errorf("limits during a close = %+v", got)
	}
	if _, ok := s.PoolLimits("scans", false); ok {
		t.Error("there is a pool named after service scans, which uses pool field")
	}
}

// A syntactically valid document can still be built to exhaust an entry. All entries parse the
// published document at once and again at each restart, so it must not crash them.
func TestHostileDocumentsAreRefused(t *testing.T) {
	half := MaxDocumentBytes/2 - 10
	cases := map[string]string{
		"too large":         strings.Repeat("#", MaxDocumentBytes+1),
		"nested lists":      "format = " + strings.Repeat("[", 9900) + strings.Repeat("]", 9900),
		"dotted key":        "format = 1\nprofile.x.kind" + strings.Repeat(".a", half-20) + " = 1",
		"dotted table":      "[a" + strings.Repeat(".a", half) + "]",
		"long name":         "[profile." + strings.Repeat("a", half) + "]\n" + numberedKeys(50),
		"many unknown keys": "format = 1\n" + numberedKeys(4000),
		"too many keys":     numberedKeys(maxKeys + 1),
		"zero bytes":        "format = 1\x00",
		"not UTF-8":         "format = 1 # \xff",
	}
	for name, document := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse([]byte(document), 1); err == nil {
				t.Error("accepted")
			} else if len(err.Error()) > 64*kilobyte {
				t.Errorf("the message has %d bytes", len(err.Error()))
			}
		})
	}
}

func numberedKeys(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "key%d = 1\n", i)
	}
	return b.String()
}

// checkServiceInvariants checks what must hold for every accepted service.
func checkServiceInvariants(t interface{ Errorf(string, ...any) }, s *Service) {
	if s.Ordinary.Kind != s.Close.Kind || s.Ordinary.RequireKey != s.Close.RequireKey {
		t.Errorf("%s: kind or require_key differs during a close", s.Name)
	}
	for _, closing := range []bool{false, true} {
		p := s.Policy(closing)
		mayRunTwice := p.Kind == Read || p.Kind == Urgent
		valid := s.Pool != "" && s.Profile != "" &&
			p.Deadline > 0 && p.HedgeAfter >= 0 && p.HedgeAfter < p.Deadline &&
			(p.HedgeAfter == 0 || mayRunTwice && p.MaxAttempts > 1 && p.RetryBudget > 0) &&
			(p.Kind != Once || p.RequireKey || p.MaxAttempts == 1) &&
			(p.QueueOrder == ByDeadline || p.QueueOrder == ByArrival) &&
			p.QueueLimit >= 0 && p.Priority >= 0 && p.Priority <= 9 &&
			p.SlotShare > 0 && p.SlotShare <= 1 && p.CallerShare > 0 && p.CallerShare <= 1 &&
			(p.QueueLimit == 0 || p.CallerShare*float64(p.QueueLimit) >= 1) &&
			p.RetryBudget >= 0 && p.RetryBudget <= 1 && p.MaxAttempts >= 1 && p.MaxAttempts <= 5 &&
			p.ProbeBudget >= 0 && p.ProbeBudget <= 0.2 && p.EjectMaxShare >= 0 && p.EjectMaxShare <= 0.5 &&
			p.EjectBase > 0 && p.EjectBase <= p.EjectMax && p.MaxBodyBytes >= 0 && p.EntriesPerDomain >= 0
		if !valid {
			t.Errorf("%s: accepted an invalid policy with closing=%v: %+v", s.Name, closing, *p)
		}
	}
}

// drawDocument generates a document from mostly valid parts, so that many of the documents are
// accepted.
func drawDocument(t *rapid.T) string {
	values := map[string][]string{
		"duration":      {`"1s"`, `"5s"`, `"1m"`, `"20ms"`, `"1h"`},
		"whole number":  {"1", "2", "3", "5"},
		"share":         {"0.1", "0.2", "0.02", "0.45"},
		"size":          {`"0B"`, `"8MB"`, `"1GiB"`},
		"true or false": {"true", "false"},
		"choice":        {`"deadline"`, `"arrival"`},
	}
	if rapid.IntRange(0, 3).Draw(t, "spoilt") == 0 {
		for unit := range values {
			values[unit] = append(values[unit], "0", "-1", "1.5", "inf", `"-1s"`, `"0s"`, `"17GB"`, `"other"`)
		}
	}
	isSame := func(a, b field) bool { return a.name == b.name }
	settings := func() (text string) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(fields[1:]), 0, 4).Draw(t, "fields")
		slices.SortFunc(drawn, func(a, b field) int { return strings.Compare(a.name, b.name) })
		for _, f := range slices.CompactFunc(drawn, isSame) {
			text += f.name + " = " + rapid.SampledFrom(values[f.unit()]).Draw(t, "value") + "\n"
		}
		return text
	}
	document := "format = 1\n"
	for _, name := range []string{"a", "b"} {
		kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
		pool := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
		document += fmt.Sprintf("[profile.%[1]s]\nkind = %[2]q\n%[3]s[profile.%[1]s.close]\n%[4]s[service.%[1]s]\nprofile = %[1]q\npool = %[5]q\n",
			name, kind, settings(), settings(), pool)
	}
	return document
}

func TestParseIsDeterministicAndKeepsInvariants(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		first, err := Parse([]byte(document), 1)
		second, secondErr := Parse([]byte(document), 1)
		if err != nil || secondErr != nil {
			if err == nil || secondErr == nil || err.Error() != secondErr.Error() {
				t.Fatalf("two parses of one document returned errors %v and %v", err, secondErr)
			}
			return
		}
		accepted++
		if changes := Diff(first, second); len(changes) > 0 {
			t.Errorf("a document differs from itself: %v", changes)
		}
		for _, s := range first.Services() {
			checkServiceInvariants(t, s)
		}
	})
	if accepted == 0 {
		t.Error("no generated document was accepted, so no service was checked")
	}
}

// A truncated or corrupted document must not crash an entry.
func TestDamagedDocumentDoesNotPanic(t *testing.T) {
	whole, err := os.ReadFile(exampleDocument)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		data := whole
		for range rapid.IntRange(1, 5).Draw(t, "damages") {
			at := rapid.IntRange(0, len(data)).Draw(t, "at")
			end := min(at+rapid.IntRange(0, 200).Draw(t, "length"), len(data))
			noise := rapid.SampledFrom([]string{"", "\n", "[", "]]", "{", "=", `"`, ".", "\xff", "9"}).Draw(t, "noise")
			data = slices.Concat(data[:at], []byte(noise), data[end:])
		}
		if s, err := Parse(data, 1); err == nil {
			for _, service := range s.Services() {
				checkServiceInvariants(t, service)
			}
		}
	})
}
