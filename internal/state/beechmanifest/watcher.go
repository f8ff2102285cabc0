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
	// WatcherSettings configures a Watcher. Zero fields get the defaults given here.
	WatcherSettings struct {
		// Watching reports whether this process should watch the head. It is called
		// before each watch; nil means always. See IsWatcher.
		Watching func() bool
		// Report is called with each error while the head is followed, and with nil
		// after the first success that follows an error. It may be nil.
		Report func(error)
		// Check is the time between reads of the head besides the watches: a watch that waits does not notice that the
		// service is silent, and watchers that this process relies on may be cut off. 0: none.
		Check    time.Duration
		Recheck  time.Duration // between calls of Watching while it returns false; 1 s
		MaxPause time.Duration // longest pause between attempts after errors; 2 s
	}

	// Watcher follows the published head and offers each new generation to a Holder. It
	// is a suture service.
	Watcher struct {
		store       beechstore.Store
		holder      *Holder
		clock       clockwork.Clock
		settings    WatcherSettings
		loading     sync.Mutex // guards the following
		loader      *loader
		headVersion uint64 // version of the last head that was processed
		headEra     uint64 // of the store at that time

		mu  sync.Mutex
		err error
	}
)

const (
	minRetryPause   = 50 * time.Millisecond
	defaultRecheck  = time.Second
	defaultMaxPause = 2 * time.Second
	// peerPatience is the time for which peers are left to bring a generation that a check has found: they cost no reads of
	// its parts.
	peerPatience = time.Second
)

// NewWatcher returns a Watcher, which Serve runs.
func NewWatcher(store beechstore.Store, holder *Holder, clock clockwork.Clock, settings WatcherSettings) *Watcher {
	if settings.Recheck == 0 {
		settings.Recheck = defaultRecheck
	}
	if settings.MaxPause == 0 {
		settings.MaxPause = defaultMaxPause
	}
	return &Watcher{store: store, holder: holder, clock: clock, settings: settings, loader: &loader{store: store, clock: clock}}
}

// IsWatcher reports whether self is one of the n processes among the live ones of its zone
// that watch the head; the others get new generations through their links. Processes that
// know the same live processes select the same watchers.
func IsWatcher(self netip.AddrPort, live []netip.AddrPort, n int) bool {
	return slices.Contains(beechmember.Rank(HeadKey, live, n), self)
}

// Serve follows the head until ctx ends. After an error it tries again with increasing
// pauses; the active configuration is kept meanwhile.
func (w *Watcher) Serve(ctx context.Context) error {
	var checks sync.WaitGroup
	defer checks.Wait()
	if w.settings.Check > 0 {
		checks.Go(func() { w.checkHead(ctx) })
	}
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

// Err returns the error of the last attempt to follow the head, or nil if it succeeded.
func (w *Watcher) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// checkHead reads the head regularly until ctx ends.
func (w *Watcher) checkHead(ctx context.Context) {
	for w.wait(ctx, w.settings.Check); ctx.Err() == nil; w.wait(ctx, w.settings.Check) {
		newer, err := w.checkOnce(ctx)
		if newer && err == nil {
			w.wait(ctx, peerPatience)
			newer, err = w.checkOnce(ctx)
		}
		if newer && err == nil {
			err = w.readOnce(ctx)
		}
		if ctx.Err() == nil {
			w.report(err)
		}
	}
}

// checkOnce reports whether the head names a generation that is newer than that of the holder.
func (w *Watcher) checkOnce(ctx context.Context) (newer bool, err error) {
	v, err := w.store.Get(ctx, HeadKey, beechstore.ImportanceConfiguration)
	if err != nil {
		return false, err
	}
	h, err := decodeHead(v)
	if errors.Is(err, ErrNone) {
		return false, nil
	}
	return err == nil && h.Generation > w.holder.Generation(), err
}

func (w *Watcher) readOnce(ctx context.Context) error {
	v, err := w.store.Get(ctx, HeadKey, beechstore.ImportanceConfiguration)
	if err != nil {
		return err
	}
	return w.apply(ctx, v)
}

// followOnce waits until the head differs from the last one and offers its manifest to the
// holder.
func (w *Watcher) followOnce(ctx context.Context) error {
	w.loading.Lock()
	last := w.headVersion
	w.loading.Unlock()
	v, err := w.store.Watch(ctx, HeadKey, last, beechstore.ImportanceConfiguration)
	if err != nil {
		return err
	}
	return w.apply(ctx, v)
}

// apply offers the manifest of a head to the holder if the head differs from the last one.
func (w *Watcher) apply(ctx context.Context, v beechstore.Value) error {
	w.loading.Lock()
	defer w.loading.Unlock()
	if v.Version == w.headVersion && v.Era == w.headEra {
		return nil // the watch timed out without a change
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
	w.headVersion, w.headEra = v.Version, v.Era
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
