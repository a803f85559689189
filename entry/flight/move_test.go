package flight

import (
	"context"
	"testing"
	"time"

	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/picker"
	"github.com/frankban/quicktest"
)

// TestStreamIsOfferedToSoundTargetsOnly checks that a silent target is not given up for one that is suspect while a
// sound one refuses the stream.
func TestStreamIsOfferedToSoundTargetsOnly(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b", "c")
	resume := make(chan struct{})
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{haltAt: 3, resume: resume})
	}
	caller := &caller{}
	runner, answers := w.start(w.c.Context(), caller)
	full, suspect := w.others(runner)[0], w.others(runner)[1]
	w.behave(full, behaviour{refuses: true})
	w.behave(suspect, behaviour{begin: w.c.Context().Done()})
	stop := make(chan struct{})
	defer close(stop)
	for _, target := range w.targets {
		if target.Name == suspect {
			pick, _ := w.sender.Picker.StreamAt(target, picker.Want{Service: testService, Session: "other"})
			defer pick.Release()
			go keepSuspect(pick, stop)
		}
	}
	w.waitUntil(func() bool { return w.refused(full) > 1 })
	time.Sleep(time.Second)
	close(resume)
	w.assertWhole(<-answers, caller)
	w.c.Assert(w.seen(), quicktest.HasLen, 1)
}

// TestSilentTargetIsKeptUntilAnotherBegins guards against streams that lose their sound target to one that only queues them.
func TestSilentTargetIsKeptUntilAnotherBegins(t *testing.T) {
	const late = 600 * time.Millisecond
	cases := map[string]struct {
		other       behaviour
		maxAttempts int
		atBegin     bool // atBegin makes the target silent before its first event, while requests wait in its queue.
	}{
		"other-queues":                    {behaviour{queued: true}, 5, false},
		"other-queues-and-refuses":        {behaviour{queued: true, refuseAfter: late}, 2, false},
		"other-queues-and-breaks-off":     {behaviour{queued: true, breakAfter: late}, 2, false},
		"other-is-silent":                 {behaviour{unheard: true}, 5, false},
		"other-is-silent-and-refuses":     {behaviour{unheard: true, refuseAfter: late}, 2, false},
		"both-queue":                      {behaviour{queued: true}, 5, true},
		"both-queue-and-other-refuses":    {behaviour{queued: true, refuseAfter: late}, 2, true},
		"both-queue-and-other-breaks-off": {behaviour{queued: true, breakAfter: late}, 2, true},
		"queues-and-other-is-silent":      {behaviour{unheard: true}, 5, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "a", "b")
			w.maxAttempts = test.maxAttempts
			goesOn := make(chan struct{})
			silence, first := 1500*time.Millisecond, behaviour{haltAt: 3, resume: goesOn}
			if test.atBegin {
				silence, first = 3500*time.Millisecond, behaviour{begin: goesOn, queued: true}
			}
			for _, target := range w.targets {
				w.behave(target.Name, first)
			}
			time.AfterFunc(silence, func() { close(goesOn) })
			caller := &caller{}
			runner, answers := w.start(w.c.Context(), caller)
			other := test.other
			if other.refuseAfter == 0 && other.breakAfter == 0 {
				other.begin = w.c.Context().Done()
			}
			w.behave(w.others(runner)[0], other)
			w.assertWhole(<-answers, caller)
			w.c.Assert(w.seen()[0].left, quicktest.IsFalse)
		})
	}
}

// TestQueueIsNoLoss guards against targets that get no new requests since streams wait in their queues.
func TestQueueIsNoLoss(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b")
	goesOn := make(chan struct{})
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{begin: goesOn, queued: true})
	}
	caller := &caller{}
	_, answers := w.start(w.c.Context(), caller)
	for watched := time.Now().Add(3500 * time.Millisecond); time.Now().Before(watched); time.Sleep(20 * time.Millisecond) {
		for _, target := range w.targets {
			w.c.Assert(w.isSound(target.Name), quicktest.IsTrue)
		}
	}
	close(goesOn)
	w.assertWhole(<-answers, caller)
}

// keepSuspect reports a target as lost until stop is closed.
func keepSuspect(pick *picker.Pick, stop <-chan struct{}) {
	for {
		pick.Lost("test")
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestOfferEndsBeforeDelivery checks that an offer is withdrawn as soon as the silent target sends again, also if the
// caller is slow to take the event.
func TestOfferEndsBeforeDelivery(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b")
	resume, taken := make(chan struct{}), make(chan struct{})
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{haltAt: 3, resume: resume})
	}
	caller := &caller{slowAt: 4, resume: taken}
	runner, answers := w.start(w.c.Context(), caller)
	w.behave(w.others(runner)[0], behaviour{begin: w.c.Context().Done()})
	w.waitUntil(func() bool { return len(w.seen()) > 1 })
	close(resume)
	w.waitUntil(func() bool { return w.seen()[1].left })
	close(taken)
	w.assertWhole(<-answers, caller)
	w.c.Assert(w.seen(), quicktest.HasLen, 2)
	w.c.Assert(w.seen()[0].left, quicktest.IsFalse)
}

// TestSlowCallerIsNotSilence checks that a stream is not offered to another target while its caller is slow to take
// events.
func TestSlowCallerIsNotSilence(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b")
	caller := &caller{delay: 600 * time.Millisecond}
	_, answers := w.start(w.c.Context(), caller)
	w.assertWhole(<-answers, caller)
	w.c.Assert(w.seen(), quicktest.HasLen, 1)
}

// TestRefusalsDoNotStretchSilence checks that the pauses learned from a silence that a stream has left do not include
// the time for which other targets refused it.
func TestRefusalsDoNotStretchSilence(t *testing.T) {
	t.Parallel()
	const maxCutTimeout = 1200 * time.Millisecond
	w := newWorld(t, "a", "b")
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{haltAt: 3, resume: w.c.Context().Done()})
	}
	caller := &caller{}
	runner, answers := w.start(w.c.Context(), caller)
	other := w.others(runner)[0]
	w.behave(other, behaviour{refuses: true})
	w.waitUntil(func() bool { return w.refused(other) > 2 })
	w.behave(other, behaviour{})
	w.assertWhole(<-answers, caller)
	timeout := w.sender.Pace(testService).CutTimeout()
	w.c.Assert(timeout < maxCutTimeout, quicktest.IsTrue, quicktest.Commentf("%v", timeout))
}

// TestRefusedOfferLeavesSession checks that the target that runs a stream stays that of its session when another target
// refuses the stream.
func TestRefusedOfferLeavesSession(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b")
	resume := make(chan struct{})
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{haltAt: 3, resume: resume})
	}
	caller := &caller{}
	runner, answers := w.start(w.c.Context(), caller)
	other := w.others(runner)[0]
	w.behave(other, behaviour{refuses: true})
	w.waitUntil(func() bool { return w.refused(other) > 0 })
	close(resume)
	w.assertWhole(<-answers, caller)
	w.c.Assert(w.sender.Picker.Places()[testSession], quicktest.Equals, runner)
}

// TestOfferDoesNotOutliveCrashes checks that a request which has lost two targets at their begin does not go on at a third
// one to which it was offered before the second loss.
func TestOfferDoesNotOutliveCrashes(t *testing.T) {
	t.Parallel()
	const maxDelay = time.Second
	w := newWorld(t, "a", "b", "c")
	crash := []chan struct{}{make(chan struct{}), make(chan struct{})}
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{crash: crash[0]})
	}
	runner, answers := w.start(w.c.Context(), &caller{})
	begin := make(chan struct{})
	for _, name := range w.others(runner) {
		w.behave(name, behaviour{begin: begin, crash: crash[1]})
	}
	w.waitUntil(func() bool { return len(w.seen()) == 2 })
	for _, name := range w.others(w.seen()[1].target) {
		w.behave(name, behaviour{begin: w.c.Context().Done()})
	}
	close(crash[0])
	w.waitUntil(func() bool { return !w.isSound(runner) })
	close(begin)
	w.waitUntil(func() bool { return len(w.seen()) == 3 })
	close(crash[1])
	crashedAt := time.Now()
	_, isFinished := (<-answers).(chain.Finished)
	w.c.Assert(isFinished, quicktest.IsFalse)
	w.c.Assert(time.Since(crashedAt) < maxDelay, quicktest.IsTrue)
	w.c.Assert(w.seen(), quicktest.HasLen, 3)
}

// TestOfferEndsWithCaller checks that both attempts of a stream end, and are no longer counted on their targets, when
// its caller leaves during an offer.
func TestOfferEndsWithCaller(t *testing.T) {
	t.Parallel()
	w := newWorld(t, "a", "b")
	for _, target := range w.targets {
		w.behave(target.Name, behaviour{haltAt: 3, resume: w.c.Context().Done()})
	}
	ctx, cancel := context.WithCancel(w.c.Context())
	defer cancel()
	runner, answers := w.start(ctx, &caller{})
	w.behave(w.others(runner)[0], behaviour{begin: w.c.Context().Done()})
	w.waitUntil(func() bool { return len(w.seen()) == 2 })
	cancel()
	w.c.Assert(<-answers, quicktest.Equals, chain.Answer(chain.Left{}))
	w.c.Assert(w.sender.Picker.Own().Targets, quicktest.HasLen, 0)
	w.waitUntil(func() bool { return w.seen()[0].left && w.seen()[1].left })
}
