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
	"github.com/tealhall/tealhall/internal/headcheck"
)

// The HTTP interface of the service, described in docs/design/platform.md.
const (
	// ValuesPath is the path prefix of values.
	ValuesPath = "/v1/values/"
	// RevisionHeader is the header with the revision of the value in an answer.
	RevisionHeader = "Platform-Revision"
	// AfterParameter requests a later revision than its value.
	AfterParameter = "after"
	// WaitParameter is how long the service may delay its answer, as a Go duration.
	WaitParameter = "wait"
)

// Defaults of ClientConfig.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultWatchWait      = 25 * time.Second
	DefaultCallsPerSecond = 2
	DefaultBurst          = 6
)

// ClientConfig configures the connection to the service. Fields that are zero have their defaults,
// except BaseURL, which is required.
type ClientConfig struct {
	// BaseURL is the scheme, IP address and port, as in http://10.0.0.1:8500.
	BaseURL string
	// Timeout bounds a Read as a whole, and the time that a Watch takes beyond WatchWait.
	Timeout time.Duration
	// WatchWait is how long the service may delay the answer to a Watch.
	WatchWait time.Duration
	// CallsPerSecond bounds the average rate of calls of this client; Burst is the number of calls
	// that may follow each other at once.
	CallsPerSecond float64
	Burst          int
	// Transport replaces the client's own connections, for tests.
	Transport http.RoundTripper
	// Now replaces the clock of the rate limit, for tests.
	Now func() time.Time
}

// withDefaults sets the fields that are zero to their defaults.
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

// Client reads the service over HTTP. It never retries; its callers apply the back-off. It is safe
// for concurrent use.
type Client struct {
	cfg     ClientConfig
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

var _ Service = (*Client)(nil)

// NewClient returns a client without making a call. An unusable BaseURL makes every call fail with
// fault.BadSettings.
func NewClient(cfg ClientConfig) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:  cfg,
		base: strings.TrimRight(cfg.BaseURL, "/") + ValuesPath,
		http: &http.Client{
			Transport: headcheck.Transport(cfg.Transport),
			// A redirect would lead to an address that is not in the settings.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
	}
}

// Connection settings of the client's own transport.
const (
	maxConnections  = 4 // a watch and a concurrent read for each value
	maxHeaderBytes  = 16 << 10
	idleTimeout     = 60 * time.Second
	keepAliveIdle   = 2 * time.Second
	keepAlivePeriod = time.Second
	keepAliveCount  = 3
)

// newTransport returns a transport with connections of its own. A watch is silent for WatchWait,
// so a connection that a network device has lost looks like one without changes. The keep-alive
// probes detect this in about five seconds. The proxy settings of the environment are ignored,
// because the service is reached by IP address.
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

// Watch implements Service. The service answers after WatchWait at the latest; otherwise the call
// ends when Timeout has passed in addition.
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

// get makes one call within the rate limit.
func (c *Client) get(ctx context.Context, name, query string) (*http.Response, error) {
	if !c.limiter.AllowN(c.cfg.Now(), 1) {
		return nil, fault.New(fault.RateLimited, "wait before the next call or raise the bound",
			"call for %q exceeds the bound of %g calls/s", name, c.cfg.CallsPerSecond)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+escapeName(name)+query, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "set the platform address to http://IP:port",
			"address %q cannot be used", c.cfg.BaseURL)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.connectionError(err, name)
	}
	return response, nil
}

// connectionError wraps an error of the connection. The cause has often broken other connections
// of the pool too, and each of them would cost a further timeout, so the idle ones are closed.
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
