package proof

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/store"
	"bramleywharf.example/entry/chain"
)

const (
	orderAnswerBound = 3 * time.Second        // Longest time that the caller of a service waits.
	orderLinkMargin  = 100 * time.Millisecond // Allowance for the links from the caller and back.
	orderTimeout     = 4 * time.Second        // Time after which a caller takes its instance for dead.
	orderAttempts    = 4
	orderSettleTime  = 60 * time.Second // Time for late executions after the last attempt.
)

// orderFault injects a fault into an order; some faults end by themselves after faultDuration.
type orderFault func(w *world, o *orderCaller)

// orderCaller sends one order, which is a non-idempotent call of the service "orders", and retries it under one key.
type orderCaller struct {
	w   *world
	key string

	mu       sync.Mutex
	node     string // The instance that got the last attempt.
	attempts []attempt
}

// attempt is the result of sending the order once.
type attempt struct {
	answered    bool
	endedAt     time.Time // When the answer came or the caller stopped waiting.
	answer      chain.Answer
	duration    time.Duration
	nodeRunning bool // Whether the instance was running at the end of the attempt.
}

// orderFaults returns the faults that are injected into orders, by name.
func orderFaults() map[string]orderFault {
	return map[string]orderFault{
		"services-killed": func(w *world, _ *orderCaller) {
			for name := range w.services {
				restart(w, name, faultDuration)
			}
		},
		"service-killed":  func(w *world, _ *orderCaller) { w.setState("service-0", dead) },
		"service-silent":  func(w *world, _ *orderCaller) { w.silenceServices(true) },
		"services-paused": func(w *world, _ *orderCaller) { pause(w, "service-0"); pause(w, "service-1") },
		"instance-killed": func(w *world, o *orderCaller) { w.setState(o.servingNode(), dead) },
		"instance-paused": func(w *world, o *orderCaller) { pause(w, o.servingNode()) },
		"instance-cut-from-platform": func(w *world, o *orderCaller) {
			interruptLink(w, o.servingNode(), platformName)
		},
		"instance-cut-from-services": func(w *world, o *orderCaller) {
			interruptLink(w, o.servingNode(), "service-0")
			interruptLink(w, o.servingNode(), "service-1")
		},
		"platform-down":          func(w *world, _ *orderCaller) { w.failPlatform(store.Down{}) },
		"platform-frozen":        func(w *world, _ *orderCaller) { pause(w, platformName) },
		"platform-slow":          func(w *world, _ *orderCaller) { w.failPlatform(store.Slow{Delay: 1500 * time.Millisecond}) },
		"platform-loses-answers": func(w *world, _ *orderCaller) { w.failPlatform(store.LoseResponses{}) },
		"platform-loses-writes":  func(w *world, _ *orderCaller) { w.failPlatform(store.LoseWrites{}) },
		"sent-twice":             func(_ *world, o *orderCaller) { go o.send(1) },
	}
}

// orderSteps returns the steps of an order with the hook point that marks each, or an empty string for the first.
func orderSteps() map[string]string {
	return map[string]string{
		"accepted":  "",
		"claimed":   "put-claim-claimed",
		"connected": "connected",
		"executed":  "executed",
		"answered":  "answered",
		"recorded":  "put-claim-done",
	}
}

// failPlatform makes the platform show a fault for faultDuration.
func (w *world) failPlatform(f store.Fault) {
	setFault := func(f store.Fault) {
		w.platform.SetFault(f)
		w.mu.Lock()
		defer w.mu.Unlock()
		_, w.platformRefuses = f.(store.Down)
	}
	setFault(f)
	runAfter(faultDuration, func() { setFault(store.Healthy{}) })
}

// silenceServices makes services execute calls without an answer for faultDuration, or answer again.
func (w *world) silenceServices(silent bool) {
	for _, s := range w.services {
		s.mu.Lock()
		s.isSilent = silent
		s.mu.Unlock()
	}
	if silent {
		runAfter(faultDuration, func() { w.silenceServices(false) })
	}
}

// run sends the order until it succeeds or the attempts are used up; without retry, until there is any answer.
func (o *orderCaller) run(retry bool) {
	for i := range orderAttempts {
		a := o.send(i)
		if whole, ok := a.(chain.Whole); ok && whole.Status == 200 {
			return
		}
		if !retry && a != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// send sends the order once, to the i-th running instance, and returns the answer or nil.
func (o *orderCaller) send(i int) chain.Answer {
	runningNodes := o.w.runningNodes()
	if len(runningNodes) == 0 {
		return nil
	}
	name := runningNodes[i%len(runningNodes)]
	o.mu.Lock()
	o.node = name
	o.mu.Unlock()
	o.w.mu.Lock()
	n := o.w.nodes[name]
	o.w.mu.Unlock()
	answers := make(chan chain.Answer, 1)
	start := time.Now()
	ctx, cancel := context.WithTimeout(o.w.runCtx, orderTimeout)
	defer cancel()
	go func() {
		if o.w.transmit(ctx, "caller", name) != nil {
			return
		}
		a := n.Handle(ctx, chain.Call{ID: "o", Credential: "key", Request: chain.Invoke{
			Service: "orders", Method: "POST", Path: "/orders", Key: o.key, Body: []byte("7"),
		}})
		if o.w.transmit(o.w.runCtx, name, "caller") == nil {
			answers <- a
		}
	}()
	sent := attempt{}
	select {
	case sent.answer = <-answers:
		sent.answered = true
	case <-time.After(orderTimeout):
	}
	sent.endedAt = time.Now()
	sent.duration = time.Since(start)
	o.w.mu.Lock()
	sent.nodeRunning = o.w.processStates[name] == running
	o.w.mu.Unlock()
	o.mu.Lock()
	o.attempts = append(o.attempts, sent)
	o.mu.Unlock()
	return sent.answer
}

// servingNode returns the instance that got the last attempt.
func (o *orderCaller) servingNode() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.node
}

// check returns how the answers or the number of executions violate what callers are promised, or an empty string.
func (o *orderCaller) check(executions int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	allNotExecuted := true
	for i, sent := range o.attempts {
		switch a := sent.answer.(type) {
		case chain.Whole:
			allNotExecuted = false
			if executions == 0 {
				return fmt.Sprintf("attempt %d was answered with status %d, but the order was never executed", i, a.Status)
			}
		case chain.Refused:
			if a.Refusal.Executed == deny.ExecutedNo && o.w.executedBefore(o.key, sent.endedAt) {
				return fmt.Sprintf("attempt %d was refused as not executed after the order was executed", i)
			}
			allNotExecuted = allNotExecuted && a.Refusal.Executed == deny.ExecutedNo
		default:
			allNotExecuted = false
			if sent.nodeRunning && !o.mayHavePaused() {
				return fmt.Sprintf("attempt %d got no answer from a running instance", i)
			}
		}
		if sent.answered && sent.nodeRunning && sent.duration > orderAnswerBound+orderLinkMargin {
			return fmt.Sprintf("attempt %d waited %s for its answer", i, sent.duration)
		}
	}
	switch {
	case executions > 1:
		return fmt.Sprintf("the order was executed %d times", executions)
	case allNotExecuted && executions > 0:
		return "every attempt was refused as not executed, but the order was executed"
	default:
		return ""
	}
}

// mayHavePaused tells whether an instance may have been paused during an attempt.
func (o *orderCaller) mayHavePaused() bool {
	return o.w.everPaused
}

// runOrderCell runs one cell. It returns the failure found or an empty string, and whether the caller never got the
// service's answer. The key is issued by an instance or, if not issued, chosen by the caller.
func runOrderCell(t *testing.T, issued, retry bool, faults cell) (failure string, refused bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 1, "latency")
		defer w.close()
		o := &orderCaller{w: w, key: "k"}
		if issued {
			key, err := w.nodes["node-0"].Issuer.Issue("org")
			if err != nil {
				t.Fatal(err)
			}
			o.key = key
		}
		steps, injectors := orderSteps(), orderFaults()
		for _, f := range faults {
			inject := func() { injectors[f.fault](w, o) }
			if f.step == repeatStep {
				inject = func() { runAfter(repeatDelay, func() { injectors[f.fault](w, o) }) }
				f.step = faults[0].step
			}
			if point := steps[f.step]; point != "" {
				w.addHook(point, inject)
			} else {
				runAfter(linkDelay/2, inject)
			}
		}
		o.run(retry)
		time.Sleep(orderSettleTime)
		failure = o.check(w.executions(o.key))
		refused = !slices.ContainsFunc(o.attempts, func(t attempt) bool {
			_, ok := t.answer.(chain.Whole)
			return ok
		})
	})
	return failure, refused
}

// orderCells returns the cells of the order matrix.
func orderCells() (singles, pairs, twice []cell) {
	return allCells(slices.Sorted(maps.Keys(orderFaults())), slices.Sorted(maps.Keys(orderSteps())))
}

// TestOrderMatrix checks that an order is executed at most once and answered truthfully and in time under each cell of
// faults.
func TestOrderMatrix(t *testing.T) {
	singles, pairs, twice := orderCells()
	for kind, cells := range map[string][]cell{"single": singles, "twice": twice, "pair": selectCells(pairs)} {
		for _, issued := range []bool{false, true} {
			for _, retry := range []bool{false, true} {
				for _, c := range cells {
					t.Run(fmt.Sprintf("%s/issued=%t/retry=%t/%s", kind, issued, retry, c), func(t *testing.T) {
						t.Parallel()
						failure, refused := runOrderCell(t, issued, retry, c)
						recordResult(t, fmt.Sprintf("order %s, issued=%t", kind, issued), c, failure, refused)
					})
				}
			}
		}
	}
}
