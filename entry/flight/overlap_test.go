package flight

import (
	"net/http"
	"testing"
	"time"

	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/guard"
	"bramleywharf.example/entry/offer"
	"bramleywharf.example/entry/picker"
	"github.com/frankban/quicktest"
)

// TestOldReportIsNoBegin guards against streams that leave a sound target for one whose report is older than the offer.
func TestOldReportIsNoBegin(t *testing.T) {
	const late = 600 * time.Millisecond
	cases := map[string]behaviour{
		"other-refuses":    {old: true, refuseAfter: late},
		"other-breaks-off": {old: true, breakAfter: late},
	}
	for name, other := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "a", "b")
			w.maxAttempts = 2
			goesOn := make(chan struct{})
			for _, target := range w.targets {
				w.behave(target.Name, behaviour{haltAt: 3, resume: goesOn})
			}
			time.AfterFunc(1500*time.Millisecond, func() { close(goesOn) })
			caller := &caller{}
			runner, answers := w.start(w.c.Context(), caller)
			w.behave(w.others(runner)[0], other)
			w.assertWhole(<-answers, caller)
			w.c.Assert(w.seen()[0].left, quicktest.IsFalse)
		})
	}
}

// TestLostTargetIsLeftForQueue checks that a stream whose target is lost before the first event waits in the queue of
// another one.
func TestLostTargetIsLeftForQueue(t *testing.T) {
	cases := map[string]struct {
		runner behaviour
		closed bool // closed makes the target refuse connections.
		other  behaviour
	}{
		"closed-and-other-queues":            {behaviour{}, true, behaviour{queued: true}},
		"closed-and-other-is-slow-to-report": {behaviour{}, true, behaviour{unheard: true}},
		"silent-and-other-queues":            {behaviour{old: true}, false, behaviour{queued: true}},
		"hung-with-a-queue":                  {behaviour{stuck: true}, false, behaviour{queued: true}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "a", "b")
			w.maxAttempts = 3
			begin := make(chan struct{})
			for _, target := range w.targets {
				lost := test.runner
				lost.begin = w.c.Context().Done()
				w.behave(target.Name, lost)
			}
			caller := &caller{}
			runner, answers := w.start(w.c.Context(), caller)
			other := test.other
			other.begin = begin
			w.behave(w.others(runner)[0], other)
			if test.closed {
				_ = w.servers[runner].Listener.Close()
			}
			go func() {
				w.waitUntil(func() bool { return len(w.seen()) > 1 })
				time.AfterFunc(time.Second, func() { close(begin) })
			}()
			w.assertWhole(<-answers, caller)
		})
	}
}

// TestLeavingTargetKeepsStreams guards against streams that lose a target which takes no more connections but still runs
// them.
func TestLeavingTargetKeepsStreams(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b")
	begin := make(chan struct{})
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{begin: begin})
	}
	caller := &caller{}
	runner, answers := w.start(w.c.Context(), caller)
	_ = w.servers[runner].Listener.Close()
	w.behave(w.others(runner)[0], behaviour{})
	time.AfterFunc(1800*time.Millisecond, func() { close(begin) })
	w.assertWhole(<-answers, caller)
	w.c.Assert(w.seen(), quicktest.HasLen, 1)
}

// TestHungQueueIsSuspect checks that new streams avoid a target whose queue does not move.
func TestHungQueueIsSuspect(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a")
	w.behave("a", behaviour{begin: w.c.Context().Done(), stuck: true})
	_, answers := w.start(w.c.Context(), &caller{})
	wasSuspect := false
	for ended := false; !ended; {
		select {
		case <-answers:
			ended = true
		case <-time.After(20 * time.Millisecond):
			wasSuspect = wasSuspect || !w.isSound("a")
		}
	}
	w.c.Assert(wasSuspect, quicktest.IsTrue)
}

// TestQueuedStreamFindsIdleTarget checks that a stream that waits in a queue goes to an idle target though a cheaper one has
// a queue too.
func TestQueuedStreamFindsIdleTarget(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b", "c")
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{begin: w.c.Context().Done(), queued: true})
	}
	caller := &caller{}
	runner, answers := w.start(w.c.Context(), caller)
	cheapest := w.sender.Picker.Best(picker.Want{Service: testService, Session: testSession, Prompt: 20, Avoid: map[string]bool{runner: true}}, 1)[0].Name
	for _, name := range w.others(runner) {
		if name != cheapest {
			w.behave(name, behaviour{})
		}
	}
	w.assertWhole(<-answers, caller)
}

// TestStreamLeavesTargetThatHangsBetweenEvents checks that a stream does not wait for a target that hangs after an event while
// requests wait in its queue, if another one would take the stream.
func TestStreamLeavesTargetThatHangsBetweenEvents(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b")
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{haltAt: 3, resume: w.c.Context().Done(), queued: true})
	}
	caller := &caller{}
	runner, answers := w.start(w.c.Context(), caller)
	w.behave(w.others(runner)[0], behaviour{queued: true})
	w.assertWhole(<-answers, caller)
}

// TestStepGoesBeforeReport checks that a report is not applied to an offer when a step that decides on it has arrived.
func TestStepGoesBeforeReport(t *testing.T) {
	const rounds = 12
	cases := map[string]struct {
		silent behaviour
		other  behaviour
		state  retry.OfferState
		moves  bool
	}{
		"other-has-refused":   {behaviour{unheard: true}, behaviour{refuses: true}, retry.Working{}, false},
		"silent-has-answered": {behaviour{}, behaviour{unheard: true}, retry.Working{}, false},
		"other-has-answered":  {behaviour{unheard: true}, behaviour{}, retry.Queued{}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "a", "b")
			if test.silent.unheard {
				test.silent.begin = w.c.Context().Done()
			}
			if test.other.unheard {
				test.other.begin = w.c.Context().Done()
			}
			w.behave("a", test.silent)
			w.behave("b", test.other)
			policy := site.Stream{Resumable: true}
			wrong := 0
			for range rounds {
				call := chain.Call{ID: "r1"}.WithRoute(site.NewConfig("1", 1, site.Limits{}), site.Route{RetryPolicy: policy, MaxAttempts: 5, Services: []site.WeightedService{{Service: testService, Weight: 1}}})
				now := time.Now()
				forward := chain.Forward{Method: http.MethodPost, Host: "host", Path: "/x", Deadline: now.Add(waitTimeout), Received: now, Outlet: &caller{}}
				s := newStream(w.sender, call, forward, policy)
				s.silence = guard.Silence{Err: guard.ErrStalled}
				a, _ := w.sender.Picker.StreamAt(w.targets[0], s.want())
				b, _ := w.sender.Picker.StreamAt(w.targets[1], s.want())
				s.current, s.next = s.open(w.c.Context(), a, nil), s.open(w.c.Context(), b, nil)
				w.waitUntil(func() bool { return len(s.current.steps())+len(s.next.steps()) > 0 })
				s.overlap = offer.NewOverlap()
				_, _ = s.handleOfferState(w.c.Context(), test.state)
				hasMoved := s.current != nil && s.current.pick.Target.Name == "b"
				if hasMoved != test.moves && (!test.moves || s.next == nil) {
					wrong++
				}
				s.closeAttempts()
			}
			w.c.Assert(wrong, quicktest.Equals, 0)
		})
	}
}
