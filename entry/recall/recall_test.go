package recall

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/taint"
	"bramleywharf.example/entry/block"
	"bramleywharf.example/entry/stored"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// storeFault says how the fake store treats calls.
type storeFault int

const (
	sound   storeFault = iota
	away               // Calls get no response and change nothing.
	refused            // Calls are refused.
	lossy              // Writes are made and get no response.
	late               // Writes get no response and are made some seconds later.
)

// fakeStore is a store with one object that several instances use.
type fakeStore struct {
	mu            sync.Mutex
	fault         storeFault
	era, revision uint64 // revision is 0 while there is no object.
	raw           []byte
	copied        []byte // copied is the object in the copy that drill restores.
	copiedAt      uint64 // copiedAt is the revision of that object.
	reads, writes int
	size          int           // size is the number of instances in the fleet.
	latency       time.Duration // latency is the time that a call takes on its way there.
}

// Get reads the object.
func (s *fakeStore) Get(ctx context.Context, _, _ string, value any) (uint64, error) {
	time.Sleep(s.latency)
	s.mu.Lock()
	s.reads++
	fault, revision, raw := s.fault, s.revision, s.raw
	s.mu.Unlock()
	switch {
	case fault == away:
		<-ctx.Done()
		return 0, ctx.Err()
	case fault == refused:
		return 0, errors.New("status 503")
	case revision == 0:
		return 0, stored.ErrMissing
	default:
		return revision, json.Unmarshal(raw, value)
	}
}

// Create stores the object if there is none.
func (s *fakeStore) Create(ctx context.Context, _, _ string, value any) (uint64, error) {
	return s.write(ctx, 0, value)
}

// Replace stores the object if it has the given revision.
func (s *fakeStore) Replace(ctx context.Context, _, _ string, revision uint64, value any) (uint64, error) {
	return s.write(ctx, revision, value)
}

// write stores the object if it has the given revision, or treats the call as the fault says.
func (s *fakeStore) write(ctx context.Context, revision uint64, value any) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	time.Sleep(s.latency)
	s.mu.Lock()
	s.writes++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case away:
		<-ctx.Done()
		return 0, ctx.Err()
	case refused:
		return 0, errors.New("status 429")
	case lossy:
		_, _ = s.apply(revision, raw)
		<-ctx.Done()
		return 0, ctx.Err()
	case late:
		time.AfterFunc(3*time.Second, func() { _, _ = s.apply(revision, raw) })
		<-ctx.Done()
		return 0, ctx.Err()
	default:
		return s.apply(revision, raw)
	}
}

// apply stores the object if it has the given revision.
func (s *fakeStore) apply(revision uint64, raw []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision != revision {
		return 0, stored.ErrConflict
	}
	s.revision++
	s.raw = raw
	return s.revision, nil
}

// calls returns the numbers of reads and writes.
func (s *fakeStore) calls() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []int{s.reads, s.writes}
}

// fail sets the fault.
func (s *fakeStore) fail(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// copyNow takes the copy that drill restores.
func (s *fakeStore) copyNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedAt = s.raw, s.revision
}

// drill restores the copy in a new era.
func (s *fakeStore) drill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw, s.revision = s.copied, s.copiedAt
	s.era++
}

// eraNow returns the era.
func (s *fakeStore) eraNow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// member is an instance of a fleet that shares a store.
type member struct {
	blocks *block.Block
	recall *Recall
}

// startMember starts an instance that is elected or not.
func startMember(s *fakeStore, elected bool) member {
	logger, set := &log.Logger{Handler: memory.New(), Level: log.InfoLevel}, metrics.NewSet()
	m := member{blocks: block.New(logger, set)}
	m.recall = New(Settings{Records: s, Kind: "kind", Elected: func(string, int) bool { return elected }, Size: func() int { return s.size }, Era: s.eraNow, Blocks: m.blocks}, logger, set)
	return m
}

// lose records the crash of a target for a request with the part "deadly".
func (m member) lose(number int) {
	m.blocks.Lost(block.Crash{Parts: []string{"shared", "deadly"}, Target: fmt.Sprint("t-", number), Domain: fmt.Sprint("z-", number), Request: fmt.Sprint("r-", number), At: time.Now()})
}

// knows returns the number of crashes with the part that an instance knows of after it has started.
func knows(s *fakeStore) int {
	m := startMember(s, false)
	defer m.recall.Close()
	<-m.recall.Loaded()
	losses := 0
	for _, p := range m.blocks.Losses() {
		losses = max(losses, len(p.Losses))
	}
	return losses
}

// TestLossesOutlastAllInstances guards against crashes that are forgotten when all instances end at once. The instances of
// these cases do not exchange what they know.
func TestLossesOutlastAllInstances(t *testing.T) {
	cases := map[string]struct {
		finders int // finders is the number of instances that find crashes, each one more every second.
		fault   storeFault
		lasts   time.Duration // lasts is how long the fault lasts, from before the first crash on.
		after   time.Duration // after is the time from the third crash, or from the end of the fault, to the end of the instances.
		want    int
	}{
		"one-finder":           {1, sound, 0, 50 * time.Millisecond, 3},
		"three-at-a-time":      {3, sound, 0, time.Second, 9},
		"away-for-a-moment":    {1, away, 1500 * time.Millisecond, 2 * time.Second, 3},
		"away-for-long":        {1, away, 20 * time.Second, 3 * time.Second, 3},
		"refuses-for-long":     {3, refused, 20 * time.Second, 4 * time.Second, 9},
		"ended-at-the-return":  {1, refused, 20 * time.Second, 500 * time.Millisecond, 3},
		"responses-are-lost":   {1, lossy, 20 * time.Second, 3 * time.Second, 3},
		"responses-lost-twice": {3, lossy, 20 * time.Second, 4 * time.Second, 9},
		"writes-come-late":     {1, late, 10 * time.Second, 5 * time.Second, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Millisecond)
				c := quicktest.New(t)
				s := &fakeStore{}
				members := make([]member, test.finders)
				for i := range members {
					members[i] = startMember(s, false)
					<-members[i].recall.Loaded()
				}
				begun := time.Now()
				s.fail(test.fault)
				for round := range 3 {
					for i, m := range members {
						m.lose(round*test.finders + i)
					}
					if round < 2 {
						time.Sleep(time.Second)
					}
				}
				time.Sleep(max(0, test.lasts-time.Since(begun)))
				s.fail(sound)
				time.Sleep(test.after)
				for _, m := range members {
					m.recall.Close()
				}
				c.Assert(knows(s), quicktest.Equals, test.want)
				started := startMember(s, false)
				defer started.recall.Close()
				<-started.recall.Loaded()
				f, blocked := started.blocks.Blocked([]string{"shared", "deadly"})
				c.Assert(blocked, quicktest.IsTrue)
				c.Assert(f.Parts, quicktest.DeepEquals, []string{"deadly", "shared"})
			})
		})
	}
}

// TestStartWaitsForLosses guards against instances that take requests before they know which parts crash targets.
func TestStartWaitsForLosses(t *testing.T) {
	for name, fault := range map[string]storeFault{"away": away, "refused": refused} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Millisecond)
				c := quicktest.New(t)
				s := &fakeStore{}
				s.fail(fault)
				m := startMember(s, false)
				defer m.recall.Close()
				time.Sleep(20 * time.Second)
				select {
				case <-m.recall.Loaded():
					c.Fatal("the losses are taken for known while the store is away")
				default:
				}
				s.fail(sound)
				time.Sleep(3 * time.Second)
				select {
				case <-m.recall.Loaded():
				default:
					c.Fatal("the losses are not read after the return of the store")
				}
			})
		})
	}
}

// TestElectedStoreTheRest checks that excuses are stored, and that all is stored again after the store has come back from a
// copy, by elected instances only.
func TestElectedStoreTheRest(t *testing.T) {
	cases := map[string]struct {
		elected  bool
		answered bool // answered tells that a target has answered a request with the part.
		drill    bool // drill tells that the store comes back from a copy with the first loss.
		blocked  bool // blocked tells that an instance that starts afterwards blocks the part.
	}{
		"excuse":             {elected: true, answered: true, blocked: false},
		"excuse-not-elected": {elected: false, answered: true, blocked: true},
		"copy":               {elected: true, drill: true, blocked: true},
		"copy-not-elected":   {elected: false, drill: true, blocked: false},
		"copy-and-excuse":    {elected: true, answered: true, drill: true, blocked: false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Millisecond)
				c := quicktest.New(t)
				s := &fakeStore{}
				m := startMember(s, test.elected)
				<-m.recall.Loaded()
				for i := range 3 {
					m.lose(i)
					time.Sleep(time.Second)
					if i == 0 {
						s.copyNow()
					}
				}
				if test.drill {
					s.drill()
				}
				if test.answered {
					m.blocks.Answered([]string{"deadly", "shared"})
				}
				time.Sleep(catchUpInterval + 2*checkInterval)
				m.recall.Close()
				started := startMember(s, false)
				defer started.recall.Close()
				<-started.recall.Loaded()
				_, blocked := started.blocks.Blocked([]string{"deadly", "shared"})
				c.Assert(blocked, quicktest.Equals, test.blocked)
			})
		})
	}
}

// TestCalls checks what losses cost at the store: nothing while there are none, two calls for a crash, and none for what the
// object has.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		c := quicktest.New(t)
		s := &fakeStore{}
		m := startMember(s, true)
		defer m.recall.Close()
		<-m.recall.Loaded()
		time.Sleep(10 * time.Minute)
		c.Assert(s.calls(), quicktest.DeepEquals, []int{1, 0})
		m.lose(1)
		time.Sleep(10 * time.Second)
		c.Assert(s.calls(), quicktest.DeepEquals, []int{2, 1})
		m.blocks.MergeLosses(m.blocks.Losses(), m.blocks.Crashes())
		time.Sleep(10 * time.Minute) // The loss expires.
		c.Assert(s.calls(), quicktest.DeepEquals, []int{2, 1})
	})
}

// TestNoPartIsStored guards against ids of parts in the store.
func TestNoPartIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		c := quicktest.New(t)
		s := &fakeStore{}
		m := startMember(s, true)
		<-m.recall.Loaded()
		m.lose(1)
		time.Sleep(2 * time.Second)
		m.recall.Close()
		for _, text := range []string{"deadly", "shared", "t-1", "r-1", "z-1"} {
			c.Assert(strings.Contains(string(s.raw), text), quicktest.IsFalse, quicktest.Commentf("%s is in %s", text, s.raw))
		}
		c.Assert(strings.Count(string(s.raw), `"#`), quicktest.Equals, 2)
	})
}

// TestInvalidObject guards against objects of other writers that keep instances from starting or from storing losses.
func TestInvalidObject(t *testing.T) {
	cases := map[string]string{
		"null": `null`, "list": `[1]`, "text": `"x"`, "number-for-a-hash": `{"parts":{"#a":[{"target":7}]}}`, "long-hash": `{"crashes":[{"target":"11112222333344445"}]}`,
		"parts-are-a-list": `{"parts":[]}`, "far-future": `{"parts":{"#a":[{"target":"1","request":"1","at-ms":9000000000000000000}]}}`,
		"far-past": `{"parts":{"#a":[{"target":"1","request":"1","at-ms":-9000000000000000000}]}}`,
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Millisecond)
				c := quicktest.New(t)
				s := &fakeStore{raw: []byte(raw), revision: 7}
				m := startMember(s, true)
				<-m.recall.Loaded()
				for i := range 3 {
					m.lose(i)
					time.Sleep(time.Second)
				}
				m.recall.Close()
				c.Assert(knows(s), quicktest.Equals, 3)
			})
		})
	}
}

// TestValue checks that a book is read as it was stored, by a clock that is some seconds off, and that what is too old is
// left out.
func TestValue(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	id := taint.LossID{Target: 1<<63 + 1, Request: 3}
	book := func(age time.Duration) taint.Book {
		b := taint.NewBook(nil, []taint.Crash{{ID: id, Domain: 1<<60 + 1, At: now.Add(-age)}})
		return b.WithLoss([]string{"#a"}, taint.Loss{ID: id, Domain: 1<<60 + 1, At: now.Add(-age)})
	}
	cases := map[string]struct {
		age  time.Duration
		read time.Duration // read is the time of the reader's clock, from now on.
		want taint.Book
	}{
		"same-clock":     {time.Second, 0, book(time.Second)},
		"later":          {time.Second, time.Minute, book(time.Second)},
		"clock-is-ahead": {time.Second, 2 * time.Second, book(time.Second)},
		"clock-is-late":  {time.Second, -2 * time.Second, book(2 * time.Second)}, // The age is 0 by that clock.
		"expired":        {time.Minute, 5 * time.Minute, taint.NewBook(nil, nil)},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			raw, err := json.Marshal(encode(book(test.age), now))
			c.Assert(err, quicktest.IsNil)
			var value bookValue
			c.Assert(json.Unmarshal(raw, &value), quicktest.IsNil)
			got := value.book(now.Add(test.read))
			c.Assert(got.All(), quicktest.DeepEquals, test.want.All())
			c.Assert(got.Crashes(), quicktest.DeepEquals, test.want.Crashes())
		})
	}
}

// TestManyFinders guards against more calls than the store allows when an outage ends targets at all instances of a fleet
// at once: they may make 1,200 writes and 6,000 reads a second.
func TestManyFinders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 67
		time.Sleep(time.Millisecond)
		c := quicktest.New(t)
		s := &fakeStore{latency: 4 * time.Millisecond, size: size}
		members := make([]member, size)
		for i := range members {
			members[i] = startMember(s, i < electedCount)
			defer members[i].recall.Close()
			<-members[i].recall.Loaded()
		}
		started := s.calls()
		for i, m := range members {
			m.lose(i)
		}
		for round := range 40 {
			time.Sleep(250 * time.Millisecond) // Instances pull from each other in this time.
			for i, m := range members {
				other := members[(i*7+round*13+1)%size]
				m.blocks.MergeLosses(other.blocks.Losses(), other.blocks.Crashes())
			}
		}
		calls := s.calls()
		reads, writes := calls[0]-started[0], calls[1]-started[1]
		t.Logf("%d reads and %d writes for %d instances", reads, writes, size)
		c.Assert(writes <= 1200, quicktest.IsTrue, quicktest.Commentf("%d writes", writes))
		c.Assert(reads <= 6000, quicktest.IsTrue, quicktest.Commentf("%d reads", reads))
		c.Assert(knows(s) > 0, quicktest.IsTrue)
	})
}
