// Package settings holds the static settings of the daemon: what one entry is
// told once, at its start, in a TOML document. What may change while it runs
// is in the published profiles instead.
package settings

import "time"

// Settings are the static settings of one entry. The comment of each field
// gives its unit and its default; docs/SETTINGS.md is the reference, which a
// test compares with Default and the tags below.
type Settings struct {
	// Name of the entry, unique in the fleet; required.
	Name string `toml:"name"`
	// Region of the entry; required.
	Region string `toml:"region"`
	// FailureDomain of the entry, unique over all regions; required.
	FailureDomain string `toml:"failure_domain"`

	Addresses Addresses `toml:"addresses"`
	Platform  Platform  `toml:"platform"`
	Peers     Peers     `toml:"peers"`
	TLS       TLS       `toml:"tls"`
	Limits    Limits    `toml:"limits"`
	Timeouts  Timeouts  `toml:"timeouts"`
	Balance   Balance   `toml:"balance"`
	Routes    Routes    `toml:"routes"`
	Audit     Audit     `toml:"audit"`
	Log       Log       `toml:"log"`
}

// Addresses are where the entry listens and what it tells others to dial.
type Addresses struct {
	// Caller is the IP:port on which callers are served; required.
	Caller string `toml:"caller"`
	// CallerAdvertised is the IP:port that callers are told; the default is Caller.
	CallerAdvertised string `toml:"caller_advertised"`
	// Peer is the IP:port on which other entries are served; required.
	Peer string `toml:"peer"`
	// PeerAdvertised is the IP:port that other entries are told; the default is Peer.
	PeerAdvertised string `toml:"peer_advertised"`
	// Admin is the IP:port of the admin interface; default 127.0.0.1:9090.
	Admin string `toml:"admin"`
	// Health is a further IP:port on which the platform asks whether the entry is
	// ready; none by default.
	Health string `toml:"health"`
	// Directory is a further IP:port on which callers ask for entries; none by default.
	Directory string `toml:"directory"`
}

// Platform says how the configuration service is read.
type Platform struct {
	// URL is the base URL of the configuration service, http or https; required.
	URL string `toml:"url"`
	// CallsPerSecond bounds this entry's calls; default 5.
	CallsPerSecond float64 `toml:"calls_per_second" unit:"calls/s"`
	// Timeout bounds a read; default 5s.
	Timeout Duration `toml:"timeout" unit:"duration"`
	// Watch is how long one watch may wait; default 30s.
	Watch Duration `toml:"watch" unit:"duration"`
	// Protocol is "values" for tealhall's own interface of a configuration service,
	// or "store" for the users' platform; default "values".
	Protocol string `toml:"protocol"`
	// Terms are the figures of the platform's contract as it writes them,
	// NAME=VALUE each; none by default.
	Terms []string `toml:"terms"`
	// CheckEvery is the shortest time between two reads of an entry that others read
	// for; default 10s.
	CheckEvery Duration `toml:"check_every" unit:"duration"`
	// ChangeGap is the shortest time between two watches of a value, so that changes
	// that come together are read together; default 0s.
	ChangeGap Duration `toml:"news_gap" unit:"duration"`
	// LivenessEvery is the time between two cheap calls of a reader, by which it notices
	// that the service has stopped answering while a watch waits; default 0s: none.
	LivenessEvery Duration `toml:"glance_every" unit:"duration"`
	// ReadersPerDomain is how many entries of each failure domain read the service
	// for all; default 2.
	ReadersPerDomain int `toml:"readers_per_domain" unit:"entries"`
	// FirstStart says that the whole fleet starts for the first time, so that there are
	// seconds until callers come: entries wait for those that read the service for all.
	FirstStart bool `toml:"first_start"`
	// AlwaysCurrent says that no answer of the service is older than one that it gave
	// anybody before; an entry that starts then serves on its word alone, without
	// waiting for peers to confirm it; default false.
	AlwaysCurrent bool `toml:"always_current"`
	// ListIsFinal says that an endpoint that the list of VMs has lost has ended;
	// default false.
	ListIsFinal bool `toml:"list_is_final"`
	// MissingAfter is how long an endpoint that the list has lost may be used;
	// default 30s.
	MissingAfter Duration `toml:"missing_after" unit:"duration"`
	// KeepLast is the same for the endpoints of a pool that the list has lost
	// altogether; default 24h.
	KeepLast Duration `toml:"keep_last" unit:"duration"`
}

// Peers says how the entry talks with other entries.
type Peers struct {
	// Seeds are IP:port peer addresses to try before the platform's list of
	// VMs is known, so that a start works while the platform is down; none by
	// default.
	Seeds []string `toml:"seeds"`
	// Heartbeat is the shortest silence after which a link pings; default 1s.
	Heartbeat Duration `toml:"heartbeat" unit:"duration"`
	// CallTimeout bounds one call to a peer; default 3s.
	CallTimeout Duration `toml:"call_timeout" unit:"duration"`
	// BytesPerSecond bounds what the entry sends in regular updates to all
	// peers together; default 9000.
	BytesPerSecond int `toml:"bytes_per_second" unit:"bytes/s"`
	// Connections bounds the accepted peer connections; default 256.
	Connections int `toml:"connections" unit:"connections"`
}

// TLS names the files for encrypted links. Empty file names switch a side off.
// The files are read again when they change.
type TLS struct {
	// Caller is the side towards callers.
	Caller CallerTLS `toml:"caller"`
	// Peer is the side towards other entries; both ends show a certificate.
	Peer MutualTLS `toml:"peer"`
	// Admin is the side towards operators.
	Admin ServerTLS `toml:"admin"`
	// Poll is how often the files are looked at for a change; default 10s.
	Poll Duration `toml:"poll" unit:"duration"`
}

// CallerTLS names the files of the side towards callers, which is also where other
// entries send requests whose key is at home here.
type CallerTLS struct {
	// Certificate is a PEM file with the certificate chain; off by default.
	Certificate string `toml:"certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `toml:"key"`
	// Authorities is a PEM file with the authorities that sign the certificates
	// of entries; those of the system by default.
	Authorities string `toml:"authorities"`
	// ServerName is the DNS name that the certificate of every entry must bear to
	// other entries; when empty, it must bear the entry's IP number.
	ServerName string `toml:"server_name"`
}

// ServerTLS names the files of a server that asks for no client certificate.
type ServerTLS struct {
	// Certificate is a PEM file with the certificate chain; off by default.
	Certificate string `toml:"certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `toml:"key"`
}

// MutualTLS names the files of links on which both ends show a certificate.
type MutualTLS struct {
	// Certificate is a PEM file with the certificate chain; off by default.
	Certificate string `toml:"certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `toml:"key"`
	// Authorities is a PEM file with the authorities that sign peers' certificates.
	Authorities string `toml:"authorities"`
	// ServerName is the DNS name that each peer's certificate must bear; when
	// empty, the certificate must bear the peer's IP number.
	ServerName string `toml:"server_name"`
}

// Limits bound what the entry holds in memory.
type Limits struct {
	// InFlightRequests bounds the requests held at once, waiting ones
	// included; default 20000.
	InFlightRequests int `toml:"in_flight_requests" unit:"requests"`
	// HeaderBytes bounds a request's header; default 65536.
	HeaderBytes int `toml:"header_bytes" unit:"bytes"`
	// ReplayBodyBytes is the largest request body that is kept for a second
	// try; larger bodies are streamed and tried once; default 65536.
	ReplayBodyBytes int `toml:"replay_body_bytes" unit:"bytes"`
	// ConnectionsPerEndpoint bounds this entry's connections to one endpoint;
	// default 4, so that 60 entries together stay within an endpoint's 240.
	ConnectionsPerEndpoint int `toml:"connections_per_endpoint" unit:"connections"`
	// Keys bounds the idempotency keys held; default 100000.
	Keys int `toml:"keys" unit:"keys"`
	// KeyAnswerBytes is the largest answer kept with a key for replay; default 16384.
	KeyAnswerBytes int `toml:"key_answer_bytes" unit:"bytes"`
	// KeyTableBytes bounds all kept answers together; default 16777216.
	KeyTableBytes int `toml:"key_table_bytes" unit:"bytes"`
	// LargestFleet is the largest number of entries that may run at once. Each
	// entry spends the watching budget divided by this number, never by the
	// number of peers that it sees; default 60.
	LargestFleet int `toml:"largest_fleet" unit:"entries"`
	// Cores is what the VM gives this entry, in cores; callers are sent to entries with
	// more of it first. Default 0, which stands for the cores that the process sees.
	Cores float64 `toml:"cores" unit:"cores"`
	// RepeatShare bounds what all entries together send to the endpoints of a pool
	// beyond the first attempts, as a share of the requests in any repeat_window;
	// default 0, which leaves it to the profiles.
	RepeatShare float64 `toml:"repeat_share" unit:"share"`
	// RepeatWindow is the window of repeat_share; default 10s.
	RepeatWindow Duration `toml:"repeat_window" unit:"duration"`
	// RepeatSlack is what may be sent beyond the share in a window; default 0.
	RepeatSlack float64 `toml:"repeat_slack" unit:"attempts"`
	// LoadProbesPerEndpoint bounds how often a second all entries together ask an
	// endpoint for its load before they choose; default 0, which sets no bound.
	LoadProbesPerEndpoint float64 `toml:"looks_per_endpoint" unit:"looks/s"`
	// WarmupOver is how many times the rate that is published for cold endpoints all entries
	// together may send to one in any second; default 1.
	WarmupOver float64 `toml:"warmup_over" unit:"times"`
	// WarmupSlack is what they may send beyond that; default 0.
	WarmupSlack float64 `toml:"warmup_slack" unit:"requests"`
	// HeapGrowth is by how many percent the heap may grow before it is collected, if
	// the environment's GOGC does not say; default 400.
	HeapGrowth int `toml:"heap_growth" unit:"percent"`
	// UnframedAnswers passes on answers of endpoints that end with their
	// connection; default false.
	UnframedAnswers bool `toml:"unframed_answers"`
}

// Timeouts bound how long things may take.
type Timeouts struct {
	// Header bounds the arrival of a request's header; default 5s.
	Header Duration `toml:"header" unit:"duration"`
	// Idle bounds the silence on a caller's kept connection; default 90s.
	Idle Duration `toml:"idle" unit:"duration"`
	// Connect bounds the opening of a connection to an endpoint; default 1s.
	Connect Duration `toml:"connect" unit:"duration"`
	// Silence is how long sent bytes may stay unacknowledged before a
	// connection counts as dead (TCP user time-out); default 5s.
	Silence Duration `toml:"silence" unit:"duration"`
	// EndpointIdle is the age at which an idle connection to an endpoint is closed;
	// default 30s.
	EndpointIdle Duration `toml:"endpoint_idle" unit:"duration"`
	// StopServe is how long a planned stop goes on accepting connections after the
	// given answers have run out; default 1s.
	StopServe Duration `toml:"stop_serve" unit:"duration"`
	// AnswersTTL is the longest that callers may keep the answer which entries to
	// use; a planned stop goes on serving for so long; default 12s.
	AnswersTTL Duration `toml:"answers_ttl" unit:"duration"`
	// StopGrace is how long after the given answers have run out a planned stop
	// reports the requests that it still waits for; default 30s.
	StopGrace Duration `toml:"stop_grace" unit:"duration"`
	// StopUpload is how long after the given answers have run out a planned stop
	// cuts off the requests that still run, long uploads for one; default 15m.
	StopUpload Duration `toml:"stop_upload" unit:"duration"`
	// StopWithin is how long after its signal a planned stop has ended, since the process is
	// killed then; the earlier steps leave the rest of it to the requests in flight; default
	// 0, no such limit.
	StopWithin Duration `toml:"stop_within" unit:"duration"`
}

// Balance chooses how endpoints are picked.
type Balance struct {
	// Policy is the name of the balance policy; "" lets the program choose,
	// which is the default.
	Policy string `toml:"policy"`
}

// Routes says how the requests of published routes are treated.
type Routes struct {
	// Profiles is the file with the profiles and the traffic rules that give each
	// route one; required with platform.protocol = "store".
	Profiles string `toml:"profiles"`
}

// Audit bounds the audit trail.
type Audit struct {
	// Records is how many changes are kept in memory; default 4096.
	Records int `toml:"records" unit:"records"`
}

// Log says what is logged, and how.
type Log struct {
	// Format is "text" for lines to standard error, or "json" for one object a line to
	// standard output, within the bounds below; default "text".
	Format string `toml:"format"`
	// LinesPerSecond bounds the lines of format json; default 200.
	LinesPerSecond int `toml:"lines_per_second" unit:"lines/s"`
	// BytesPerSecond bounds their bytes; default 100000.
	BytesPerSecond int `toml:"bytes_per_second" unit:"bytes/s"`
	// Requests switches one line per request on; default false.
	Requests bool `toml:"requests"`
	// Verbosity is the level of detail, 0 to 5; default 0.
	Verbosity int `toml:"verbosity" unit:"level"`
}

// The protocols of Platform.Protocol.
const (
	ValuesProtocol = "values"
	StoreProtocol  = "store"
)

// The formats of Log.Format.
const (
	TextLog = "text"
	JSONLog = "json"
)

// Default returns the settings that hold where a document says nothing. The
// required fields are empty.
func Default() *Settings {
	return &Settings{
		Addresses: Addresses{Admin: "127.0.0.1:9090"},
		Platform: Platform{CallsPerSecond: 5, Timeout: Duration{5 * time.Second}, Watch: Duration{30 * time.Second},
			Protocol: ValuesProtocol, ReadersPerDomain: 2, CheckEvery: Duration{10 * time.Second}, MissingAfter: Duration{30 * time.Second}, KeepLast: Duration{24 * time.Hour}},
		Peers: Peers{
			Heartbeat:      Duration{time.Second},
			CallTimeout:    Duration{3 * time.Second},
			BytesPerSecond: 9000,
			Connections:    256,
		},
		TLS: TLS{Poll: Duration{10 * time.Second}},
		Limits: Limits{
			InFlightRequests:       20_000,
			HeaderBytes:            64 << 10,
			ReplayBodyBytes:        64 << 10,
			ConnectionsPerEndpoint: 4,
			Keys:                   100_000,
			KeyAnswerBytes:         16 << 10,
			KeyTableBytes:          16 << 20,
			LargestFleet:           60,
			RepeatWindow:           Duration{10 * time.Second},
			WarmupOver:             1,
			HeapGrowth:             400,
		},
		Timeouts: Timeouts{
			Header:       Duration{5 * time.Second},
			Idle:         Duration{90 * time.Second},
			Connect:      Duration{time.Second},
			Silence:      Duration{5 * time.Second},
			AnswersTTL:   Duration{12 * time.Second},
			EndpointIdle: Duration{30 * time.Second},
			StopServe:    Duration{time.Second},
			StopGrace:    Duration{30 * time.Second},
			StopUpload:   Duration{15 * time.Minute},
		},
		Audit: Audit{Records: 4096},
		Log:   Log{Format: TextLog, LinesPerSecond: 200, BytesPerSecond: 100_000},
	}
}
