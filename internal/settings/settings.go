// Package settings defines the daemon's static settings, which one entry reads once at startup from
// a TOML document. Settings that may change at run time are in the published profiles.
package settings

import "time"

// Settings holds the static settings of one entry. The comment of each field gives its unit and
// default. docs/SETTINGS.md is the reference; a test compares it with Default and the struct tags.
type Settings struct {
	// Name is the name of the entry, unique in the fleet; required.
	Name string `toml:"name"`
	// Region is the region of the entry; required.
	Region string `toml:"region"`
	// FailureDomain is the failure domain of the entry, unique over all regions; required.
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

// Addresses holds the addresses on which the entry listens and those that it advertises.
type Addresses struct {
	// Caller is the IP:port for requests from callers; required.
	Caller string `toml:"caller"`
	// CallerAdvertised is the IP:port advertised to callers; default Caller.
	CallerAdvertised string `toml:"caller_advertised"`
	// Peer is the IP:port for connections from other entries; required.
	Peer string `toml:"peer"`
	// PeerAdvertised is the IP:port advertised to other entries; default Peer.
	PeerAdvertised string `toml:"peer_advertised"`
	// Admin is the IP:port of the admin interface; default 127.0.0.1:9090.
	Admin string `toml:"admin"`
	// Health is an additional IP:port for the platform's readiness checks; none by default.
	Health string `toml:"health"`
	// Directory is an additional IP:port on which callers look up entries; none by default.
	Directory string `toml:"directory"`
}

// Platform configures how the entry reads the configuration service.
type Platform struct {
	// URL is the base URL of the configuration service, http or https; required.
	URL string `toml:"url"`
	// CallsPerSecond bounds this entry's calls to the configuration service; default 5.
	CallsPerSecond float64 `toml:"calls_per_second" unit:"calls/s"`
	// Timeout bounds a read; default 5s.
	Timeout Duration `toml:"timeout" unit:"duration"`
	// Watch is the longest time that one watch may wait; default 30s.
	Watch Duration `toml:"watch" unit:"duration"`
	// Protocol is "values" for Tealhall's own configuration service interface, or "store" for the
	// users' platform; default "values".
	Protocol string `toml:"protocol"`
	// Terms are the figures of the contract with the platform, each as NAME=VALUE in the platform's
	// notation; none by default.
	Terms []string `toml:"terms"`
	// CheckEvery is the shortest time between two reads of the service by an entry that relies on
	// other readers; default 10s.
	CheckEvery Duration `toml:"check_every" unit:"duration"`
	// ChangeGap is the shortest time between two watches of a value, so that changes in quick
	// succession are read together; default 0s.
	ChangeGap Duration `toml:"news_gap" unit:"duration"`
	// LivenessEvery is the time between two liveness checks by a reader, which detect that the
	// service has stopped answering while a watch waits; default 0s, which disables them.
	LivenessEvery Duration `toml:"glance_every" unit:"duration"`
	// ReadersPerDomain is the number of entries in each failure domain that read the service for
	// all others; default 2.
	ReadersPerDomain int `toml:"readers_per_domain" unit:"entries"`
	// FirstStart declares that the whole fleet starts for the first time, so that callers arrive
	// only seconds later. Entries then wait for the readers to read the service for them; default
	// false.
	FirstStart bool `toml:"first_start"`
	// AlwaysCurrent declares that no answer of the service is older than any earlier answer that it
	// gave to any client. An entry that starts then serves on the service's answer alone, without
	// waiting for confirmation from peers; default false.
	AlwaysCurrent bool `toml:"always_current"`
	// ListIsFinal declares that an endpoint missing from the list of VMs has ended; default false.
	ListIsFinal bool `toml:"list_is_final"`
	// MissingAfter is how long an endpoint missing from the list may still be used; default 30s.
	MissingAfter Duration `toml:"missing_after" unit:"duration"`
	// KeepLast replaces MissingAfter for the endpoints of a pool if the list contains none of them
	// any more; default 24h.
	KeepLast Duration `toml:"keep_last" unit:"duration"`
}

// Peers configures the links to other entries.
type Peers struct {
	// Seeds are IP:port addresses of peers to dial before the platform's list of VMs is known, so
	// that an entry can start while the platform is down; none by default.
	Seeds []string `toml:"seeds"`
	// Heartbeat is the shortest silence on a link after which the entry sends a ping; default 1s.
	Heartbeat Duration `toml:"heartbeat" unit:"duration"`
	// CallTimeout bounds a call to a peer; default 3s.
	CallTimeout Duration `toml:"call_timeout" unit:"duration"`
	// BytesPerSecond bounds the regular updates that the entry sends to all peers together; default
	// 9000.
	BytesPerSecond int `toml:"bytes_per_second" unit:"bytes/s"`
	// Connections bounds the accepted connections from peers; default 256.
	Connections int `toml:"connections" unit:"connections"`
}

// TLS names the certificate files. An empty file name disables TLS for that interface. The files
// are reloaded when they change.
type TLS struct {
	// Caller configures the interface for callers.
	Caller CallerTLS `toml:"caller"`
	// Peer configures the links between entries; both ends present a certificate.
	Peer MutualTLS `toml:"peer"`
	// Admin configures the interface for operators.
	Admin ServerTLS `toml:"admin"`
	// Poll is the interval at which the files are checked for changes; default 10s.
	Poll Duration `toml:"poll" unit:"duration"`
}

// CallerTLS names the files for the interface for callers. Other entries also use it, to forward
// requests whose idempotency key has its home on this entry.
type CallerTLS struct {
	// Certificate is a PEM file with the certificate chain; off by default.
	Certificate string `toml:"certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `toml:"key"`
	// Authorities is a PEM file with the authorities that sign the certificates of entries; default
	// the system's authorities.
	Authorities string `toml:"authorities"`
	// ServerName is the DNS name that other entries require in the certificate of every entry; if
	// empty, the certificate must contain the entry's IP address.
	ServerName string `toml:"server_name"`
}

// ServerTLS names the files of a server that requires no client certificate.
type ServerTLS struct {
	// Certificate is a PEM file with the certificate chain; off by default.
	Certificate string `toml:"certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `toml:"key"`
}

// MutualTLS names the files for links on which both ends present a certificate.
type MutualTLS struct {
	// Certificate is a PEM file with the certificate chain; off by default.
	Certificate string `toml:"certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `toml:"key"`
	// Authorities is a PEM file with the authorities that sign peers' certificates.
	Authorities string `toml:"authorities"`
	// ServerName is the DNS name that each peer's certificate must contain; if empty, the
	// certificate must contain the peer's IP address.
	ServerName string `toml:"server_name"`
}

// Limits bounds the entry's use of memory and other resources.
type Limits struct {
	// InFlightRequests bounds the concurrent requests in the entry, including queued ones; default
	// 20000.
	InFlightRequests int `toml:"in_flight_requests" unit:"requests"`
	// HeaderBytes bounds the size of a request's header; default 65536.
	HeaderBytes int `toml:"header_bytes" unit:"bytes"`
	// ReplayBodyBytes is the size of the largest request body that is buffered for another attempt.
	// Larger bodies are streamed and get one attempt; default 65536.
	ReplayBodyBytes int `toml:"replay_body_bytes" unit:"bytes"`
	// ConnectionsPerEndpoint bounds this entry's connections to one endpoint; default 4, so that 60
	// entries together stay within an endpoint's limit of 240.
	ConnectionsPerEndpoint int `toml:"connections_per_endpoint" unit:"connections"`
	// Keys bounds the stored idempotency keys; default 100000.
	Keys int `toml:"keys" unit:"keys"`
	// KeyAnswerBytes is the size of the largest answer stored with a key for replay; default 16384.
	KeyAnswerBytes int `toml:"key_answer_bytes" unit:"bytes"`
	// KeyTableBytes bounds the total size of the stored answers; default 16777216.
	KeyTableBytes int `toml:"key_table_bytes" unit:"bytes"`
	// LargestFleet is the largest number of entries that may run at once. Each entry may use
	// a profile's probe budget divided by this number, not by the number of peers that it knows;
	// default 60.
	LargestFleet int `toml:"largest_fleet" unit:"entries"`
	// Cores is the number of CPU cores available to this entry. Callers are sent first to entries
	// with more cores; default 0, which means the cores visible to the process.
	Cores float64 `toml:"cores" unit:"cores"`
	// RepeatShare bounds the attempts beyond the first that all entries together send to the
	// endpoints of a pool, as a share of the requests in any repeat_window; default 0, which leaves
	// the bound to the profiles.
	RepeatShare float64 `toml:"repeat_share" unit:"share"`
	// RepeatWindow is the time window of RepeatShare; default 10s.
	RepeatWindow Duration `toml:"repeat_window" unit:"duration"`
	// RepeatSlack is the number of attempts allowed in a window beyond the share; default 0.
	RepeatSlack float64 `toml:"repeat_slack" unit:"attempts"`
	// LoadProbesPerEndpoint bounds the load probes per second that all entries together send to one
	// endpoint; default 0, which means no bound.
	LoadProbesPerEndpoint float64 `toml:"looks_per_endpoint" unit:"looks/s"`
	// WarmupOver bounds the requests that all entries together send to a cold endpoint in any
	// second, as a multiple of the rate published for the endpoint; default 1.
	WarmupOver float64 `toml:"warmup_over" unit:"times"`
	// WarmupSlack is the number of requests allowed beyond WarmupOver; default 0.
	WarmupSlack float64 `toml:"warmup_slack" unit:"requests"`
	// HeapGrowth is the percentage by which the heap may grow between garbage collections, unless
	// the environment variable GOGC is set; default 400.
	HeapGrowth int `toml:"heap_growth" unit:"percent"`
	// LinkMbps is the rate of the VM's network link. Large answers take turns on it, and make room for
	// small ones; default 0, which means that it is not known and answers do not wait.
	LinkMbps float64 `toml:"link_mbps" unit:"Mbit/s"`
	// Descriptors is the number of files and sockets that the process may have open; default 0, which
	// means the limit of the operating system. Connections beyond a share of it are closed.
	Descriptors int `toml:"descriptors" unit:"descriptors"`
	// RequestShare is the share of the memory that may be held of requests that have not been
	// answered; default 0.2. Without MemoryMB, it is a share of the memory of the VM.
	RequestShare float64 `toml:"request_share" unit:"share"`
	// MemoryMB is the memory that the process may use. HeldShare of it is for large answers whose
	// callers read slowly; default 0, which means that nothing is held for them.
	MemoryMB float64 `toml:"memory_mb" unit:"MB"`
	// HeldShare is the share of MemoryMB that may be held of the answers of slow callers; default
	// 0.125.
	HeldShare float64 `toml:"held_share" unit:"share"`
	// HeldAnswerBytes bounds what is held of one answer; default 1048576.
	HeldAnswerBytes int `toml:"held_answer_bytes" unit:"bytes"`
	// UnframedAnswers allows answers from endpoints whose end is marked only by the closing of the
	// connection; default false.
	UnframedAnswers bool `toml:"unframed_answers"`
}

// Timeouts holds the bounds on durations.
type Timeouts struct {
	// Header bounds the time to receive a request's header; default 5s.
	Header Duration `toml:"header" unit:"duration"`
	// Idle bounds the idle time of a caller's connection; default 90s.
	Idle Duration `toml:"idle" unit:"duration"`
	// Connect bounds the time to connect to an endpoint; default 1s.
	Connect Duration `toml:"connect" unit:"duration"`
	// Silence is how long sent data may stay unacknowledged before the connection is considered
	// dead (TCP user timeout); default 5s.
	Silence Duration `toml:"silence" unit:"duration"`
	// EndpointIdle is the idle time after which a connection to an endpoint is closed; default 30s.
	EndpointIdle Duration `toml:"endpoint_idle" unit:"duration"`
	// StopServe is how long a planned stop continues to accept connections after the directory
	// answers given to callers have expired; default 1s.
	StopServe Duration `toml:"stop_serve" unit:"duration"`
	// AnswersTTL is the longest time for which callers may cache a directory answer, which says
	// which entries to use. A planned stop continues to serve for that time; default 12s.
	AnswersTTL Duration `toml:"answers_ttl" unit:"duration"`
	// StopGrace is the time from the expiry of the directory answers until a planned stop reports
	// the requests that are still running; default 30s.
	StopGrace Duration `toml:"stop_grace" unit:"duration"`
	// StopUpload is the time from the expiry of the directory answers until a planned stop cuts off
	// the requests that are still running, such as long uploads; default 15m.
	StopUpload Duration `toml:"stop_upload" unit:"duration"`
	// StopWithin is the time from the stop signal until the process is killed, within which a
	// planned stop must end. Requests in flight get what the earlier steps leave of it; default 0,
	// which means no limit.
	StopWithin Duration `toml:"stop_within" unit:"duration"`
}

// Balance configures the choice of endpoints.
type Balance struct {
	// Policy is the name of the balance policy; default "", which lets the program choose.
	Policy string `toml:"policy"`
}

// Routes configures the treatment of requests of published routes.
type Routes struct {
	// Profiles is the file with the profiles and the traffic rules that assign a profile to each
	// route; required with platform.protocol = "store".
	Profiles string `toml:"profiles"`
}

// Audit bounds the audit trail.
type Audit struct {
	// Records is the number of changes kept in memory; default 4096.
	Records int `toml:"records" unit:"records"`
}

// Log configures logging.
type Log struct {
	// Format is "text" for lines on standard error, or "json" for one object per line on standard
	// output, within the bounds below; default "text".
	Format string `toml:"format"`
	// LinesPerSecond bounds the number of lines with format json; default 200.
	LinesPerSecond int `toml:"lines_per_second" unit:"lines/s"`
	// BytesPerSecond bounds the size of the lines with format json; default 100000.
	BytesPerSecond int `toml:"bytes_per_second" unit:"bytes/s"`
	// Requests enables one line per request; default false.
	Requests bool `toml:"requests"`
	// Verbosity is the level of detail, 0 to 5; default 0.
	Verbosity int `toml:"verbosity" unit:"level"`
}

// Values of Platform.Protocol.
const (
	ValuesProtocol = "values"
	StoreProtocol  = "store"
)

// Values of Log.Format.
const (
	TextLog = "text"
	JSONLog = "json"
)

// Default returns the default settings. The required fields are empty.
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
			RequestShare:           0.2,
			HeldShare:              0.125,
			HeldAnswerBytes:        1 << 20,
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
