package published

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/tealhall/tealhall/internal/fault"
)

// The wire form of the service. docs/design/platform.md describes it.
const (
	// ValuesPath is the path below which values are read.
	ValuesPath = "/v1/values/"
	// RevisionHeader carries the revision of the value in an answer.
	RevisionHeader = "Platform-Revision"
	// AfterParameter asks for a revision later than its value.
	AfterParameter = "after"
	// WaitParameter says how long the service may hold the call, as a Go duration.
	WaitParameter = "wait"
)

// Defaults of ClientConfig.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultWatchWait      = 25 * time.Second
	DefaultCallsPerSecond = 2
	DefaultBurst          = 6
)

// ClientConfig says how to reach the service. Zero values stand for defaults,
// but for BaseURL, which is needed.
type ClientConfig struct {
	// BaseURL is scheme, IP number and port, as in http://10.0.0.1:8500.
	BaseURL string
	// Timeout bounds a Read as a whole, and what a Watch takes beyond WatchWait.
	Timeout time.Duration
	// WatchWait is how long the service may hold a Watch.
	WatchWait time.Duration
	// CallsPerSecond bounds the calls of this client in the long run; Burst is
	// how many may come at once.
	CallsPerSecond float64
	Burst          int
	// Transport replaces the client's own connections, for tests.
	Transport http.RoundTripper
	// Now replaces the clock of the bound on calls, for tests.
	Now func() time.Time
}

// withDefaults fills in what was left zero.
func (c ClientConfig) withDefaults() ClientConfig {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.WatchWait <= 0 {
		c.WatchWait = DefaultWatchWait
	}
	if c.CallsPerSecond <= 0 {
		c.CallsPerSecond = DefaultCallsPerSecond
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Transport == nil {
		c.Transport = newTransport(c.Timeout)
	}
	return c
}

// Client reads the service over HTTP. It never retries by itself: the loops
// above it own the back-off. It is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

var _ Service = (*Client)(nil)

// NewClient returns a client; it makes no call yet. A BaseURL that can't be
// used makes every call fail with fault.BadSettings.
func NewClient(cfg ClientConfig) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:  cfg,
		base: strings.TrimRight(cfg.BaseURL, "/") + ValuesPath,
		http: &http.Client{
			Transport: cfg.Transport,
			// A redirect would lead to an address that no setting names.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
	}
}

// Connection settings of the client's own transport.
const (
	maxConnections  = 4 // one watch per value, and a read beside each
	maxHeaderBytes  = 16 << 10
	idleTimeout     = 60 * time.Second
	keepAliveIdle   = 2 * time.Second
	keepAlivePeriod = time.Second
	keepAliveCount  = 3
)

// newTransport returns connections of the client's own. A watch is silent for
// WatchWait, so a connection that the network has lost track of looks just like
// one on which nothing changed; the keep-alive probes find it out in about five
// seconds. The environment's proxy settings are ignored: the service is reached
// by IP number.
func newTransport(timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAlivePeriod,
			Count:    keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSHandshakeTimeout:    timeout,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	}
}

// Read implements Service.
func (c *Client) Read(ctx context.Context, name string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	response, err := c.get(ctx, name, "")
	if err != nil {
		return Value{}, err
	}
	defer response.Body.Close()
	return c.parseValue(name, response)
}

// Watch implements Service. The service answers at the latest after WatchWait;
// when it does not, the call ends Timeout later.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.WatchWait+c.cfg.Timeout)
	defer cancel()
	query := url.Values{
		AfterParameter: {strconv.FormatUint(after, 10)},
		WaitParameter:  {c.cfg.WatchWait.String()},
	}
	response, err := c.get(ctx, name, "?"+query.Encode())
	if err != nil {
		return Value{}, err
	}
	defer response.Body.Close()
	unchanged := Value{Name: name, Revision: after}
	if response.StatusCode == http.StatusNotModified {
		return unchanged, nil
	}
	value, err := c.parseValue(name, response)
	if err == nil && value.Revision == after {
		return unchanged, nil
	}
	return value, err
}

// get makes one call within the bound on calls.
func (c *Client) get(ctx context.Context, name, query string) (*http.Response, error) {
	if !c.limiter.AllowN(c.cfg.Now(), 1) {
		return nil, fault.New(fault.RateLimited, "wait before the next call or raise the bound",
			"call for %q exceeds the bound of %g calls/s", name, c.cfg.CallsPerSecond)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+escapeName(name)+query, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "set the platform address to http://IP:port",
			"address %q can't be used", c.cfg.BaseURL)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.connectionError(err, name)
	}
	return response, nil
}

// connectionError types an error of the connection. What breaks one connection has
// often broken its neighbours in the pool too, and each would cost another
// time-out to find out, so the idle ones are closed.
func (c *Client) connectionError(err error, name string) error {
	c.http.CloseIdleConnections()
	return fault.Wrap(err, fault.PlatformDown, "check that the configuration service runs and can be reached",
		"reading %q failed", name)
}

// escapeName escapes each part of a value's name for use in a path.
func escapeName(name string) string {
	parts := strings.Split(name, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
