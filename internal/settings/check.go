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

func (c *checker) add(field, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{Field: field, What: fmt.Sprintf(format, args...), Remedy: remedy})
}

// check returns what is wrong with the values, without lines.
func check(s *Settings) []Problem {
	var c checker
	c.identity(s)
	c.addresses(&s.Addresses)
	c.platform(&s.Platform)
	c.peers(&s.Peers)
	c.tls(&s.TLS)
	c.limits(&s.Limits)
	c.timeouts(&s.Timeouts)
	c.inside("audit.records", s.Audit.Records, 16, 1_000_000)
	c.inside("log.verbosity", s.Log.Verbosity, 0, 5)
	if s.Log.Format != TextLog && s.Log.Format != JSONLog {
		c.add("log.format", `write "text" or "json"`, "there is no format %q", s.Log.Format)
	}
	c.inside("log.lines_per_second", s.Log.LinesPerSecond, 1, 1_000_000)
	c.inside("log.bytes_per_second", s.Log.BytesPerSecond, 1000, 1_000_000_000)
	c.policy(s.Balance.Policy)
	if s.Platform.Protocol == StoreProtocol && s.Routes.Profiles == "" {
		c.add("routes.profiles", "name the file with profiles and traffic rules", `it is required with platform.protocol = "store"`)
	}
	return c.problems
}

const maxNameBytes = 64

func (c *checker) identity(s *Settings) {
	c.name("name", s.Name)
	c.name("region", s.Region)
	c.name("failure_domain", s.FailureDomain)
}

func (c *checker) name(field, value string) {
	if value == "" {
		c.add(field, "set it", "it is required")
		return
	}
	plain := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r)
	}
	other := func(r rune) bool { return !plain(r) }
	if len(value) > maxNameBytes || strings.ContainsFunc(value, other) {
		c.add(field, fmt.Sprintf("use at most %d letters, digits, '-', '_' and '.'", maxNameBytes), "%q is no usable name", value)
	}
}

func (c *checker) addresses(a *Addresses) {
	c.listen("addresses.caller", a.Caller)
	c.listen("addresses.peer", a.Peer)
	c.listen("addresses.admin", a.Admin)
	c.advertised("addresses.caller_advertised", a.CallerAdvertised, "addresses.caller", a.Caller)
	c.advertised("addresses.peer_advertised", a.PeerAdvertised, "addresses.peer", a.Peer)
	c.optional("addresses.health", a.Health)
	c.optional("addresses.directory", a.Directory)
	c.distinct("addresses.peer", a.Peer, "addresses.caller", a.Caller)
	c.distinct("addresses.admin", a.Admin, "addresses.caller", a.Caller)
	c.distinct("addresses.admin", a.Admin, "addresses.peer", a.Peer)
}

const addressRemedy = "write IP:port, for example 10.0.0.7:8080 or [2001:db8::7]:8080"

func (c *checker) address(field, value string) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(field, addressRemedy, "%q is no address", value)
		return parsed, false
	}
	return parsed, true
}

func (c *checker) listen(field, value string) {
	if value == "" {
		c.add(field, addressRemedy, "it is required")
		return
	}
	c.address(field, value)
}

// optional checks an address that may be left out.
func (c *checker) optional(field, value string) {
	if value != "" {
		c.address(field, value)
	}
}

// advertised checks an address that others dial: it must name one VM and port.
func (c *checker) advertised(field, value, listenField, listen string) {
	if value != "" {
		if parsed, ok := c.address(field, value); ok && !dialable(parsed) {
			c.add(field, "give the IP number and port of this VM", "others cannot dial %s", value)
		}
		return
	}
	if parsed, err := netip.ParseAddrPort(listen); err == nil && !dialable(parsed) {
		c.add(field, fmt.Sprintf("set it, or let %s name one IP number and port", listenField),
			"others cannot dial %s, which %s names", listen, listenField)
	}
}

func dialable(a netip.AddrPort) bool {
	return !a.Addr().IsUnspecified() && a.Port() != 0
}

func (c *checker) distinct(field, value, otherField, other string) {
	parsed, err := netip.ParseAddrPort(value)
	if err == nil && value == other && parsed.Port() != 0 {
		c.add(field, "use another port", "%s is also the value of %s", value, otherField)
	}
}

func (c *checker) platform(p *Platform) {
	if p.URL == "" {
		c.add("platform.url", "set the base URL of the configuration service", "it is required")
	} else if u, err := url.Parse(p.URL); err != nil || u.Host == "" || !slices.Contains([]string{"http", "https"}, u.Scheme) {
		c.add("platform.url", "write http://HOST:PORT or https://HOST:PORT", "%q is no base URL", p.URL)
	}
	if !(p.CallsPerSecond >= 0.1 && p.CallsPerSecond <= 100) { // also refuses NaN
		c.add("platform.calls_per_second", "give a number from 0.1 to 100", "%v is out of range", p.CallsPerSecond)
	}
	c.span("platform.timeout", p.Timeout, 100*time.Millisecond, time.Minute)
	c.span("platform.watch", p.Watch, time.Second, 10*time.Minute)
	if !slices.Contains([]string{OwnProtocol, StoreProtocol}, p.Protocol) {
		c.add("platform.protocol", `write "values" or "store"`, "there is no protocol %q", p.Protocol)
	}
	c.inside("platform.readers_per_domain", p.ReadersPerDomain, 1, 1000)
	c.span("platform.check_every", p.CheckEvery, time.Second, time.Hour)
	c.span("platform.news_gap", p.ChangeGap, 0, 10*time.Second)
	c.span("platform.glance_every", p.LivenessEvery, 0, 30*time.Second)
	c.span("platform.missing_after", p.MissingAfter, time.Millisecond, 24*time.Hour)
	c.span("platform.keep_last", p.KeepLast, time.Millisecond, 30*24*time.Hour)
}

func (c *checker) peers(p *Peers) {
	for _, seed := range p.Seeds {
		if parsed, ok := c.address("peers.seeds", seed); ok && !dialable(parsed) {
			c.add("peers.seeds", "give the IP number and port of a peer", "%s cannot be dialled", seed)
		}
	}
	c.span("peers.heartbeat", p.Heartbeat, 100*time.Millisecond, 30*time.Second)
	c.span("peers.call_timeout", p.CallTimeout, 100*time.Millisecond, time.Minute)
	c.inside("peers.bytes_per_second", p.BytesPerSecond, 1000, 100_000_000)
	c.inside("peers.connections", p.Connections, 2, 10_000)
}

func (c *checker) tls(t *TLS) {
	c.pair("tls.caller", t.Caller.Certificate, t.Caller.Key)
	c.pair("tls.admin", t.Admin.Certificate, t.Admin.Key)
	c.pair("tls.peer", t.Peer.Certificate, t.Peer.Key)
	if t.Peer.Certificate != "" && t.Peer.Authorities == "" {
		c.add("tls.peer.authorities", "name the file with the authorities that sign peers' certificates", "it is required with tls.peer.certificate")
	}
	if t.Peer.Certificate == "" && (t.Peer.Authorities != "" || t.Peer.ServerName != "") {
		c.add("tls.peer.certificate", "name the certificate file, or remove all of tls.peer", "it is missing while other files of tls.peer are set")
	}
	if t.Caller.Certificate == "" && (t.Caller.Authorities != "" || t.Caller.ServerName != "") {
		c.add("tls.caller.certificate", "name the certificate file, or remove all of tls.caller", "it is missing while other files of tls.caller are set")
	}
	c.span("tls.poll", t.Poll, 100*time.Millisecond, time.Hour)
}

func (c *checker) pair(table, certificate, key string) {
	if certificate != "" && key == "" {
		c.add(table+".key", "name the file of the private key", "it is required with %s.certificate", table)
	}
	if certificate == "" && key != "" {
		c.add(table+".certificate", "name the certificate file, or remove the key", "it is required with %s.key", table)
	}
}

func (c *checker) limits(l *Limits) {
	c.inside("limits.in_flight_requests", l.InFlightRequests, 1, 1_000_000)
	c.inside("limits.header_bytes", l.HeaderBytes, 4<<10, 1<<20)
	c.inside("limits.replay_body_bytes", l.ReplayBodyBytes, 0, 16<<20)
	c.inside("limits.connections_per_endpoint", l.ConnectionsPerEndpoint, 1, 1000)
	c.inside("limits.keys", l.Keys, 1, 10_000_000)
	c.inside("limits.key_answer_bytes", l.KeyAnswerBytes, 0, 1<<20)
	c.inside("limits.key_table_bytes", l.KeyTableBytes, 0, 1<<30)
	c.inside("limits.largest_fleet", l.LargestFleet, 1, 1000)
	c.share("limits.cores", l.Cores, 1024)
	c.share("limits.repeat_share", l.RepeatShare, 1)
	c.share("limits.repeat_slack", l.RepeatSlack, 1e6)
	c.share("limits.looks_per_endpoint", l.LoadProbesPerEndpoint, 1e6)
	c.share("limits.warmup_over", l.WarmupOver, 100)
	c.share("limits.warmup_slack", l.WarmupSlack, 1e6)
	c.inside("limits.heap_growth", l.HeapGrowth, 10, 10_000)
	c.span("limits.repeat_window", l.RepeatWindow, time.Second, time.Hour)
	if l.KeyAnswerBytes > l.KeyTableBytes {
		c.add("limits.key_answer_bytes", "lower it or raise limits.key_table_bytes",
			"%d is more than limits.key_table_bytes (%d)", l.KeyAnswerBytes, l.KeyTableBytes)
	}
}

func (c *checker) timeouts(t *Timeouts) {
	c.span("timeouts.header", t.Header, 100*time.Millisecond, time.Minute)
	c.span("timeouts.idle", t.Idle, time.Second, time.Hour)
	c.span("timeouts.connect", t.Connect, 10*time.Millisecond, 30*time.Second)
	c.span("timeouts.silence", t.Silence, 100*time.Millisecond, 5*time.Minute)
	c.span("timeouts.endpoint_idle", t.EndpointIdle, 100*time.Millisecond, time.Hour)
	c.span("timeouts.stop_serve", t.StopServe, 0, time.Hour)
	c.span("timeouts.answers_ttl", t.AnswersTTL, 100*time.Millisecond, 10*time.Minute)
	c.span("timeouts.stop_grace", t.StopGrace, time.Second, time.Hour)
	c.span("timeouts.stop_upload", t.StopUpload, time.Second, 24*time.Hour)
	if t.StopWithin.Duration != 0 {
		c.span("timeouts.stop_within", t.StopWithin, time.Second, 48*time.Hour)
	}
	if t.StopUpload.Duration < t.StopGrace.Duration {
		c.add("timeouts.stop_upload", "raise it or lower timeouts.stop_grace",
			"%s is less than timeouts.stop_grace (%s)", t.StopUpload, t.StopGrace)
	}
}

func (c *checker) inside(field string, value, least, most int) {
	if value < least || value > most {
		c.add(field, fmt.Sprintf("give a whole number from %d to %d", least, most), "%d is out of range", value)
	}
}

func (c *checker) share(field string, value, most float64) {
	if !(value >= 0 && value <= most) { // also refuses NaN
		c.add(field, fmt.Sprintf("give a number from 0 to %g", most), "%v is out of range", value)
	}
}

func (c *checker) span(field string, value Duration, least, most time.Duration) {
	if value.Duration < least || value.Duration > most {
		c.add(field, fmt.Sprintf("give a duration from %s to %s", least, most), "%s is out of range", value)
	}
}

func (c *checker) policy(name string) {
	if name == "" || slices.Contains(balance.Policies(), name) {
		return
	}
	c.add("balance.policy", "use one of: "+strings.Join(balance.Policies(), ", "), "there is no policy %q", name)
}
