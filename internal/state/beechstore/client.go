package beechstore

import (
	"bytes"
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
)

type (
	// Settings of the client. Zero fields get the defaults named.
	Settings struct {
		Addresses      []netip.AddrPort // tried in turn
		TLS            bool             // https; the http.Client has the certificates
		Key            string           // bearer key
		CallTimeout    time.Duration    // of one try; 1 s
		Attempts       int              // tries of a call that may be repeated; 3
		Backoff        time.Duration    // before the second try, jittered, then growing; 20 ms
		CallsPerSecond int              // budget of this process; 50
		Burst          int              // calls at once out of an unused budget; CallsPerSecond
	}

	client struct {
		settings Settings
		http     *http.Client
		clock    clockwork.Clock
		budget   *budget
		address  atomic.Uint64 // index of the address that answered last
	}

	// call is one request of the protocol.
	call struct {
		step       string
		method     string
		path       string
		header     http.Header
		body       []byte
		importance Importance
		timeout    time.Duration
		write      bool
		versioned  bool // its reply must name a version
	}

	// reply is a whole answer of the service.
	reply struct {
		status    int
		version   uint64
		versioned bool // the reply names a version
		body      []byte
	}
)

const (
	defaultCallTimeout    = time.Second
	defaultAttempts       = 3
	defaultBackoff        = 20 * time.Millisecond
	defaultCallsPerSecond = 50
	replySlack            = 64 << 10 // bytes beyond the largest value
)

var errNoAddress = errors.New("no address of the platform's service is set")

// New gives the client of the HTTP protocol. Deadlines and backoff run on
// clock, so do the expiries of the leases it returns.
func New(settings Settings, httpClient *http.Client, clock clockwork.Clock) Store {
	s := settings.withDefaults()
	return &client{settings: s, http: httpClient, clock: clock, budget: newBudget(clock, s.CallsPerSecond, s.Burst)}
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
	r, err := c.retry(ctx, call{step: "get " + key, method: http.MethodGet, path: valuePath(key), importance: importance, versioned: true})
	return r.value(key), err
}

func (c *client) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, importance Importance) (Value, error) {
	h := ifMatch(version)
	if lease != "" {
		h.Set(HeaderLease, lease)
	}
	r, err := c.retry(ctx, call{
		step: "compare and swap " + key, method: http.MethodPut, path: valuePath(key),
		header: h, body: data, importance: importance, write: true, versioned: true,
	})
	if err != nil {
		return Value{}, err
	}
	return Value{Key: key, Version: r.version, Data: data}, nil
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
		importance: importance, timeout: MaxWait + c.settings.CallTimeout, versioned: true,
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

// lease counts the lease's time from before the call: the service starts to
// count later, so the holder's view ends first.
func (c *client) lease(ctx context.Context, l call) (Lease, error) {
	asked := c.clock.Now()
	r, err := c.retry(ctx, l)
	if err != nil {
		return Lease{}, err
	}
	var g GrantReply
	if err := json.Unmarshal(r.body, &g); err != nil {
		return Lease{}, UnknownOutcome{Step: l.step, Peer: c.peer(), Err: err}
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

// retry repeats a call that was refused for now. A lost write is not tried
// again here: the second try could meet the first one's effect and look like
// another's conflict.
func (c *client) retry(ctx context.Context, l call) (reply, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = c.settings.Backoff
	for try := 1; ; try++ {
		r, err := c.once(ctx, l)
		var refused Refused
		if err == nil || !errors.As(err, &refused) || try >= c.settings.Attempts {
			return r, err
		}
		if refused.After == 0 || refused.After > c.settings.Backoff {
			return r, err // the caller is told when to come back, rather than held
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-c.clock.After(pause.NextBackOff()):
		}
	}
}

func (c *client) once(ctx context.Context, l call) (reply, error) {
	if wait := c.budget.take(l.importance); wait > 0 {
		return reply{}, OverBudget{Step: l.step, After: wait}
	}
	if len(c.settings.Addresses) == 0 {
		return reply{}, Refused{Step: l.step, Err: errNoAddress}
	}
	timeout := l.timeout
	if timeout == 0 {
		timeout = c.settings.CallTimeout
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, timeout)
	defer cancel()
	request, err := c.request(ctx, l)
	if err != nil {
		return reply{}, Refused{Step: l.step, Peer: c.peer(), Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, c.failed(l, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+replySlack))
	if err != nil {
		return reply{}, c.failed(l, err)
	}
	version, err := strconv.ParseUint(response.Header.Get(HeaderVersion), 10, 64)
	r := reply{status: response.StatusCode, version: version, versioned: err == nil, body: body}
	return r, c.judge(l, r, response.Header)
}

func (c *client) request(ctx context.Context, l call) (*http.Request, error) {
	scheme := "http://"
	if c.settings.TLS {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, l.method, scheme+c.peer()+l.path, bytes.NewReader(l.body))
	if err != nil {
		return nil, err
	}
	if l.header != nil {
		request.Header = l.header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+c.settings.Key)
	return request, nil
}

func (c *client) peer() string {
	n := len(c.settings.Addresses)
	if n == 0 {
		return "no address"
	}
	return c.settings.Addresses[c.address.Load()%uint64(n)].String()
}

func (r reply) value(key string) Value {
	if r.status != http.StatusOK {
		return Value{Key: key}
	}
	return Value{Key: key, Version: r.version, Data: r.body}
}

func valuePath(key string) string { return PathValues + url.PathEscape(key) }

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
}
