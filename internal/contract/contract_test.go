package contract

import (
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestLoadHeaderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := Load{
			InFlight: rapid.IntRange(0, maxCount).Draw(t, "inFlight"),
			Queued:   rapid.IntRange(0, maxCount).Draw(t, "queued"),
			Slots:    rapid.IntRange(1, maxCount).Draw(t, "slots"),
		}
		if parsed, ok := ParseLoad(load.String()); !ok || parsed != load {
			t.Fatalf("ParseLoad(%q) = %+v, %v", load.String(), parsed, ok)
		}
	})
}

func TestParseLoad(t *testing.T) {
	complete := Load{InFlight: 3, Queued: 1, Slots: 2}
	cases := map[string]struct {
		value string
		want  Load
		ok    bool
	}{
		"as written":       {"in-flight=3,queued=1,slots=2", complete, true},
		"spaces and order": {" slots=2, queued=1 , in-flight=3", complete, true},
		"unknown field":    {"in-flight=3,cpu=0.7,queued=1,slots=2", complete, true},
		"empty":            {"", Load{}, false},
		"field missing":    {"in-flight=3,slots=2", Load{}, false},
		"field twice":      {"in-flight=3,in-flight=3,queued=1,slots=2", Load{}, false},
		"no slots":         {"in-flight=3,queued=1,slots=0", Load{}, false},
		"negative":         {"in-flight=-1,queued=1,slots=2", Load{}, false},
		"too large":        {"in-flight=65536,queued=1,slots=2", Load{}, false},
		"overflow":         {"in-flight=18446744073709551617,queued=1,slots=2", Load{}, false},
		"comma at the end": {"in-flight=3,queued=1,slots=2,", Load{}, false},
		"empty number":     {"in-flight=,queued=1,slots=2", Load{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got, ok := ParseLoad(c.value); got != c.want || ok != c.ok {
				t.Fatalf("ParseLoad(%q) = %+v, %v; want %+v, %v", c.value, got, ok, c.want, c.ok)
			}
		})
	}
	value := complete.String()
	if allocs := testing.AllocsPerRun(100, func() { ParseLoad(value) }); allocs != 0 {
		t.Errorf("ParseLoad allocates %v times", allocs)
	}
}

// Guards against a request that runs twice because an entry reports it as not run although the
// endpoint ran it: a 503 may come from a handler that failed after its work, or from a proxy in
// between. Only the explicit statement counts as proof.
func TestProvedNotRun(t *testing.T) {
	cases := map[string]struct {
		status int
		values []string
		ok     bool
	}{
		"stated":              {503, []string{"busy"}, true},
		"plain 503":           {503, nil, false},
		"plain 500":           {500, nil, false},
		"stated with 500":     {500, []string{"busy"}, false},
		"stated with 200":     {200, []string{"busy"}, false},
		"unknown reason":      {503, []string{"maintenance"}, false},
		"empty reason":        {503, []string{""}, false},
		"two statements":      {503, []string{"busy", "draining"}, false},
		"other spelling":      {503, []string{"Busy"}, false},
		"joined by a gateway": {503, []string{"busy, draining"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, ok := ProvedNotRun(c.status, http.Header{HeaderNotRun: c.values}); ok != c.ok {
				t.Fatalf("ProvedNotRun(%d, %q) = %v; want %v", c.status, c.values, ok, c.ok)
			}
		})
	}
}

func TestParseNumbers(t *testing.T) {
	if got := FormatDeadline(1999 * time.Microsecond); got != "1" {
		t.Errorf("a deadline of 1.999 ms is formatted as %q, not rounded down", got)
	}
	if got := FormatDeadline(-time.Second); got != "0" {
		t.Errorf("a deadline that has passed is formatted as %q", got)
	}
	checks := map[string]struct{ got, want bool }{
		"deadline":           {isOK(ParseDeadline("1500")), true},
		"deadline signed":    {isOK(ParseDeadline("+5")), false},
		"deadline of a year": {isOK(ParseDeadline("31536000000")), false},
		"attempt":            {isOK(ParseAttempt("1")), true},
		"attempt zero":       {isOK(ParseAttempt("0")), false},
		"deepest":            {isOK(ParseDepth("6")), true},
		"too deep":           {isOK(ParseDepth("7")), false},
		"incarnation":        {isOK(ParseIncarnation("18446744073709551615")), true},
		"incarnation zero":   {isOK(ParseIncarnation("0")), false},
	}
	for name, check := range checks {
		if check.got != check.want {
			t.Errorf("%s: accepted = %v, want %v", name, check.got, check.want)
		}
	}
}

func isOK[T any](_ T, ok bool) bool { return ok }

func TestHeaderNamesAreCanonical(t *testing.T) {
	names := []string{
		HeaderDeadline, HeaderAttempt, HeaderDepth, HeaderRequest, HeaderIdempotencyKey, HeaderService,
		HeaderLoad, HeaderIncarnation, HeaderDraining, HeaderRateLimit, HeaderNotRun, HeaderCaller, HeaderOutcome,
		HeaderReason, HeaderRevision, HeaderEntry, HeaderForwarded, HeaderCounted,
	}
	for _, name := range names {
		if canonical := http.CanonicalHeaderKey(name); canonical != name {
			t.Errorf("%q cannot index a header; canonical is %q", name, canonical)
		}
	}
}
