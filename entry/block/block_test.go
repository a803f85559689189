package block

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/frankban/quicktest"
)

// TestLossesOfInstancesAddUp checks that instances which have one loss each block the part once they exchanged them,
// that echoes add nothing, and that an answer releases the part again.
func TestLossesOfInstancesAddUp(t *testing.T) {
	c := quicktest.New(t)
	handler := memory.New()
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	blocks := []*Block{New(logger, metrics.NewSet()), New(logger, metrics.NewSet()), New(logger, metrics.NewSet())}
	parts := []string{"shared", "deadly"}
	for i, b := range blocks {
		name := string(rune('a' + i))
		b.MergeLosses([]wire.PartLosses{
			{Part: "shared", Losses: []wire.PartLoss{{Target: uint64(i), Request: uint64(i), Age: time.Duration(i) * time.Second}}},
			{Part: "deadly", Losses: []wire.PartLoss{{Target: uint64(i), Request: uint64(i), Age: time.Duration(i) * time.Second}}},
		}, nil)
		_, blocked := b.Blocked(parts)
		c.Assert(blocked, quicktest.IsFalse, quicktest.Commentf("%s", name))
	}
	for range 3 {
		for _, from := range blocks {
			for _, to := range blocks {
				to.MergeLosses(from.Losses(), from.Crashes())
			}
		}
	}
	for _, b := range blocks {
		f, blocked := b.Blocked(parts)
		c.Assert(blocked, quicktest.IsTrue)
		c.Assert(f.Losses, quicktest.Equals, 3)
		c.Assert(b.Digest(), quicktest.Equals, blocks[0].Digest())
		_, blocked = b.Blocked(parts[:1])
		c.Assert(blocked, quicktest.IsFalse)
	}
	c.Assert(handler.Entries[0].Fields, quicktest.DeepEquals, log.Fields{"parts": "deadly,shared", "losses": 3, "requests": 3})
	before := blocks[0].Digest()
	blocks[0].Answered(parts)
	_, blocked := blocks[0].Blocked(parts)
	c.Assert(blocked, quicktest.IsFalse)
	c.Assert(blocks[0].Digest() == before, quicktest.IsFalse)
	blocks[1].MergeLosses(blocks[0].Losses(), blocks[0].Crashes())
	c.Assert(blocks[1].Digest(), quicktest.Equals, blocks[0].Digest())
}

// TestLost checks that the losses of one instance at one moment do not block, and that Digest is 0 without losses.
func TestLost(t *testing.T) {
	c := quicktest.New(t)
	b := New(&log.Logger{Handler: memory.New()}, metrics.NewSet())
	c.Assert(b.Digest(), quicktest.Equals, uint64(0))
	for _, request := range []string{"r1", "r2", "r3", "r4"} {
		b.Lost(Crash{Parts: []string{"p"}, Target: "target-of-" + request, Request: request, At: time.Now()})
	}
	_, blocked := b.Blocked([]string{"p"})
	c.Assert(blocked, quicktest.IsFalse)
	c.Assert(b.Losses(), quicktest.HasLen, 1)
	c.Assert(b.Losses()[0].Losses, quicktest.HasLen, 4)
}

// TestExpiredLossesAreNotSent guards against instances that keep expired losses and send them to others, which drop them,
// with each pull.
func TestExpiredLossesAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		c := quicktest.New(t)
		logger := &log.Logger{Handler: memory.New()}
		old, young := New(logger, metrics.NewSet()), New(logger, metrics.NewSet())
		old.Lost(Crash{Parts: []string{"p"}, Target: "t-1", Request: "r-1", At: time.Now()})
		lostAt := time.Now()
		for time.Since(lostAt) < 6*time.Minute {
			time.Sleep(250 * time.Millisecond)
			losses, crashes := old.Losses(), old.Crashes()
			time.Sleep(2 * time.Millisecond)
			young.MergeLosses(losses, crashes)
			c.Assert(young.Digest() == old.Digest(), quicktest.IsTrue, quicktest.Commentf("digests differ %v after the loss", time.Since(lostAt)))
		}
		c.Assert(old.Digest(), quicktest.Equals, uint64(0))
		c.Assert(old.Losses(), quicktest.HasLen, 0)
	})
}

// TestOutageIsNoEvidence guards against blocking parts for the outage of a failure domain: the losses of its targets do not
// count once the crashes of different instances show the outage, also on those that learn of it later, and are dropped.
func TestOutageIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Millisecond)
		c := quicktest.New(t)
		logger := &log.Logger{Handler: memory.New()}
		blocks := []*Block{New(logger, metrics.NewSet()), New(logger, metrics.NewSet()), New(logger, metrics.NewSet())}
		late := New(logger, metrics.NewSet())
		for outage := range 4 {
			domain := string(rune('a' + outage))
			for i, b := range blocks {
				b.Lost(Crash{Parts: []string{"p"}, Target: domain + string(rune('0'+i)), Domain: domain, Request: domain + string(rune('0'+i)), At: time.Now()})
				time.Sleep(50 * time.Millisecond)
			}
			for range 2 {
				for _, from := range blocks {
					for _, to := range append(blocks, late) {
						to.MergeLosses(from.Losses(), from.Crashes())
					}
				}
			}
			time.Sleep(time.Second)
			for _, b := range append(blocks, late) {
				_, blocked := b.Blocked([]string{"p"})
				c.Assert(blocked, quicktest.IsFalse, quicktest.Commentf("outage %d", outage))
			}
		}
		time.Sleep(10 * time.Second)
		for _, b := range append(blocks, late) {
			b.Crashed("any", "any", time.Now())
			_, blocked := b.Blocked([]string{"p"})
			c.Assert(blocked, quicktest.IsFalse)
			c.Assert(b.Losses(), quicktest.HasLen, 0)
			c.Assert(b.Digest(), quicktest.Equals, blocks[0].Digest())
		}
	})
}
