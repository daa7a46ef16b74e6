package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// terms are the figures of a small installation.
const terms = `["seed_lag_s=3","addr_reuse_s=2","stable_window_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","rollback_slack_ms=250","max_skew_ms=5000","retry_budget_ratio=0.2","retry_window_s=10","retry_slack=60","recover_s=15","ttl_max_s=5","probes_per_s=60"]`

// entryProc is a tealhalld process with its settings.
type entryProc struct {
	name, zone                               string
	caller, peer, health, directory, adminAt string
	config, program                          string
	door                                     *door

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	wanted  bool
	log     *bytes.Buffer
	onEnd   func(e *entryProc, err error)
	started time.Time
}

// fleet is a small deployment on loopback.
type fleet struct {
	dir     string
	program string
	store   *store
	ledger  *ledger
	entries []*entryProc
	seeds   []string
}

// network is the first three bytes of the addresses of this run's machines. Runs at the same time
// use different ones, and the ports lie below those that the system gives to outgoing connections.
var network = fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250)

func machine(i, port int) string { return fmt.Sprintf("%s.%d:%d", network, i+1, port) }

// canListen reports whether an address is free.
func canListen(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err == nil {
		l.Close()
	}
	return err == nil
}

func newFleet(n int, zones []string) *fleet {
	dir, err := os.MkdirTemp("", "parts")
	must(err)
	program := os.Getenv("TEALHALLD")
	if program == "" {
		program = "target/tealhalld"
	}
	f := &fleet{dir: dir, program: program, store: newStore(), ledger: newLedger()}
	for i := range n {
		e := &entryProc{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], caller: machine(i, 8381), peer: machine(i, 8382), health: machine(i, 8388),
			directory: machine(i, 8383), adminAt: machine(i, 7200), program: program, door: openDoor(f.store)}
		for _, addr := range []string{e.caller, e.peer, e.health, e.directory, e.adminAt} {
			if !canListen(addr) {
				must(fmt.Errorf("%s is in use", addr))
			}
		}
		e.config = filepath.Join(dir, e.name+".toml")
		f.entries = append(f.entries, e)
		if i < 3 {
			f.seeds = append(f.seeds, e.peer)
		}
	}
	return f
}

// settings fills the project's template as the platform would.
func (f *fleet) settings(e *entryProc, first bool) string {
	template, err := os.ReadFile("deploy/entry.toml")
	must(err)
	text := string(template)
	text = text[:strings.Index(text, "terms = ")] + "terms = " + terms + text[strings.Index(text, "\n\n[peers]"):]
	quoted := make([]string, len(f.seeds))
	for i, s := range f.seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	return strings.NewReplacer(
		"{{node_name}}", e.name, "{{region}}", "r", "{{zone}}", e.zone,
		"{{listen.front}}", e.caller, "{{listen.control}}", e.peer, "{{listen.ready}}", e.health, "{{listen.directory}}", e.directory,
		"{{ip}}:{{internal_ports.0}}", e.adminAt, "{{platform.addr}}", e.door.addr, "{{bootstrap}}", fmt.Sprint(first),
		"{{seeds|json}}", "["+strings.Join(quoted, ",")+"]",
		"{{limits.cpu_share}}", "0.32", "{{limits.link_mbps}}", "1000", "{{limits.memory_mb}}", "284",
	).Replace(text)
}

func (f *fleet) start(e *entryProc, first bool) {
	must(os.WriteFile(e.config, []byte(f.settings(e, first)), 0o644))
	cmd := exec.Command(e.program, "--config", e.config)
	log := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	ended := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.ended, e.wanted, e.log, e.started = cmd, ended, false, log, time.Now()
	e.mu.Unlock()
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		wanted := e.wanted
		e.mu.Unlock()
		if strings.Contains(log.String(), "DATA RACE") || strings.Contains(log.String(), "panic") || !wanted {
			f.ledger.note("ENTRY %s ended: %v wanted %v", e.name, err, wanted)
			os.WriteFile(filepath.Join(os.TempDir(), fmt.Sprintf("entry-%s-%d.log", e.name, time.Now().UnixNano())), log.Bytes(), 0o644)
		}
		close(ended)
	}()
}

// signal sends a signal to the entry's process; a planned end is not a crash.
func (e *entryProc) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.wanted = true
	}
	e.cmd.Process.Signal(s)
}

// await waits for the end of the process and kills it after grace.
func (e *entryProc) await(grace time.Duration) (killed bool) {
	select {
	case <-e.ended:
		return false
	case <-time.After(grace):
		e.signal(syscall.SIGKILL)
		<-e.ended
		return true
	}
}

func (e *entryProc) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + e.health + "/-/ready")
	if err != nil {
		return false
	}
	io.Copy(io.Discard, r.Body)
	r.Body.Close()
	return r.StatusCode == 200
}

func (f *fleet) startAll() {
	for _, e := range f.entries {
		f.start(e, true)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range f.entries {
		for !e.ready() {
			if time.Now().After(deadline) {
				fmt.Println(e.log.String())
				must(fmt.Errorf("%s is not ready", e.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (f *fleet) stopAll() {
	for _, e := range f.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
	}
	for _, e := range f.entries {
		<-e.ended
	}
	os.RemoveAll(f.dir)
}
