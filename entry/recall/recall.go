package recall

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"bramleywharf.example/core/taint"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/block"
	"bramleywharf.example/entry/stored"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// objectName names the object that holds the losses.
	objectName = "part-losses"
	// electedCount is the number of instances that store what the object lacks; one may be cut off from the store.
	electedCount = 2
	// checkInterval is the time between two checks whether the store came back from a copy.
	checkInterval = 800 * time.Millisecond
	// catchUpInterval is the least time from one write of an elected instance to the next. What it stores is less urgent than
	// crashes, which their finders store, and each call is billed.
	catchUpInterval = 5 * time.Second
	// spreadPerInstance is the time over which finders spread their writes, for each instance of the fleet: an outage ends
	// targets at many instances at once, and each write that crosses with another costs two calls more.
	spreadPerInstance = 1500 * time.Microsecond
	// writePause is the least time between two writes of an instance. Crashes that it finds within it are stored together.
	writePause = 100 * time.Millisecond
	// conflictPauseMin and conflictPauseMax bound the longest pause after a write that crossed with another instance's, which
	// doubles with each further one. In the later ones instances pass losses on, so that one stores what many have found.
	conflictPauseMin = 30 * time.Millisecond
	conflictPauseMax = 800 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call. Failed calls are billed too, but what is found while the
	// store is away is lost with all instances until it is stored.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
)

// Settings configures a Recall.
type Settings struct {
	Records stored.Records
	Kind    string                            // Kind is the kind of the stored object.
	Elected func(role string, count int) bool // Elected reports whether this instance is among some that are elected for a role.
	Era     func() uint64                     // Era returns the latest era of the store that is known.
	Size    func() int                        // Size returns the number of instances.
	Blocks  *block.Block
}

// Recall is the controller of the stored losses.
type Recall struct {
	*wait.Loop
	settings Settings
	log      log.Interface
	writes   *metrics.Counter
	loaded   chan struct{} // loaded is closed when the losses that were stored before the start are known.
}

// progress is what is known of the stored object. It is immutable.
type progress struct {
	book   taint.Book // book is what the object held last.
	found  uint64     // found is the number of own crashes that it holds.
	digest uint64     // digest is that of the losses from which it was last brought up to date.
	at     time.Time  // at is when that was.
	era    uint64     // era is that of the store at that time.
}

// New starts to read the stored losses, and then to store new ones.
func New(s Settings, logger log.Interface, set *metrics.Set) *Recall {
	r := &Recall{settings: s, log: logger, writes: set.GetOrCreateCounter("bramleywharf_part_losses_stored_total"), loaded: make(chan struct{})}
	r.Loop = wait.Start(func(ctx context.Context) {
		if p, ok := r.load(ctx); ok {
			close(r.loaded)
			r.follow(ctx, p)
		}
	})
	return r
}

// Loaded returns a channel that closes when the losses that were stored before the start are known.
func (r *Recall) Loaded() <-chan struct{} {
	return r.loaded
}

// load reads the stored losses, and tries again until it has; it returns false if ctx ends before. No request may be
// passed on before, since its prompt may have a part that has crashed targets.
func (r *Recall) load(ctx context.Context) (progress, bool) {
	pause := retryMin
	for failing := false; ; failing = true {
		era := r.settings.Era()
		book, _, err := r.read(ctx)
		if err == nil {
			r.settings.Blocks.Merge(book)
			r.log.WithFields(log.Fields{"step": "losses", "objects": book.Len()}).Info("losses of parts of prompts are read")
			return progress{book: book, era: era, at: time.Now()}, true
		}
		if !failing {
			r.log.WithError(err).WithField("step", "losses").Warn("store is unreachable; trying again")
		}
		if !wait.Sleep(ctx, pause) {
			return progress{}, false
		}
		pause = min(2*pause, retryMax)
	}
}

// follow stores what the object lacks until ctx ends.
func (r *Recall) follow(ctx context.Context, p progress) {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	failing, retryPause, conflictPause := false, retryMin, conflictPauseMin
	for {
		changed := r.settings.Blocks.Changed()
		if r.isOwnDue(p) {
			if !wait.Sleep(ctx, rand.N(max(1, time.Duration(r.settings.Size())*spreadPerInstance))) {
				return
			}
		} else {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				continue
			case <-check.C:
				if !r.isElectedDue(p) {
					continue
				}
			}
		}
		next, err := r.store(ctx, p)
		pause := writePause
		switch {
		case err == nil:
			p, retryPause, conflictPause = next, retryMin, conflictPauseMin
		case errors.Is(err, stored.ErrConflict), errors.Is(err, stored.ErrMissing):
			err = nil
			pause, conflictPause = rand.N(conflictPause), min(2*conflictPause, conflictPauseMax)
		default:
			pause, retryPause = retryPause, min(2*retryPause, retryMax)
		}
		if (err != nil) != failing {
			failing = err != nil
			r.log.WithField("failing", failing).Info("storing losses of parts of prompts failed or recovered")
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

// isOwnDue reports whether the object may lack a crash that this instance has found.
func (r *Recall) isOwnDue(p progress) bool {
	return r.settings.Blocks.Evidence().Found != p.found
}

// isElectedDue reports whether this instance is elected and the object lacks losses or excuses.
func (r *Recall) isElectedDue(p progress) bool {
	if !r.settings.Elected("losses", electedCount) {
		return false
	}
	book := r.settings.Blocks.Book()
	if r.settings.Era() != p.era {
		return book.Len() > 0 // The store came back from a copy, which may lack them.
	}
	return time.Since(p.at) >= catchUpInterval && book.Digest() != p.digest && !p.book.Covers(book)
}

// store adds to the object what it lacks of the losses that are known here.
func (r *Recall) store(ctx context.Context, p progress) (progress, error) {
	p.era = r.settings.Era()
	held, revision, err := r.read(ctx)
	if err != nil {
		return p, err
	}
	evidence, now := r.settings.Blocks.Evidence(), time.Now()
	p.book, p.found, p.digest, p.at = held, evidence.Found, evidence.Book.Digest(), now
	if held.Covers(evidence.Book) {
		return p, nil
	}
	p.book = evidence.Book.WithBook(held.WithTimesOf(evidence.Book))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if revision == 0 {
		_, err = r.settings.Records.Create(ctx, r.settings.Kind, objectName, encode(p.book, now))
	} else {
		_, err = r.settings.Records.Replace(ctx, r.settings.Kind, objectName, revision, encode(p.book, now))
	}
	if err != nil {
		return p, fmt.Errorf("store losses: %w", err)
	}
	r.writes.Inc()
	return p, nil
}

// read returns the stored losses and the revision of their object, or 0 if there is none.
func (r *Recall) read(ctx context.Context) (taint.Book, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var raw json.RawMessage
	revision, err := r.settings.Records.Get(ctx, r.settings.Kind, objectName, &raw)
	if errors.Is(err, stored.ErrMissing) {
		return taint.Book{}, 0, nil
	}
	if err != nil {
		return taint.Book{}, 0, fmt.Errorf("read losses: %w", err)
	}
	var value bookValue
	if err := json.Unmarshal(raw, &value); err != nil {
		r.log.WithError(err).WithFields(log.Fields{"kind": r.settings.Kind, "entry": objectName, "revision": revision}).Warn("stored object is invalid; ignoring it")
		value = bookValue{}
	}
	return value.book(time.Now()), revision, nil
}
