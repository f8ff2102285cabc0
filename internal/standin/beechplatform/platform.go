package beechplatform

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Settings configures a Platform. Zero fields get the defaults given below.
	Settings struct {
		Key             string // bearer key required of each call; any if empty
		WritesPerSecond int    // default 400
		ReadsPerSecond  int    // default 2000
	}

	// Fault is the set of injected faults; the zero Fault ends all faults.
	Fault struct {
		Down          bool `json:"down"`          // calls fail with status 503
		Cut           bool `json:"cut"`           // connections are closed without a reply
		SlowMillis    int  `json:"slowMillis"`    // calls are delayed by this time
		LoseReplies   int  `json:"loseReplies"`   // number of writes that take effect but get no reply; the connection is closed
		LoseWrites    int  `json:"loseWrites"`    // number of writes that take no effect and get no reply; the connection is closed
		ExpireLeases  bool `json:"expireLeases"`  // all current leases expire
		HostLagMillis int  `json:"hostLagMillis"` // changes show in the host list after this time
	}

	// Counts is the reply to GET /standin/counts. OverRate counts reads and
	// writes that exceeded the rate.
	Counts struct {
		Reads    int `json:"reads"`
		Writes   int `json:"writes"`
		OverRate int `json:"overRate"`
	}

	// Platform simulates the platform's service. A beechstore.Fake holds its
	// state.
	Platform struct {
		settings Settings
		clock    clockwork.Clock
		fake     *beechstore.Fake
		writes   *rate.Limiter
		reads    *rate.Limiter

		mu     sync.Mutex
		fault  Fault
		counts Counts
	}
)

const (
	defaultWrites = 400
	defaultReads  = 2000
)

// New returns a Platform without values, leases or hosts. The clock drives
// leases, delays and rate limits.
func New(settings Settings, clock clockwork.Clock) *Platform {
	if settings.WritesPerSecond == 0 {
		settings.WritesPerSecond = defaultWrites
	}
	if settings.ReadsPerSecond == 0 {
		settings.ReadsPerSecond = defaultReads
	}
	return &Platform{
		settings: settings,
		clock:    clock,
		fake:     beechstore.NewFake(clock),
		writes:   rate.NewLimiter(rate.Limit(settings.WritesPerSecond), settings.WritesPerSecond),
		reads:    rate.NewLimiter(rate.Limit(settings.ReadsPerSecond), settings.ReadsPerSecond),
	}
}

// Fake returns the state behind the HTTP server, for tests in the same process.
func (p *Platform) Fake() *beechstore.Fake { return p.fake }

// SetFault replaces the injected faults.
func (p *Platform) SetFault(f Fault) {
	if f.ExpireLeases {
		p.fake.ExpireLeases()
	}
	// Lost replies are simulated here, where the connection can be closed, and
	// not in the fake. The fake gets an outage only to end its blocked watches.
	p.fake.SetFaults(beechstore.Faults{
		Down:    f.Down || f.Cut,
		HostLag: time.Duration(f.HostLagMillis) * time.Millisecond,
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Handler returns the handler of the beechstore protocol and of the paths under
// /standin/.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+beechstore.PathValues+"{key}", p.readHandler(p.getValue))
	m.HandleFunc("PUT "+beechstore.PathValues+"{key}", p.writeHandler(p.putValue))
	m.HandleFunc("DELETE "+beechstore.PathValues+"{key}", p.writeHandler(p.deleteValue))
	m.HandleFunc("POST "+beechstore.PathLeases, p.writeHandler(p.grantLease))
	m.HandleFunc("POST "+beechstore.PathLeases+"/{id}", p.writeHandler(p.keepLeaseAlive))
	m.HandleFunc("GET "+beechstore.PathHosts, p.readHandler(p.listHosts))
	m.HandleFunc("POST /standin/fault", p.serveFault)
	m.HandleFunc("POST /standin/hosts", p.serveHosts)
	m.HandleFunc("GET /standin/counts", p.serveCounts)
	return m
}

func (p *Platform) readHandler(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, ok := p.admit(w, r, p.reads, func(c *Counts) { c.Reads++ })
		if !ok || !p.delay(r.Context(), f) {
			return
		}
		h(w, r)
	}
}

func (p *Platform) writeHandler(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, ok := p.admit(w, r, p.writes, func(c *Counts) { c.Writes++ })
		if !ok || !p.delay(r.Context(), f) {
			return
		}
		if p.consume(func(f *Fault) *int { return &f.LoseWrites }) {
			panic(http.ErrAbortHandler)
		}
		if p.consume(func(f *Fault) *int { return &f.LoseReplies }) {
			h(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// admit counts a call and checks faults, the bearer key and the rate limit. If
// it returns false, the call has been answered with an error.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, count func(*Counts)) (Fault, bool) {
	p.mu.Lock()
	f := p.fault
	count(&p.counts)
	allowed := limit.AllowN(p.clock.Now(), 1)
	if !allowed {
		p.counts.OverRate++
	}
	p.mu.Unlock()
	switch {
	case f.Cut:
		panic(http.ErrAbortHandler)
	case f.Down:
		writeError(w, http.StatusServiceUnavailable, "the service is down")
	case !p.authorised(r):
		writeError(w, http.StatusUnauthorized, "wrong bearer key")
	case !allowed:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "over the rate of calls")
	default:
		return f, true
	}
	return f, false
}

func (p *Platform) authorised(r *http.Request) bool {
	if p.settings.Key == "" {
		return true
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(key), []byte(p.settings.Key)) == 1
}

func (p *Platform) delay(ctx context.Context, f Fault) bool {
	if f.SlowMillis == 0 {
		return true
	}
	select {
	case <-p.clock.After(time.Duration(f.SlowMillis) * time.Millisecond):
		return true
	case <-ctx.Done():
		return false
	}
}

// consume decrements the counter of a fault and returns false if it was 0.
func (p *Platform) consume(of func(*Fault) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := of(&p.fault)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (p *Platform) getValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	if !query.Has(beechstore.QueryWatch) {
		v, err := p.fake.Get(r.Context(), key, 0)
		writeValue(w, v, err)
		return
	}
	version, err := strconv.ParseUint(query.Get(beechstore.QueryWatch), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "watch: want a version: "+err.Error())
		return
	}
	ctx := r.Context()
	if millis, err := strconv.Atoi(query.Get(beechstore.QueryWait)); err == nil && millis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, p.clock, time.Duration(millis)*time.Millisecond)
		defer cancel()
	}
	v, err := p.fake.Watch(ctx, key, version, 0)
	if ctx.Err() != nil && r.Context().Err() == nil {
		v, err = p.fake.Get(r.Context(), key, 0)
	}
	writeValue(w, v, err)
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, beechstore.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "a value may have at most 1 MB")
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler) // incomplete body: the client disconnected
	}
	v, err := p.fake.CompareAndSwap(r.Context(), r.PathValue("key"), version, data, r.Header.Get(beechstore.HeaderLease), 0)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	setVersion(w, v)
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) deleteValue(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	if err := p.fake.Delete(r.Context(), r.PathValue("key"), version, 0); err != nil {
		writeStoreError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request) {
	var g beechstore.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil || g.TTLMillis <= 0 {
		writeError(w, http.StatusBadRequest, "want a ttl above 0 in milliseconds")
		return
	}
	l, err := p.fake.Grant(r.Context(), time.Duration(g.TTLMillis)*time.Millisecond, 0)
	writeLease(w, l, err)
}

func (p *Platform) keepLeaseAlive(w http.ResponseWriter, r *http.Request) {
	l, err := p.fake.KeepAlive(r.Context(), beechstore.Lease{ID: r.PathValue("id")}, 0)
	writeLease(w, l, err)
}

func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.fake.Hosts(r.Context(), 0)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	lines := make([]beechstore.WireHost, 0, len(hosts))
	for _, h := range hosts {
		lines = append(lines, h.Wire())
	}
	writeJSON(w, lines)
}
