package daemon

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/entry"
	"github.com/tealhall/tealhall/internal/settings/certs/certstest"
)

// output is a buffer that several goroutines may write to.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// validSettings needs no other process: nothing listens at the platform's address.
const validSettings = `
name = "entry-1"
region = "local"
failure_domain = "local-a"
[addresses]
caller = "CALLER"
caller_advertised = "127.0.0.1:1"
peer = "127.0.0.1:0"
peer_advertised = "127.0.0.1:2"
admin = "127.0.0.1:0"
[platform]
url = "http://127.0.0.1:1"
`

func writeSettings(t *testing.T, text, caller string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(text, "CALLER", caller)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// tlsSettings returns the TLS settings for the peer, caller and admin interfaces.
func tlsSettings(t *testing.T) string {
	t.Helper()
	authority := certstest.NewAuthority(t)
	certificate, key := authority.Issue(t, "entry-1", "127.0.0.1")
	dir := t.TempDir()
	for name, content := range map[string][]byte{"cert.pem": certificate, "key.pem": key, "ca.pem": authority.PEM} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text := "[tls.peer]\nauthorities = \"DIR/ca.pem\"\n"
	for _, section := range []string{"tls.peer", "tls.caller", "tls.admin"} {
		if section != "tls.peer" {
			text += "[" + section + "]\n"
		}
		text += "certificate = \"DIR/cert.pem\"\nkey = \"DIR/key.pem\"\n"
	}
	return strings.ReplaceAll(text, "DIR", dir)
}

func TestExitCodes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	const anyPort = "127.0.0.1:0"
	valid := writeSettings(t, validSettings, anyPort)
	misspelt := writeSettings(t, strings.Replace(validSettings, "region", "regoin", 1), anyPort)
	withTLS := writeSettings(t, validSettings+tlsSettings(t), anyPort)
	noKey := writeSettings(t, validSettings+"[tls.caller]\ncertificate = \"/none.pem\"\nkey = \"/none.pem\"\n", anyPort)
	cases := []struct {
		name       string
		args       []string
		code       int
		wantOutput string
	}{
		{"no settings", nil, ExitSettings, "--config FILE"},
		{"unknown flag", []string{"--colour"}, ExitSettings, "--help"},
		{"too many arguments", []string{"--config", valid, "start"}, ExitSettings, "--help"},
		{"file missing", []string{"--config", valid + ".old"}, ExitSettings, "readable file"},
		{"only checked", []string{"--config", valid, "--check"}, ExitOK, "the settings of entry-1 are valid"},
		{"misspelt setting", []string{"--config", misspelt, "--check"}, ExitSettings, "regoin: there is no such setting"},
		{"misspelt setting without --check", []string{"--config", misspelt}, ExitSettings, "region: it is required"},
		{"TLS file missing", []string{"--config", noKey, "--check"}, ExitSettings, "/none.pem"},
		{"TLS on every interface", []string{"--config", withTLS}, ExitOK, `"stopped" entry="entry-1"`},
		{"port in use", []string{"--config", writeSettings(t, validSettings, taken.Addr().String())}, ExitFailure, "free the port"},
		{"stopped by a signal", []string{"--config", valid}, ExitOK, `"stopped" entry="entry-1"`},
		{"TLS is off", []string{"--config", valid}, ExitOK, `side="callers"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			signals := make(chan os.Signal, signalBuffer)
			signals <- syscall.SIGTERM
			var out output
			if code := run(c.args, &out, &out, signals); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if c.name == "TLS on every interface" && strings.Contains(out.String(), "TLS is off") {
				t.Errorf("an interface is served without TLS:\n%s", out.String())
			}
			if !strings.Contains(out.String(), c.wantOutput) {
				t.Errorf("output lacks %q:\n%s", c.wantOutput, out.String())
			}
		})
	}
}

// slowEntry is an entry whose stop lasts until its context ends and then cuts off requests.
type slowEntry struct {
	stopping chan struct{}
	failed   chan error
}

func newSlowEntry() *slowEntry {
	return &slowEntry{stopping: make(chan struct{}), failed: make(chan error, 1)}
}

func (*slowEntry) Name() string { return "entry-1" }

func (e *slowEntry) Failed() <-chan error { return e.failed }

func (e *slowEntry) Stop(ctx context.Context) entry.StopSummary {
	close(e.stopping)
	<-ctx.Done()
	return entry.StopSummary{Cut: 2, Took: time.Second}
}

// A second signal, sent by an operator who cannot wait for a long upload, must end the stop at
// once, and the exit code must report that requests were cut off.
func TestSecondSignalEndsStopEarly(t *testing.T) {
	e := newSlowEntry()
	signals := make(chan os.Signal, signalBuffer)
	signals <- syscall.SIGTERM
	go func() {
		<-e.stopping
		signals <- syscall.SIGINT
	}()
	if code := exitCode(runUntilStopped(e, newTestReloader(t), signals)); code != ExitRequestsCutOff {
		t.Errorf("exit code %d, want %d", code, ExitRequestsCutOff)
	}
}

// Guards against a process that keeps running for days after the entry's server has failed: callers
// find the port closed, and a supervisor that restarts ended processes sees no reason to act. The
// daemon must stop with the exit code of a failure.
func TestFailedServerStopsDaemon(t *testing.T) {
	e := newSlowEntry()
	e.failed <- errors.New("accept: too many open files")
	signals := make(chan os.Signal, signalBuffer)
	go func() {
		<-e.stopping
		signals <- syscall.SIGTERM
	}()
	if code := exitCode(runUntilStopped(e, newTestReloader(t), signals)); code != ExitFailure {
		t.Errorf("exit code %d, want %d", code, ExitFailure)
	}
}
