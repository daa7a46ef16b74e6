package daemon

import (
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/settings"
)

// seedRecorder records the seeds passed to SetSeeds.
type seedRecorder struct{ seeds []string }

func (s *seedRecorder) SetSeeds(seeds []string) { s.seeds = seeds }

// newTestReloader returns a reloader for a new file with validSettings.
func newTestReloader(t *testing.T) *reloader {
	path := writeSettings(t, validSettings, "127.0.0.1:0")
	inForce, err := readSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	return newReloader(path, &seedRecorder{}, inForce)
}

func rewrite(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// An operator changes the seeds of a running entry and first writes invalid settings. The entry
// must keep its seeds until the file is valid and then apply the new ones; SIGHUP must not stop it.
func TestReloadAppliesOnlyValidSettings(t *testing.T) {
	r := newTestReloader(t)
	e := r.entry.(*seedRecorder)
	good := strings.ReplaceAll(validSettings, "CALLER", "127.0.0.1:0")
	steps := []struct {
		name, text string
		seeds      []string
	}{
		{"invalid", good + "[peers]\nseeds = [\"nowhere\"]\n", nil},
		{"valid", good + "[peers]\nseeds = [\"10.0.0.9:7070\"]\n", []string{"10.0.0.9:7070"}},
		{"truncated", good[:40], []string{"10.0.0.9:7070"}},
	}
	for _, step := range steps {
		rewrite(t, r.path, step.text)
		r.poll()
		if !slices.Equal(e.seeds, step.seeds) {
			t.Errorf("%s: seeds %v, want %v", step.name, e.seeds, step.seeds)
		}
	}
	rewrite(t, r.path, good+"[peers]\nseeds = [\"10.0.0.8:7070\"]\n")
	signals := make(chan os.Signal, signalBuffer)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	stopped := newSlowEntry()
	signals <- syscall.SIGINT // ends the stop of the slow entry
	if code := exitCode(runUntilStopped(stopped, r, signals)); code != ExitRequestsCutOff {
		t.Errorf("exit code %d after SIGHUP and SIGTERM", code)
	}
	if !slices.Equal(e.seeds, []string{"10.0.0.8:7070"}) {
		t.Errorf("seeds %v after SIGHUP", e.seeds)
	}
}

func TestInvalidTermsAreRefused(t *testing.T) {
	path := writeSettings(t, strings.Replace(validSettings, "[platform]", "[platform]\nterms = [\"drain_ms=soon\", \"unknown=7\"]", 1), "127.0.0.1:0")
	_, err := readSettings(path)
	if fault.KindOf(err) != fault.BadSettings || !strings.Contains(err.Error(), "drain_ms=soon") || strings.Contains(err.Error(), "unknown") {
		t.Errorf("got %v", err)
	}
	path = writeSettings(t, strings.Replace(validSettings, "[platform]", "[routes]\nprofiles = \"absent.toml\"\n[platform]\nprotocol = \"store\"\nterms = [\"drain_ms=soon\"]", 1), "127.0.0.1:0")
	_, err = readSettings(path)
	if exitCode(err) != ExitSettings || !strings.Contains(err.Error(), "drain_ms=soon") || !strings.Contains(err.Error(), "absent.toml") {
		t.Errorf("invalid terms and missing profiles: exit code %d, %v", exitCode(err), err)
	}
	if _, err := settings.Load(nil); fault.KindOf(err) != fault.BadSettings {
		t.Errorf("empty settings: %v", err)
	}
}
