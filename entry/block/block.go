package block

import (
	"slices"
	"strings"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/taint"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Block is the controller of the blocked parts.
type Block struct {
	log       log.Interface
	lossCount *metrics.Counter
	evidence  *cell.Cell[Evidence]
	names     names
}

// Evidence is what an instance knows of parts that crash targets. It is immutable.
type Evidence struct {
	Book  taint.Book // Book has the parts by their keys.
	Found uint64     // Found counts the crashes that this instance has found itself.
}

// WithBook returns the evidence with another book.
func (e Evidence) WithBook(book taint.Book) Evidence {
	e.Book = book
	return e
}

// WithFound returns the evidence after this instance has found one more crash.
func (e Evidence) WithFound() Evidence {
	e.Found++
	return e
}

// New returns a block without losses.
func New(logger log.Interface, set *metrics.Set) *Block {
	b := &Block{log: logger, lossCount: set.GetOrCreateCounter("bramleywharf_part_losses_total"), evidence: cell.New(Evidence{})}
	set.NewGauge("bramleywharf_parts_blocked", func() float64 { return float64(len(b.Book().Findings(time.Now()))) })
	return b
}

// Blocked reports whether a request whose prompt has some shared parts is blocked.
func (b *Block) Blocked(parts []string) (taint.Finding, bool) {
	book := b.Book()
	if book.Len() == 0 {
		return taint.Finding{}, false
	}
	keys := partKeys(parts)
	f, ok := book.Blocked(keys, time.Now())
	for i, key := range f.Parts {
		f.Parts[i] = parts[slices.Index(keys, key)]
	}
	slices.Sort(f.Parts)
	return f, ok
}

// Answered records that a target has answered a request with some shared parts, or has gone past the begin of its answer.
func (b *Block) Answered(parts []string) {
	if b.Book().Len() == 0 {
		return
	}
	if keys := partKeys(parts); b.Book().HasOpen(keys) {
		b.update(func(e Evidence) Evidence { return e.WithBook(e.Book.WithAnswer(keys)) })
	}
}

// Crash is the crash of a target at the begin of its answer to a request.
type Crash struct {
	Parts   []string // Parts holds the shared parts of the prompt.
	Target  string
	Domain  string // Domain is the target's failure domain.
	Request string
	At      time.Time
}

// Lost records a crash that this instance has found.
func (b *Block) Lost(c Crash) {
	b.lossCount.Inc()
	b.names.add(c.Parts)
	b.update(func(e Evidence) Evidence { return e.WithBook(c.addTo(e.Book)).WithFound() })
}

// Crashed records the crash of a target that was past the begin of its answers. It tells outages of failure domains from
// crashes that a part has caused.
func (b *Block) Crashed(target, domain string, at time.Time) {
	id := taint.LossID{Target: hash(target)}
	b.Merge(taint.NewBook(nil, []taint.Crash{{ID: id, Domain: hashDomain(domain), At: at}}))
}

// Evidence returns what is known now.
func (b *Block) Evidence() Evidence {
	return b.evidence.Load()
}

// Book returns the losses of parts by their keys.
func (b *Block) Book() taint.Book {
	return b.evidence.Load().Book
}

// Changed returns a channel that closes at the next change of the evidence.
func (b *Block) Changed() <-chan struct{} {
	return b.evidence.Changed()
}

// Merge takes losses of parts by their keys.
func (b *Block) Merge(received taint.Book) {
	b.update(func(e Evidence) Evidence { return e.WithBook(e.Book.WithBook(received)) })
}

// WouldBlock reports whether a request with the parts is blocked once Lost was called for the crash.
func (b *Block) WouldBlock(c Crash) bool {
	_, ok := c.addTo(b.Book()).Blocked(partKeys(c.Parts), time.Now())
	return ok
}

// Suspected reports whether a part may crash targets, so that a request with it had better run at one target at a time.
func (b *Block) Suspected(parts []string) bool {
	book := b.Book()
	return book.Len() > 0 && book.Suspected(partKeys(parts), time.Now())
}

// InOutage reports whether the crash is known to belong to the outage of a failure domain.
func (b *Block) InOutage(c Crash) bool {
	return b.Book().InOutage(hashDomain(c.Domain), c.At)
}

// addTo returns a book with the crash.
func (c Crash) addTo(book taint.Book) taint.Book {
	id, domain := taint.LossID{Target: hash(c.Target), Request: hash(c.Request)}, hashDomain(c.Domain)
	crash := taint.NewBook(nil, []taint.Crash{{ID: id, Domain: domain, At: c.At}})
	return book.WithBook(crash.WithLoss(partKeys(c.Parts), taint.Loss{ID: id, Domain: domain, At: c.At}))
}

// update replaces the evidence by the result of change, without losses that have expired, and logs which parts that blocks
// or releases.
func (b *Block) update(change func(Evidence) Evidence) {
	now := time.Now()
	var before, after Evidence
	b.evidence.UpdateNotify(func(old Evidence) (Evidence, bool) {
		next := change(old)
		before, after = old, next.WithBook(next.Book.Without(now))
		return after, before.Found != after.Found || before.Book.Digest() != after.Book.Digest()
	})
	was, is := b.findingsByParts(before.Book, now), b.findingsByParts(after.Book, now)
	for parts, f := range is {
		if _, ok := was[parts]; !ok {
			b.log.WithFields(log.Fields{"parts": parts, "losses": f.Losses, "requests": f.Requests}).Warn("requests with parts that crash targets are refused")
		}
	}
	for parts := range was {
		if _, ok := is[parts]; !ok {
			b.log.WithField("parts", parts).Warn("requests with the parts are no longer refused")
		}
	}
}

// findingsByParts returns the findings of a book by their parts, separated by commas.
func (b *Block) findingsByParts(book taint.Book, now time.Time) map[string]taint.Finding {
	findings := make(map[string]taint.Finding)
	for _, f := range book.Findings(now) {
		findings[strings.Join(b.names.of(f.Parts), ",")] = f
	}
	return findings
}
