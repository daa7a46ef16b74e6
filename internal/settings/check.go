package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/tealhall/tealhall/internal/core/balance"
)

// checker collects the problems of one document.
type checker struct {
	problems []Problem
}

func (c *checker) report(field, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// check returns the problems of the values. The problems have no line numbers.
func check(s *Settings) []Problem {
	var c checker
	c.checkIdentity(s)
	c.checkAddresses(&s.Addresses)
	c.checkPlatform(&s.Platform)
	c.checkPeers(&s.Peers)
	c.checkTLS(&s.TLS)
	c.checkLimits(&s.Limits)
	c.checkTimeouts(&s.Timeouts)
	c.checkInt("audit.records", s.Audit.Records, 16, 1_000_000)
	c.checkInt("log.verbosity", s.Log.Verbosity, 0, 5)
	if s.Log.Format != TextLog && s.Log.Format != JSONLog {
		c.report("log.format", `write "text" or "json"`, "there is no format %q", s.Log.Format)
	}
	c.checkInt("log.lines_per_second", s.Log.LinesPerSecond, 1, 1_000_000)
	c.checkInt("log.bytes_per_second", s.Log.BytesPerSecond, 1000, 1_000_000_000)
	c.checkPolicy(s.Balance.Policy)
	if s.Platform.Protocol == StoreProtocol && s.Routes.Profiles == "" {
		c.report("routes.profiles", "name the file with profiles and traffic rules", `it is required with platform.protocol = "store"`)
	}
	return c.problems
}

const maxNameBytes = 64

func (c *checker) checkIdentity(s *Settings) {
	c.checkName("name", s.Name)
	c.checkName("region", s.Region)
	c.checkName("failure_domain", s.FailureDomain)
}

func (c *checker) checkName(field, value string) {
	if value == "" {
		c.report(field, "set it", "it is required")
		return
	}
	allowed := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r)
	}
	disallowed := func(r rune) bool { return !allowed(r) }
	if len(value) > maxNameBytes || strings.ContainsFunc(value, disallowed) {
		c.report(field, fmt.Sprintf("use at most %d letters, digits, '-', '_' and '.'", maxNameBytes), "%q is not a valid name", value)
	}
}

func (c *checker) checkAddresses(a *Addresses) {
	c.checkListen("addresses.caller", a.Caller)
	c.checkListen("addresses.peer", a.Peer)
	c.checkListen("addresses.admin", a.Admin)
	c.checkAdvertised("addresses.caller_advertised", a.CallerAdvertised, "addresses.caller", a.Caller)
	c.checkAdvertised("addresses.peer_advertised", a.PeerAdvertised, "addresses.peer", a.Peer)
	c.checkOptional("addresses.health", a.Health)
	c.checkOptional("addresses.directory", a.Directory)
	c.checkDistinct("addresses.peer", a.Peer, "addresses.caller", a.Caller)
	c.checkDistinct("addresses.admin", a.Admin, "addresses.caller", a.Caller)
	c.checkDistinct("addresses.admin", a.Admin, "addresses.peer", a.Peer)
}

const addressRemedy = "write IP:port, for example 10.0.0.7:8080 or [2001:db8::7]:8080"

func (c *checker) parseAddress(field, value string) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		c.report(field, addressRemedy, "%q is not a valid address", value)
		return parsed, false
	}
	return parsed, true
}

func (c *checker) checkListen(field, value string) {
	if value == "" {
		c.report(field, addressRemedy, "it is required")
		return
	}
	c.parseAddress(field, value)
}

// checkOptional checks an address that may be empty.
func (c *checker) checkOptional(field, value string) {
	if value != "" {
		c.parseAddress(field, value)
	}
}

// checkAdvertised checks an address that callers or peers dial, which must contain a specific IP
// address and port. If it is empty, the listen address is advertised and must meet the same
// condition.
func (c *checker) checkAdvertised(field, value, listenField, listen string) {
	if value != "" {
		if parsed, ok := c.parseAddress(field, value); ok && !dialable(parsed) {
			c.report(field, "give the IP address and port of this VM", "other VMs cannot dial %s", value)
		}
		return
	}
	if parsed, err := netip.ParseAddrPort(listen); err == nil && !dialable(parsed) {
		c.report(field, fmt.Sprintf("set it, or give a specific IP address and port in %s", listenField),
			"other VMs cannot dial %s, the value of %s", listen, listenField)
	}
}

func dialable(a netip.AddrPort) bool {
	return !a.Addr().IsUnspecified() && a.Port() != 0
}

func (c *checker) checkDistinct(field, value, otherField, other string) {
	parsed, err := netip.ParseAddrPort(value)
	if err == nil && value == other && parsed.Port() != 0 {
		c.report(field, "use another port", "%s is also the value of %s", value, otherField)
	}
}

func (c *checker) checkPlatform(p *Platform) {
	if p.URL == "" {
		c.report("platform.url", "set the base URL of the configuration service", "it is required")
	} else if u, err := url.Parse(p.URL); err != nil || u.Host == "" || !slices.Contains([]string{"http", "https"}, u.Scheme) {
		c.report("platform.url", "write http://HOST:PORT or https://HOST:PORT", "%q is not a valid base URL", p.URL)
	}
	if !(p.CallsPerSecond >= 0.1 && p.CallsPerSecond <= 100) { // also rejects NaN
		c.report("platform.calls_per_second", "give a number from 0.1 to 100", "%v is out of range", p.CallsPerSecond)
	}
	c.checkDuration("platform.timeout", p.Timeout, 100*time.Millisecond, time.Minute)
	c.checkDuration("platform.watch", p.Watch, time.Second, 10*time.Minute)
	if !slices.Contains([]string{ValuesProtocol, StoreProtocol}, p.Protocol) {
		c.report("platform.protocol", `write "values" or "store"`, "there is no protocol %q", p.Protocol)
	}
	c.checkInt("platform.readers_per_domain", p.ReadersPerDomain, 1, 1000)
	c.checkDuration("platform.check_every", p.CheckEvery, time.Second, time.Hour)
	c.checkDuration("platform.news_gap", p.ChangeGap, 0, 10*time.Second)
	c.checkDuration("platform.glance_every", p.LivenessEvery, 0, 30*time.Second)
	c.checkDuration("platform.missing_after", p.MissingAfter, time.Millisecond, 24*time.Hour)
	c.checkDuration("platform.keep_last", p.KeepLast, time.Millisecond, 30*24*time.Hour)
}

func (c *checker) checkPeers(p *Peers) {
	for _, seed := range p.Seeds {
		if parsed, ok := c.parseAddress("peers.seeds", seed); ok && !dialable(parsed) {
			c.report("peers.seeds", "give the IP address and port of a peer", "%s cannot be dialled", seed)
		}
	}
	c.checkDuration("peers.heartbeat", p.Heartbeat, 100*time.Millisecond, 30*time.Second)
	c.checkDuration("peers.call_timeout", p.CallTimeout, 100*time.Millisecond, time.Minute)
	c.checkInt("peers.bytes_per_second", p.BytesPerSecond, 1000, 100_000_000)
	c.checkInt("peers.connections", p.Connections, 2, 10_000)
}

func (c *checker) checkTLS(t *TLS) {
	c.checkKeyPair("tls.caller", t.Caller.Certificate, t.Caller.Key)
	c.checkKeyPair("tls.admin", t.Admin.Certificate, t.Admin.Key)
	c.checkKeyPair("tls.peer", t.Peer.Certificate, t.Peer.Key)
	if t.Peer.Certificate != "" && t.Peer.Authorities == "" {
		c.report("tls.peer.authorities", "name the file with the authorities that sign peers' certificates", "it is required with tls.peer.certificate")
	}
	if t.Peer.Certificate == "" && (t.Peer.Authorities != "" || t.Peer.ServerName != "") {
		c.report("tls.peer.certificate", "name the certificate file, or remove all of tls.peer", "it is missing while other files of tls.peer are set")
	}
	if t.Caller.Certificate == "" && (t.Caller.Authorities != "" || t.Caller.ServerName != "") {
		c.report("tls.caller.certificate", "name the certificate file, or remove all of tls.caller", "it is missing while other files of tls.caller are set")
	}
	c.checkDuration("tls.poll", t.Poll, 100*time.Millisecond, time.Hour)
}

func (c *checker) checkKeyPair(table, certificate, key string) {
	if certificate != "" && key == "" {
		c.report(table+".key", "name the file of the private key", "it is required with %s.certificate", table)
	}
	if certificate == "" && key != "" {
		c.report(table+".certificate", "name the certificate file, or remove the key", "it is required with %s.key", table)
	}
}

func (c *checker) checkLimits(l *Limits) {
	c.checkInt("limits.in_flight_requests", l.InFlightRequests, 1, 1_000_000)
	c.checkInt("limits.header_bytes", l.HeaderBytes, 4<<10, 1<<20)
	c.checkInt("limits.replay_body_bytes", l.ReplayBodyBytes, 0, 16<<20)
	c.checkInt("limits.connections_per_endpoint", l.ConnectionsPerEndpoint, 1, 1000)
	c.checkInt("limits.keys", l.Keys, 1, 10_000_000)
	c.checkInt("limits.key_answer_bytes", l.KeyAnswerBytes, 0, 1<<20)
	c.checkInt("limits.key_table_bytes", l.KeyTableBytes, 0, 1<<30)
	c.checkInt("limits.largest_fleet", l.LargestFleet, 1, 1000)
	c.checkFloat("limits.cores", l.Cores, 1024)
	c.checkFloat("limits.repeat_share", l.RepeatShare, 1)
	c.checkFloat("limits.repeat_slack", l.RepeatSlack, 1e6)
	c.checkFloat("limits.looks_per_endpoint", l.LoadProbesPerEndpoint, 1e6)
	c.checkFloat("limits.warmup_over", l.WarmupOver, 100)
	c.checkFloat("limits.warmup_slack", l.WarmupSlack, 1e6)
	c.checkInt("limits.heap_growth", l.HeapGrowth, 10, 10_000)
	c.checkFloat("limits.link_mbps", l.LinkMbps, 1e6)
	c.checkFloat("limits.memory_mb", l.MemoryMB, 1e6)
	c.checkInt("limits.descriptors", l.Descriptors, 0, 10_000_000)
	c.checkFloat("limits.request_share", l.RequestShare, 0.5)
	c.checkFloat("limits.held_share", l.HeldShare, 0.5)
	c.checkInt("limits.held_answer_bytes", l.HeldAnswerBytes, 0, 1<<30)
	c.checkDuration("limits.repeat_window", l.RepeatWindow, time.Second, time.Hour)
	if l.KeyAnswerBytes > l.KeyTableBytes {
		c.report("limits.key_answer_bytes", "lower it or raise limits.key_table_bytes",
			"%d is more than limits.key_table_bytes (%d)", l.KeyAnswerBytes, l.KeyTableBytes)
	}
}

func (c *checker) checkTimeouts(t *Timeouts) {
	c.checkDuration("timeouts.header", t.Header, 100*time.Millisecond, time.Minute)
	c.checkDuration("timeouts.idle", t.Idle, time.Second, time.Hour)
	c.checkDuration("timeouts.connect", t.Connect, 10*time.Millisecond, 30*time.Second)
	c.checkDuration("timeouts.silence", t.Silence, 100*time.Millisecond, 5*time.Minute)
	c.checkDuration("timeouts.endpoint_idle", t.EndpointIdle, 100*time.Millisecond, time.Hour)
	c.checkDuration("timeouts.stop_serve", t.StopServe, 0, time.Hour)
	c.checkDuration("timeouts.answers_ttl", t.AnswersTTL, 100*time.Millisecond, 10*time.Minute)
	c.checkDuration("timeouts.stop_grace", t.StopGrace, time.Second, time.Hour)
	c.checkDuration("timeouts.stop_upload", t.StopUpload, time.Second, 24*time.Hour)
	if t.StopWithin.Duration != 0 {
		c.checkDuration("timeouts.stop_within", t.StopWithin, time.Second, 48*time.Hour)
	}
	if t.StopUpload.Duration < t.StopGrace.Duration {
		c.report("timeouts.stop_upload", "raise it or lower timeouts.stop_grace",
			"%s is less than timeouts.stop_grace (%s)", t.StopUpload, t.StopGrace)
	}
}

func (c *checker) checkInt(field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		c.report(field, fmt.Sprintf("give a whole number from %d to %d", lowest, highest), "%d is out of range", value)
	}
}

func (c *checker) checkFloat(field string, value, highest float64) {
	if !(value >= 0 && value <= highest) { // also rejects NaN
		c.report(field, fmt.Sprintf("give a number from 0 to %g", highest), "%v is out of range", value)
	}
}

func (c *checker) checkDuration(field string, value Duration, shortest, longest time.Duration) {
	if value.Duration < shortest || value.Duration > longest {
		c.report(field, fmt.Sprintf("give a duration from %s to %s", shortest, longest), "%s is out of range", value)
	}
}

func (c *checker) checkPolicy(name string) {
	if name == "" || slices.Contains(balance.Policies(), name) {
		return
	}
	c.report("balance.policy", "use one of: "+strings.Join(balance.Policies(), ", "), "there is no policy %q", name)
}
