package beechmanifest

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechmember"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// WatcherSettings of a Watcher. Zero fields get the defaults named.
	WatcherSettings struct {
		// Watching tells whether this process is to watch, asked before each
		// wait; nil: always. See Watches.
		Watching func() bool
		// Report is told of each failure to follow the head, and with nil of
		// the end of failures; nil: nobody is told.
		Report   func(error)
		Recheck  time.Duration // between questions of Watching that said no; 1 s
		MaxPause time.Duration // longest pause after failures; 2 s
	}

	// Watcher follows the published head and offers each new generation to a
	// holder. It is a suture service.
	Watcher struct {
		store       beechstore.Store
		holder      *Holder
		clock       clockwork.Clock
		settings    WatcherSettings
		loader      *loader
		headVersion uint64 // of the head last dealt with

		mu  sync.Mutex
		err error
	}
)

const (
	minRetryPause   = 50 * time.Millisecond
	defaultRecheck  = time.Second
	defaultMaxPause = 2 * time.Second
)

// NewWatcher makes a watcher; Serve runs it.
func NewWatcher(store beechstore.Store, holder *Holder, clock clockwork.Clock, settings WatcherSettings) *Watcher {
	if settings.Recheck == 0 {
		settings.Recheck = defaultRecheck
	}
	if settings.MaxPause == 0 {
		settings.MaxPause = defaultMaxPause
	}
	return &Watcher{store: store, holder: holder, clock: clock, settings: settings, loader: &loader{store: store, clock: clock}}
}

// IsWatcher tells whether self is one of the n watchers among the live
// processes of its zone: the same at all that know the same live ones, so a
// few of them watch and the others get the generation from their links.
func IsWatcher(self netip.AddrPort, live []netip.AddrPort, n int) bool {
	return slices.Contains(beechmember.Rank(HeadKey, live, n), self)
}

// Serve follows the head until ctx ends. What fails is tried again with a
// growing pause; what is in force stays meanwhile.
func (w *Watcher) Serve(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minRetryPause
	pause.MaxInterval = w.settings.MaxPause
	for ctx.Err() == nil {
		if w.settings.Watching != nil && !w.settings.Watching() {
			w.wait(ctx, w.settings.Recheck)
			continue
		}
		err := w.followOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		w.report(err)
		if err == nil {
			pause.Reset()
			continue
		}
		w.wait(ctx, pause.NextBackOff())
	}
	return ctx.Err()
}

// Err gives why the head cannot be followed now, nil if it can.
func (w *Watcher) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// followOnce waits for a head that differs from the last one and offers it.
func (w *Watcher) followOnce(ctx context.Context) error {
	v, err := w.store.Watch(ctx, HeadKey, w.headVersion, beechstore.ImportanceConfiguration)
	if err != nil {
		return err
	}
	if v.Version == w.headVersion {
		return nil // the wait ended without news
	}
	generation, data, err := w.loader.load(ctx, v)
	if errors.Is(err, ErrNone) && w.holder.Current() == nil {
		err = nil
	}
	if err != nil {
		return err
	}
	if len(data) > 0 {
		if _, err := w.holder.Offer(generation, data); err != nil {
			return err
		}
	}
	w.headVersion = v.Version
	return nil
}

func (w *Watcher) report(err error) {
	w.mu.Lock()
	changed := err != nil || w.err != nil
	w.err = err
	w.mu.Unlock()
	if changed && w.settings.Report != nil {
		w.settings.Report(err)
	}
}

func (w *Watcher) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(d):
	}
}
