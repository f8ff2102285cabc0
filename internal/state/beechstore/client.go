package beechstore

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechera"
)

type (
	// Settings configures the client. Zero fields get the defaults given after
	// the semicolons.
	Settings struct {
		Addresses      []netip.AddrPort // the next one is used after a failed call
		TLS            bool             // use https; the http.Client holds the certificates
		Key            string           // bearer key
		CallTimeout    time.Duration    // time limit of one attempt; 1 s
		Attempts       int              // maximum attempts of a call that may be retried; 3
		Backoff        time.Duration    // initial delay before a retry, jittered and growing; 20 ms
		CallsPerSecond int              // call budget of this process; 50
		Burst          int              // maximum burst of calls after idle time; CallsPerSecond
	}

	client struct {
		settings     Settings
		http         *http.Client
		once         *http.Client // with a connection for each call
		clock        clockwork.Clock
		budget       *budget
		addressIndex atomic.Uint64 // index of the address in use, modulo len(Addresses)
	}

	// call is one request to the service.
	call struct {
		step           string
		method         string
		path           string
		header         http.Header
		body           []byte
		importance     Importance
		timeout        time.Duration
		write          bool
		expectsVersion bool // the reply must have a Version header
	}

	// reply is a complete response of the service.
	reply struct {
		status     int
		version    uint64
		hasVersion bool // the reply has a valid Version header
		era        uint64
		body       []byte
	}
)

const (
	defaultCallTimeout    = time.Second
	defaultAttempts       = 3
	defaultBackoff        = 20 * time.Millisecond
	defaultCallsPerSecond = 50
	maxReplyOverhead      = 64 << 10 // bytes allowed beyond MaxValueBytes
	maxHeadBytes          = 64 << 10
)

var errNoAddress = errors.New("no address of the platform's service is configured")

// NewHTTPClient returns an HTTP client for New. Timeouts are those of the calls.
func NewHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return &http.Client{Transport: transport}
}

// New returns the client of the HTTP protocol. Deadlines, backoff and lease
// expiry use clock.
func New(settings Settings, httpClient *http.Client, clock clockwork.Clock) Store {
	s := settings.withDefaults()
	return &client{settings: s, http: httpClient, once: withoutReuse(httpClient), clock: clock, budget: newBudget(clock, s.CallsPerSecond, s.Burst)}
}

// withoutReuse returns a copy of a client that opens a connection for each call.
func withoutReuse(c *http.Client) *http.Client {
	transport, ok := cmp.Or[http.RoundTripper](c.Transport, http.DefaultTransport).(*http.Transport)
	if !ok {
		return c
	}
	once := *c
	cloned := transport.Clone()
	cloned.DisableKeepAlives = true
	once.Transport = cloned
	return &once
}

func (s Settings) withDefaults() Settings {
	if s.CallTimeout == 0 {
		s.CallTimeout = defaultCallTimeout
	}
	if s.Attempts == 0 {
		s.Attempts = defaultAttempts
	}
	if s.Backoff == 0 {
		s.Backoff = defaultBackoff
	}
	if s.CallsPerSecond == 0 {
		s.CallsPerSecond = defaultCallsPerSecond
	}
	if s.Burst == 0 {
		s.Burst = s.CallsPerSecond
	}
	return s
}

func (c *client) Get(ctx context.Context, key string, importance Importance) (Value, error) {
	r, err := c.retry(ctx, call{step: "get " + key, method: http.MethodGet, path: valuePath(key), importance: importance, expectsVersion: true})
	return r.value(key), err
}

func (c *client) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, importance Importance) (Value, error) {
	h := ifMatch(version)
	if lease != "" {
		h.Set(HeaderLease, lease)
	}
	r, err := c.retry(ctx, call{
		step: "compare and swap " + key, method: http.MethodPut, path: valuePath(key),
		header: h, body: data, importance: importance, write: true, expectsVersion: true,
	})
	if err != nil {
		return Value{}, err
	}
	return Value{Key: key, Version: r.version, Era: r.era, Data: data}, nil
}

func (c *client) Delete(ctx context.Context, key string, version uint64, importance Importance) error {
	_, err := c.retry(ctx, call{
		step: "delete " + key, method: http.MethodDelete, path: valuePath(key),
		header: ifMatch(version), importance: importance, write: true,
	})
	return err
}

func (c *client) Watch(ctx context.Context, key string, version uint64, importance Importance) (Value, error) {
	query := url.Values{
		QueryWatch: {strconv.FormatUint(version, 10)},
		QueryWait:  {strconv.FormatInt(MaxWait.Milliseconds(), 10)},
	}
	r, err := c.retry(ctx, call{
		step: "watch " + key, method: http.MethodGet, path: valuePath(key) + "?" + query.Encode(),
		importance: importance, timeout: MaxWait + c.settings.CallTimeout, expectsVersion: true,
	})
	return r.value(key), err
}

func (c *client) Grant(ctx context.Context, ttl time.Duration, importance Importance) (Lease, error) {
	body, err := json.Marshal(GrantRequest{TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return Lease{}, fmt.Errorf("encode a lease request: %w", err)
	}
	return c.lease(ctx, call{step: "grant", method: http.MethodPost, path: PathLeases, body: body, importance: importance, write: true})
}

func (c *client) KeepAlive(ctx context.Context, lease Lease, importance Importance) (Lease, error) {
	path := PathLeases + "/" + url.PathEscape(lease.ID)
	return c.lease(ctx, call{step: "keep alive " + lease.ID, method: http.MethodPost, path: path, importance: importance, write: true})
}

// lease computes the expiry from the time before the call. The service starts
// its count later, so the lease ends first at its holder.
func (c *client) lease(ctx context.Context, cl call) (Lease, error) {
	asked := c.clock.Now()
	r, err := c.retry(ctx, cl)
	if err != nil {
		return Lease{}, err
	}
	var g GrantReply
	if err := json.Unmarshal(r.body, &g); err != nil {
		return Lease{}, UnknownOutcome{Step: cl.step, Peer: c.peer(), Err: err}
	}
	ttl := time.Duration(g.TTLMillis) * time.Millisecond
	return Lease{ID: g.ID, TTL: ttl, Expires: asked.Add(ttl)}, nil
}

func (c *client) Hosts(ctx context.Context, importance Importance) ([]Host, error) {
	r, err := c.retry(ctx, call{step: "hosts", method: http.MethodGet, path: PathHosts, importance: importance})
	if err != nil {
		return nil, err
	}
	var lines []WireHost
	if err := json.Unmarshal(r.body, &lines); err != nil {
		return nil, Refused{Step: "hosts", Peer: c.peer(), Err: err}
	}
	hosts := make([]Host, 0, len(lines))
	for _, l := range lines {
		hosts = append(hosts, l.Host())
	}
	return hosts, nil
}

// retry retries a call that was refused temporarily. A write with an unknown
// outcome is not retried here: the second attempt could conflict with the
// first one's effect, which would look like a conflict with another writer.
func (c *client) retry(ctx context.Context, cl call) (reply, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = c.settings.Backoff
	for try := 1; ; try++ {
		r, err := c.attempt(ctx, cl)
		var refused Refused
		if err == nil || !errors.As(err, &refused) || try >= c.settings.Attempts {
			return r, err
		}
		if refused.After == 0 || refused.After > c.settings.Backoff {
			return r, err // let the caller decide instead of blocking for that long
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-c.clock.After(pause.NextBackOff()):
		}
	}
}

func (c *client) attempt(ctx context.Context, cl call) (reply, error) {
	if wait := c.budget.take(cl.importance); wait > 0 {
		return reply{}, OverBudget{Step: cl.step, After: wait}
	}
	if len(c.settings.Addresses) == 0 {
		return reply{}, Refused{Step: cl.step, Err: errNoAddress}
	}
	timeout := cl.timeout
	if timeout == 0 {
		timeout = c.settings.CallTimeout
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, timeout)
	defer cancel()
	request, err := c.request(ctx, cl)
	if err != nil {
		return reply{}, Refused{Step: cl.step, Peer: c.peer(), Err: err}
	}
	response, err := c.clientFor(cl).Do(request)
	if err != nil {
		return reply{}, c.transportError(cl, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+maxReplyOverhead))
	if err != nil {
		return reply{}, c.transportError(cl, err)
	}
	version, err := strconv.ParseUint(response.Header.Get(HeaderVersion), 10, 64)
	r := reply{status: response.StatusCode, version: version, hasVersion: err == nil, body: body}
	if r.era, err = beechera.Parse(response.Header.Get(HeaderEra)); err != nil {
		return r, c.invalidEra(cl, err)
	}
	return r, c.checkStatus(cl, r, response.Header)
}

// clientFor returns the HTTP client of a call. Replies name no call: on a connection that is reused,
// the copy of an earlier one would pass for a write that did not happen.
func (c *client) clientFor(cl call) *http.Client {
	if cl.write || cl.importance == ImportanceClaim {
		return c.once
	}
	return c.http
}

// invalidEra returns the error of a call whose reply has an invalid era. A write may have taken
// effect.
func (c *client) invalidEra(cl call, err error) error {
	if cl.write {
		return UnknownOutcome{Step: cl.step, Peer: c.peer(), Err: err}
	}
	return Refused{Step: cl.step, Peer: c.peer(), Err: err}
}

func (c *client) request(ctx context.Context, cl call) (*http.Request, error) {
	scheme := "http://"
	if c.settings.TLS {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, cl.method, scheme+c.peer()+cl.path, bytes.NewReader(cl.body))
	if err != nil {
		return nil, err
	}
	if cl.header != nil {
		request.Header = cl.header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+c.settings.Key)
	return request, nil
}

func (c *client) peer() string {
	n := len(c.settings.Addresses)
	if n == 0 {
		return "no address"
	}
	return c.settings.Addresses[c.addressIndex.Load()%uint64(n)].String()
}

func (r reply) value(key string) Value {
	if r.status != http.StatusOK {
		return Value{Key: key, Era: r.era}
	}
	return Value{Key: key, Version: r.version, Era: r.era, Data: r.body}
}

func valuePath(key string) string { return PathValues + url.PathEscape(key) }

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
}
