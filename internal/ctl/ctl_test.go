package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rcrowley/go-metrics"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/admin/admintest"
	"github.com/tealhall/tealhall/internal/audit"
)

// startSampleEntry serves the admin interface with sample data and returns its address.
func startSampleEntry(t *testing.T) string {
	t.Helper()
	trail := audit.New(2, func() time.Time { return admintest.Wall }, nil)
	trail.Add(audit.Record{Actor: "self", Subject: "entry entry-1", Action: "ready"})
	trail.Add(audit.Record{Actor: "platform", Subject: "profiles", Action: "accepted", From: "revision 41", To: "revision 42", Revision: 42})
	trail.Add(audit.Record{Actor: "self", Subject: "endpoint waste-2", Action: "ejected", Why: "40 % of its answers failed\x1b[2J\nline 2"})
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.done", registry).Inc(3)
	server := httptest.NewServer(admin.NewHandler(admintest.Sample{}, trail, registry))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// runCommand runs a command line and returns its output, its error and its exit code as text.
func runCommand(ctx context.Context, args []string) string {
	var out, errOut bytes.Buffer
	cmd := NewCommand(&out, &errOut)
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(ctx)
	text := out.String() + errOut.String()
	if err != nil {
		text += fmt.Sprintf("error: %v\n", err)
	}
	return text + fmt.Sprintf("exit %d\n", ExitCode(err))
}

// TestCommands runs the command lines in testdata/commands. ADMIN stands for the address of the
// sample entry, DOWN for an address where nothing listens and OTHER for the address of a server
// that is not an entry. "ends" shows only the first and the last lines of the output.
func TestCommands(t *testing.T) {
	address := startSampleEntry(t)
	notAnEntry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != admin.EntriesPath {
			w.WriteHeader(http.StatusBadGateway)
		}
		fmt.Fprint(w, "<html>")
	}))
	defer notAnEntry.Close()
	names := strings.NewReplacer("ADMIN", address, "OTHER", notAnEntry.Listener.Addr().String(), "DOWN", "127.0.0.1:1")
	datadriven.RunTest(t, "testdata/commands", func(t *testing.T, d *datadriven.TestData) string {
		var text string
		for line := range strings.Lines(d.Input) {
			text += runCommand(context.Background(), strings.Fields(names.Replace(line)))
		}
		if d.Cmd == "ends" {
			lines := strings.SplitAfter(text, "\n")
			text = strings.Join(lines[:4], "") + "...\n" + strings.Join(lines[len(lines)-5:], "")
		}
		text = strings.ReplaceAll(text, address, "ADMIN")
		return strings.ReplaceAll(text, notAnEntry.Listener.Addr().String(), "OTHER")
	})
}

// lineWriter sends each write to a channel.
type lineWriter chan string

func (w lineWriter) Write(b []byte) (int, error) {
	w <- string(b)
	return len(b), nil
}

func TestAuditFollowExitCode(t *testing.T) {
	trail := audit.New(4, func() time.Time { return admintest.Wall }, nil)
	trail.Add(audit.Record{Actor: "self", Subject: "mode", Action: "switch"})
	server := httptest.NewServer(admin.NewHandler(admintest.Sample{}, trail, metrics.NewRegistry()))
	defer server.Close()
	cases := []struct {
		name string
		end  func(cancel context.CancelFunc)
		exit int
	}{
		{"ended by the operator", func(cancel context.CancelFunc) { cancel() }, ExitOK},
		{"ended by the entry", func(context.CancelFunc) { server.CloseClientConnections() }, ExitFailure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			out := make(lineWriter)
			ended := make(chan error, 1)
			cmd := NewCommand(out, out)
			cmd.SetArgs([]string{"audit", "--follow", "--admin", server.URL})
			go func() { ended <- cmd.ExecuteContext(ctx) }()
			if line := <-out; !strings.Contains(line, "#1  self: mode switch") {
				t.Errorf("first record: %q", line)
			}
			c.end(cancel)
			if err := <-ended; ExitCode(err) != c.exit {
				t.Errorf("the command returned the error %v", err)
			}
		})
	}
}

// In a fleet of hundreds of entries, an entry hears the revisions of its neighbours only. The other
// entries must not be shown with revision "none", as if they had lost their profiles.
func TestUnreportedRevisionIsNotShownAsNone(t *testing.T) {
	for _, c := range []struct {
		entry    admin.EntryView
		revision uint64
		want     string
	}{
		{admin.EntryView{Self: true}, 0, "none"},
		{admin.EntryView{Self: true}, 7, "7"},
		{admin.EntryView{}, 7, "7"},
		{admin.EntryView{}, 0, "not reported"},
	} {
		if got := reportedRevision(&c.entry, c.revision); got != c.want {
			t.Errorf("self %v, revision %d: %q, want %q", c.entry.Self, c.revision, got, c.want)
		}
	}
}
