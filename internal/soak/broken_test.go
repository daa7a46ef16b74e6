package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tealhall/tealhall/internal/contract"
	"github.com/tealhall/tealhall/internal/settings"
	"github.com/tealhall/tealhall/internal/standin"
)

// breach is the way in which a broken program breaks a promise. It names the directory of the program,
// by which the test binary knows what to be.
type breach string

const (
	foreignAnswers breach = "foreign-answers"
	unfinishedDone breach = "unfinished-done"
	falseNotRun    breach = "false-not-run"
	runsTwice      breach = "runs-twice"
	cutsOff        breach = "cuts-off"
	staysBehind    breach = "stays-behind"
	goesBack       breach = "goes-back"
	endsByItself   breach = "ends-by-itself"
	servesNothing  breach = "serves-nothing"
)

// The names of the programs that a run starts.
const (
	entryProgram    = "tealhalld"
	endpointProgram = "tealhallstandin"
)

func TestMain(m *testing.M) {
	kind := breach(filepath.Base(filepath.Dir(os.Args[0])))
	switch filepath.Base(os.Args[0]) {
	case endpointProgram:
		os.Exit(brokenEndpoint(kind, os.Args))
	case entryProgram:
		os.Exit(brokenEntry(kind, os.Args))
	}
	code := m.Run()
	if programsDir != "" {
		_ = os.RemoveAll(programsDir)
	}
	os.Exit(code)
}

// programsDir is the directory of the built programs; "" before they are built.
var programsDir string

// argument returns the value of a flag.
func argument(args []string, flag string) string {
	if i := slices.Index(args, flag); i >= 0 && i+1 < len(args) {
		return args[i+1]
	}
	return ""
}

// awaitSignal waits until the process is told to end.
func awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
}

// brokenJournal changes the journal of an endpoint.
type brokenJournal struct {
	kind breach
	out  io.Writer
}

func (j brokenJournal) Write(line []byte) (int, error) {
	event, id, _ := strings.Cut(string(line), " ")
	switch {
	case j.kind == unfinishedDone && event == standin.EventFinished:
		return len(line), nil
	case j.kind == runsTwice && event == standin.EventRan, j.kind == falseNotRun && event == standin.EventArrived:
		fmt.Fprintf(j.out, "%s %s", standin.EventRan, id)
	}
	return j.out.Write(line)
}

// brokenEndpoint is an endpoint that answers wrongly, or whose record contradicts its answers.
func brokenEndpoint(kind breach, args []string) int {
	address := argument(args, "--listen")
	if kind == foreignAnswers {
		go func() {
			_ = http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = standin.WriteAnswer(w, "another", answerBytes)
			}))
		}()
		awaitSignal()
		return 0
	}
	e, err := standin.NewEndpoint(standin.EndpointConfig{
		Listen: address, Name: argument(args, "--name"), Slots: 4, ServiceTime: standin.Constant(5 * time.Millisecond),
		Ledger: standin.NewJournaledLedger(brokenJournal{kind, os.Stdout}),
	})
	if err != nil {
		return 1
	}
	e.SetFaults(standin.EndpointFaults{Shed: kind == falseNotRun})
	awaitSignal()
	return 0
}

// brokenEntry is an entry that serves no requests and lies about the revision that it has in force, or
// ends as it should not.
func brokenEntry(kind breach, args []string) int {
	data, err := os.ReadFile(argument(args, "--config"))
	if err != nil {
		return 1
	}
	s, err := settings.Load(data)
	if err != nil {
		return 1
	}
	const startRevision, lastAnswer = 100, 10
	var asked atomic.Uint64
	ended := make(chan struct{})
	go func() {
		_ = http.ListenAndServe(s.Addresses.Caller, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != contract.HealthPath {
				http.Error(w, "broken", http.StatusServiceUnavailable)
				return
			}
			revision, n := uint64(0), asked.Add(1)
			if kind == goesBack {
				revision = startRevision - n
			}
			if kind == endsByItself && n == lastAnswer {
				close(ended)
			}
			fmt.Fprintf(w, `{"ready":true,"revision":%d}`, revision)
		}))
	}()
	if kind == endsByItself {
		<-ended
		return 0
	}
	awaitSignal()
	if kind == cutsOff {
		return 3
	}
	return 0
}

// realPrograms builds the programs of the product and returns their directory.
var realPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak-programs-")
	if err != nil {
		return "", err
	}
	programsDir = dir
	build := exec.Command("go", "build", "-o", dir, "./cmd/tealhalld", "./cmd/tealhallstandin")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// programsWith returns a directory of programs of which one is broken.
func programsWith(t *testing.T, kind breach, broken string) string {
	t.Helper()
	real, err := realPrograms()
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), string(kind))
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, program := range []string{entryProgram, endpointProgram} {
		target := filepath.Join(real, program)
		if program == broken {
			target = self
		}
		if err := os.Symlink(target, filepath.Join(dir, program)); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Guards against a soak that passes whatever the programs do: each broken program is caught.
func TestBrokenProgramsAreCaught(t *testing.T) {
	for _, c := range []struct {
		kind    breach
		program string
		promise Promise
		faults  []Fault
	}{
		{foreignAnswers, endpointProgram, WholeAnswers, nil},
		{unfinishedDone, endpointProgram, DoneRan, nil},
		{falseNotRun, endpointProgram, NotRunIsTrue, nil},
		{runsTwice, endpointProgram, AtMostOnce, nil},
		{cutsOff, entryProgram, StopsCutNone, []Fault{{Kind: EntryStopped}}},
		{staysBehind, entryProgram, ChangesInForce, []Fault{{Kind: Published}}},
		{goesBack, entryProgram, NeverBack, nil},
		{endsByItself, entryProgram, StaysUp, nil},
		{servesNothing, entryProgram, Recovery, nil},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			t.Parallel()
			cfg := Config{Entries: 2, Endpoints: 2, Programs: programsWith(t, c.kind, c.program), Logs: t.TempDir()}
			report, err := play(t.Context(), cfg, c.faults)
			if err != nil {
				t.Fatal(err)
			}
			if result := report.Results[c.promise]; len(result.Violations) == 0 {
				t.Errorf("not caught in %d checks: %s", result.Checked, c.promise)
			}
		})
	}
}
