package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// bounds are the bounds of the small sites.
var bounds = []string{
	"seed_lag_s=3", "addr_reuse_s=2", "stable_window_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=6",
	"loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250", "max_skew_ms=5000", "retry_budget_ratio=0.2",
	"retry_window_s=10", "retry_slack=58", "recover_s=15", "ttl_max_s=5", "probes_per_s=60",
}

// entryProcess is one process of the system.
type entryProcess struct {
	name, zone, ip                   string
	front, ready, control, directory string
	internalPort                     string
	settings                         string
	logFile                          string
	cmd                              *exec.Cmd
}

// fleet is the system's processes on loopback addresses.
type fleet struct {
	dir, platform, template string
	entries                 []*entryProcess
}

// ownIP returns a loopback address that other runs do not use at the same time.
func ownIP(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, host)
}

// freePorts returns as many ports that are free at an address.
func freePorts(ip string, n int) []string {
	var ports []string
	for port := 8381; len(ports) < n; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		l.Close()
		ports = append(ports, strconv.Itoa(port))
	}
	return ports
}

func newFleet(dir, platform string, zones ...string) (*fleet, error) {
	template, err := os.ReadFile("deploy/entry.toml")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, platform: platform, template: string(template)}
	for n, zone := range zones {
		ip := ownIP(n + 1)
		ports := freePorts(ip, 5)
		f.entries = append(f.entries, &entryProcess{
			name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: ip,
			front: ip + ":" + ports[0], control: ip + ":" + ports[1], directory: ip + ":" + ports[2], ready: ip + ":" + ports[3], internalPort: ports[4],
		})
	}
	return f, nil
}

var section = regexp.MustCompile(`\{\{#bounds\}\}.*\{\{/bounds\}\}`)

// fill fills in the template of the settings as the platform does.
func (f *fleet) fill(e *entryProcess, first bool) string {
	var seeds, terms []string
	for _, other := range f.entries[:min(3, len(f.entries))] {
		seeds = append(seeds, other.control)
	}
	for _, b := range bounds {
		terms = append(terms, `"`+b+`"`)
	}
	encoded, _ := json.Marshal(seeds)
	text := section.ReplaceAllString(f.template, strings.Join(terms, ","))
	return strings.NewReplacer(
		"{{node_name}}", e.name, "{{region}}", "mx-bajio", "{{zone}}", e.zone, "{{listen.front}}", e.front, "{{listen.control}}", e.control,
		"{{listen.ready}}", e.ready, "{{listen.directory}}", e.directory, "{{ip}}", e.ip, "{{internal_ports.0}}", e.internalPort,
		"{{platform.addr}}", f.platform, "{{bootstrap}}", fmt.Sprint(first), "{{seeds|json}}", string(encoded),
		"{{limits.cpu_share}}", "0.32", "{{limits.link_mbps}}", "1000.0", "{{limits.memory_mb}}", "284",
	).Replace(text)
}

// start starts the process of an entry with the command of the deploy file.
func (f *fleet) start(e *entryProcess, first bool) error {
	e.settings = filepath.Join(f.dir, e.name+".toml")
	if err := os.WriteFile(e.settings, []byte(f.fill(e, first)), 0o644); err != nil {
		return err
	}
	e.logFile = filepath.Join(f.dir, e.name+".log")
	out, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd = exec.Command("target/tealhalld", "--config", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	e.cmd.Env = append(os.Environ(), "TEALHALL_SETTINGS="+e.settings)
	// The process ends with this one, however this one ends.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return e.cmd.Start()
}

func (f *fleet) startAll(first bool) error {
	for _, e := range f.entries {
		if err := f.start(e, first); err != nil {
			return err
		}
	}
	return nil
}

// kill ends an entry's process at once and waits for its end.
func (e *entryProcess) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	e.cmd.Process.Signal(syscall.SIGKILL)
	e.cmd.Wait()
	e.cmd = nil
}

func (f *fleet) killAll() {
	for _, e := range f.entries {
		if e.cmd != nil {
			e.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, e := range f.entries {
		e.kill()
	}
}

func (e *entryProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range f.entries {
		for !e.isReady() {
			if time.Now().After(end) {
				return errors.New(e.name + " did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
