package taint

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minRequests is the number of different requests with a part that have to be lost before it is blocked.
	minRequests = 3
	// minSuspectCrashes is the number of crashes after which a part is suspected.
	minSuspectCrashes = 2
	// minMoments is the number of different moments at which they have to be lost, since a failure domain that is lost
	// ends many requests at once.
	minMoments = 3
	// minRepeatCrashes is the number of crashes that is enough, whatever their moments, if one of the requests was lost again at
	// its next target, which the outage of a failure domain does not explain.
	minRepeatCrashes = 4
	// momentLength is the time within which losses count as one moment.
	momentLength = 500 * time.Millisecond
	// lossTTL is the age at which a loss no longer counts. Refused requests are no evidence, so a part that is blocked
	// is tried again after this time.
	lossTTL = 5 * time.Minute
	// maxParts, maxLosses and maxCrashes bound the book.
	maxParts   = 48
	maxLosses  = 16
	maxCrashes = 128
	// outageTargets is the number of targets of one failure domain whose crashes at one moment are an outage of the domain.
	// Two requests with a part that crashes targets may crash two of them at the same time.
	outageTargets = 3
	// settleTime is the age at which the losses of an outage are dropped. Until then instances learn of each other's crashes.
	settleTime = 10 * time.Second
	// crashTTL is the age at which a crash is dropped. Outages are recognised within a few seconds.
	crashTTL = 30 * time.Second
)

// LossID identifies a loss on all instances.
type LossID struct {
	Target  uint64 // Target is a hash of the target's start.
	Request uint64 // Request is a hash of the request's id.
}

// Loss is the crash of a target that was at the begin of its answer to a request with a part.
type Loss struct {
	ID      LossID
	Domain  uint64 // Domain is a hash of the target's failure domain, or 0 if it is unknown.
	At      time.Time
	Excused bool // Excused tells that a request with the part was answered since.
}

// Crash is the crash of a target, whatever it worked on. Crashes are kept longer than the losses of an outage, so that
// losses which another instance still has are recognised too.
type Crash struct {
	ID     LossID // ID has no request if the target was past the begin of its answers.
	Domain uint64
	At     time.Time
}

// Book holds the losses of parts. It is immutable; the zero value is empty.
type Book struct {
	parts   map[string][]Loss // parts maps the ids of parts to their losses, in the order of their times.
	crashes []Crash           // crashes holds the recent crashes in the order of their ids.
}

// Finding tells why requests are blocked: their prompts have all of Parts.
type Finding struct {
	Parts    []string // Parts holds one part, or several that all lost requests have in common.
	Losses   int      // Losses is the number of targets that were lost.
	Requests int      // Requests is the number of requests at which they were lost.
}

// Crashes returns the recent crashes of targets; the caller must not modify them.
func (b Book) Crashes() []Crash {
	return b.crashes
}

// Len returns the number of parts with losses.
func (b Book) Len() int {
	return len(b.parts)
}

// Digest identifies the losses and crashes of the book, whatever their times; it is 0 if there are none.
func (b Book) Digest() uint64 {
	digest := uint64(0)
	for _, crash := range b.crashes {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, "crash ", crash.ID.Target, " ", crash.ID.Request)
		digest ^= h.Sum64()
	}
	for part, losses := range b.parts {
		for _, l := range losses {
			h := fnv.New64a()
			_, _ = fmt.Fprint(h, part, l.ID.Target, " ", l.ID.Request, l.Excused)
			digest ^= h.Sum64()
		}
	}
	return digest
}

// All returns the losses of each part; the caller must not modify them.
func (b Book) All() map[string][]Loss {
	return b.parts
}

// WithLoss returns the book with one more loss for each of some parts.
func (b Book) WithLoss(parts []string, loss Loss) Book {
	next := Book{parts: make(map[string][]Loss, len(parts))}
	for _, part := range parts {
		next.parts[part] = []Loss{loss}
	}
	return b.WithBook(next)
}

// NewBook returns a book of losses by part and of crashes.
func NewBook(parts map[string][]Loss, crashes []Crash) Book {
	return Book{}.WithBook(Book{parts: parts, crashes: crashes})
}

// IsExpired reports whether a loss at a time no longer counts.
func IsExpired(at, now time.Time) bool {
	return now.Sub(at) > lossTTL
}

// HasOpen reports whether WithAnswer would change the book.
func (b Book) HasOpen(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		return slices.ContainsFunc(b.parts[part], func(l Loss) bool { return !l.Excused })
	})
}

// WithAnswer returns the book after a target has answered a request with some parts as a whole, which excuses their losses
// so far.
func (b Book) WithAnswer(parts []string) Book {
	next := Book{parts: maps.Clone(b.parts), crashes: b.crashes}
	for _, part := range parts {
		losses := slices.Clone(next.parts[part])
		for i := range losses {
			losses[i].Excused = true
		}
		if len(losses) > 0 {
			next.parts[part] = losses
		}
	}
	return next
}

// WithBook returns the book with the losses of another one.
func (b Book) WithBook(other Book) Book {
	if len(other.parts) == 0 && len(other.crashes) == 0 {
		return b
	}
	next := Book{parts: make(map[string][]Loss, len(b.parts)+len(other.parts)), crashes: mergeCrashes(b.crashes, other.crashes)}
	maps.Copy(next.parts, b.parts)
	for part, losses := range other.parts {
		next.parts[part] = mergeLosses(next.parts[part], losses)
	}
	return next.bounded()
}

// Without returns the book without the losses and crashes that no longer count at a time, and without the losses of outages
// that are settled.
func (b Book) Without(now time.Time) Book {
	next := Book{parts: make(map[string][]Loss, len(b.parts))}
	for _, crash := range b.crashes {
		if now.Sub(crash.At) <= crashTTL {
			next.crashes = append(next.crashes, crash)
		}
	}
	for part, losses := range b.parts {
		isBlocked := sync.OnceValue(func() bool { return b.isFound(part, now) })
		kept := slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool {
			return IsExpired(l.At, now) || now.Sub(l.At) >= settleTime && b.InOutage(l.Domain, l.At) && !isBlocked()
		})
		if len(kept) > 0 {
			next.parts[part] = kept
		}
	}
	return next
}

// Blocked reports whether a request with some parts is blocked. Parts that were in requests at the same crashes block a
// request that has all of them. One that has some of them goes on, since the outcome tells which part is to blame.
func (b Book) Blocked(parts []string, now time.Time) (Finding, bool) {
	if !b.hasFound(parts, now) {
		return Finding{}, false
	}
	return b.evidence(now).blocked(parts)
}

// Findings returns what requests are blocked for.
func (b Book) Findings(now time.Time) []Finding {
	if !b.hasFound(slices.Collect(maps.Keys(b.parts)), now) {
		return nil
	}
	e := b.evidence(now)
	var findings []Finding
	for _, part := range slices.Sorted(maps.Keys(e.found)) {
		if f, ok := e.blocked(e.inseparable(part)); ok && f.Parts[0] == part {
			findings = append(findings, f)
		}
	}
	return findings
}

// isSameCrash reports whether two losses belong to one crash of a target, which may restart under its name.
func (l Loss) isSameCrash(other Loss) bool {
	return l.ID.Target == other.ID.Target && l.At.Sub(other.At).Abs() <= momentLength
}

// bounded returns the book with the most telling parts only.
func (b Book) bounded() Book {
	if len(b.parts) <= maxParts {
		return b
	}
	names := slices.SortedFunc(maps.Keys(b.parts), func(x, y string) int {
		return cmp.Or(
			cmp.Compare(openCount(b.parts[y]), openCount(b.parts[x])),
			compareIDs(firstByID(b.parts[x]), firstByID(b.parts[y])),
			cmp.Compare(x, y),
		)
	})
	next := Book{parts: make(map[string][]Loss, maxParts), crashes: b.crashes}
	for _, name := range names[:maxParts] {
		next.parts[name] = b.parts[name]
	}
	return next
}

// openCount returns the number of losses that are not excused.
func openCount(losses []Loss) int {
	count := 0
	for _, l := range losses {
		if !l.Excused {
			count++
		}
	}
	return count
}

// firstByID returns the loss with the first id. As ids are hashes, a part has a chance of a place in a full book with
// each of its losses, whatever its name.
func firstByID(losses []Loss) Loss {
	return slices.MinFunc(losses, compareIDs)
}
