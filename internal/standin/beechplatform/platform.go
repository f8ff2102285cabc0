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
	// Settings of the stand-in. Zero fields get the defaults named.
	Settings struct {
		Key             string // bearer key of each call; empty: any
		WritesPerSecond int    // 400
		ReadsPerSecond  int    // 2000
	}

	// Fault is what goes wrong from now on; the zero Fault ends all faults.
	Fault struct {
		Down          bool `json:"down"`          // each call gets a 503
		Cut           bool `json:"cut"`           // each connection is closed without a reply
		SlowMillis    int  `json:"slowMillis"`    // each call waits so long first
		LoseReplies   int  `json:"loseReplies"`   // this many writes take effect, then the connection is closed
		LoseWrites    int  `json:"loseWrites"`    // this many writes take no effect, the connection is closed
		ExpireLeases  bool `json:"expireLeases"`  // each lease ends now
		HostLagMillis int  `json:"hostLagMillis"` // the host list shows changes so much later
	}

	// Counts is the reply to GET /standin/counts.
	Counts struct {
		Reads    int `json:"reads"`
		Writes   int `json:"writes"`
		OverRate int `json:"overRate"`
	}

	// Platform is the stand-in; its state is a beechstore.Fake.
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

// New starts empty; clock runs leases, lags and rates.
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

// Fake is the state behind the HTTP server, for tests in the same process.
func (p *Platform) Fake() *beechstore.Fake { return p.fake }

// SetFault replaces what goes wrong.
func (p *Platform) SetFault(f Fault) {
	if f.ExpireLeases {
		p.fake.ExpireLeases()
	}
	// Replies are lost here, where a connection can be cut, not in the fake.
	// The fake is told of an outage only to end the watches that wait in it.
	p.fake.SetFaults(beechstore.Faults{
		Down:    f.Down || f.Cut,
		HostLag: time.Duration(f.HostLagMillis) * time.Millisecond,
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Counts gives the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Handler serves the protocol and the paths under /standin/.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+beechstore.PathValues+"{key}", p.read(p.get))
	m.HandleFunc("PUT "+beechstore.PathValues+"{key}", p.write(p.put))
	m.HandleFunc("DELETE "+beechstore.PathValues+"{key}", p.write(p.remove))
	m.HandleFunc("POST "+beechstore.PathLeases, p.write(p.grant))
	m.HandleFunc("POST "+beechstore.PathLeases+"/{id}", p.write(p.keepAlive))
	m.HandleFunc("GET "+beechstore.PathHosts, p.read(p.hosts))
	m.HandleFunc("POST /standin/fault", p.serveFault)
	m.HandleFunc("POST /standin/hosts", p.serveHosts)
	m.HandleFunc("GET /standin/counts", p.serveCounts)
	return m
}

func (p *Platform) read(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, ok := p.begin(w, r, p.reads, func(c *Counts) { c.Reads++ })
		if !ok || !p.delay(r.Context(), f) {
			return
		}
		h(w, r)
	}
}

func (p *Platform) write(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, ok := p.begin(w, r, p.writes, func(c *Counts) { c.Writes++ })
		if !ok || !p.delay(r.Context(), f) {
			return
		}
		if p.spend(func(f *Fault) *int { return &f.LoseWrites }) {
			panic(http.ErrAbortHandler)
		}
		if p.spend(func(f *Fault) *int { return &f.LoseReplies }) {
			h(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// begin counts the call and refuses what the platform would refuse.
func (p *Platform) begin(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, count func(*Counts)) (Fault, bool) {
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
		fail(w, http.StatusServiceUnavailable, "the service is down")
	case !p.authorised(r):
		fail(w, http.StatusUnauthorized, "wrong bearer key")
	case !allowed:
		w.Header().Set("Retry-After", "1")
		fail(w, http.StatusTooManyRequests, "over the rate of calls")
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

// spend takes one of a counted fault.
func (p *Platform) spend(of func(*Fault) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := of(&p.fault)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	if !query.Has(beechstore.QueryWatch) {
		v, err := p.fake.Get(r.Context(), key, 0)
		answerValue(w, v, err)
		return
	}
	version, err := strconv.ParseUint(query.Get(beechstore.QueryWatch), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "watch: want a version: "+err.Error())
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
	answerValue(w, v, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	version, ok := expected(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, beechstore.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		fail(w, http.StatusRequestEntityTooLarge, "a value may have at most 1 MB")
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler) // half a body: the writer is gone
	}
	v, err := p.fake.CompareAndSwap(r.Context(), r.PathValue("key"), version, data, r.Header.Get(beechstore.HeaderLease), 0)
	if err != nil {
		answerError(w, err)
		return
	}
	w.Header().Set(beechstore.HeaderVersion, strconv.FormatUint(v.Version, 10))
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	version, ok := expected(w, r)
	if !ok {
		return
	}
	if err := p.fake.Delete(r.Context(), r.PathValue("key"), version, 0); err != nil {
		answerError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	var g beechstore.GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil || g.TTLMillis <= 0 {
		fail(w, http.StatusBadRequest, "want a ttl above 0 in milliseconds")
		return
	}
	l, err := p.fake.Grant(r.Context(), time.Duration(g.TTLMillis)*time.Millisecond, 0)
	answerLease(w, l, err)
}

func (p *Platform) keepAlive(w http.ResponseWriter, r *http.Request) {
	l, err := p.fake.KeepAlive(r.Context(), beechstore.Lease{ID: r.PathValue("id")}, 0)
	answerLease(w, l, err)
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.fake.Hosts(r.Context(), 0)
	if err != nil {
		answerError(w, err)
		return
	}
	lines := make([]beechstore.WireHost, 0, len(hosts))
	for _, h := range hosts {
		lines = append(lines, h.Wire())
	}
	answerJSON(w, lines)
}
