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
	orderBound    = 3 * time.Second        // orderBound is the longest that a caller of a plain service waits.
	orderMargin   = 100 * time.Millisecond // orderMargin is the time of the links to the caller and back.
	orderPatience = 4 * time.Second        // orderPatience is when a caller takes its instance for dead.
	orderTries    = 4
	orderSettle   = 60 * time.Second
)

// orderFault does something to the path of an order.
type orderFault func(w *world, o *ordering)

// ordering is one caller with one key, which it sends again until it is answered.
type ordering struct {
	w   *world
	key string

	mu    sync.Mutex
	at    string // at is the instance that has the order now.
	tries []try
}

// try is one sending of the order.
type try struct {
	answered bool
	at       time.Time // at is when the answer came.
	answer   chain.Answer
	took     time.Duration
	alive    bool // alive tells whether the instance ran all the time.
}

// orderFaults holds every fault of "What fails" that can meet an order.
func orderFaults() map[string]orderFault {
	return map[string]orderFault{
		"services-killed": func(w *world, _ *ordering) {
			for name := range w.services {
				restart(w, name, healAfter)
			}
		},
		"service-killed":  func(w *world, _ *ordering) { w.set("service-0", dead) },
		"service-silent":  func(w *world, _ *ordering) { w.silenceServices(true) },
		"services-paused": func(w *world, _ *ordering) { pause(w, "service-0"); pause(w, "service-1") },
		"instance-killed": func(w *world, o *ordering) { w.set(o.serving(), dead) },
		"instance-paused": func(w *world, o *ordering) { pause(w, o.serving()) },
		"instance-cut-from-platform": func(w *world, o *ordering) {
			sever(w, o.serving(), platformName)
		},
		"instance-cut-from-services": func(w *world, o *ordering) {
			sever(w, o.serving(), "service-0")
			sever(w, o.serving(), "service-1")
		},
		"platform-down":          func(w *world, _ *ordering) { w.platformFault(store.Down{}) },
		"platform-frozen":        func(w *world, _ *ordering) { pause(w, platformName) },
		"platform-slow":          func(w *world, _ *ordering) { w.platformFault(store.Slow{By: 1500 * time.Millisecond}) },
		"platform-loses-answers": func(w *world, _ *ordering) { w.platformFault(store.LoseAnswers{}) },
		"platform-loses-writes":  func(w *world, _ *ordering) { w.platformFault(store.LoseWrites{}) },
		"sent-twice":             func(_ *world, o *ordering) { go o.send(1) },
	}
}

// orderSteps holds the steps of an order's path and the points that they are reached at.
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

// platformFault makes the platform fail for a while.
func (w *world) platformFault(f store.Fault) {
	set := func(f store.Fault) {
		w.platform.SetFault(f)
		w.mu.Lock()
		defer w.mu.Unlock()
		_, w.refusing = f.(store.Down)
	}
	set(f)
	later(healAfter, func() { set(store.Healthy{}) })
}

// silenceServices makes services execute calls without answering, or answer again.
func (w *world) silenceServices(silent bool) {
	for _, s := range w.services {
		s.mu.Lock()
		s.silenced = silent
		s.mu.Unlock()
	}
	if silent {
		later(healAfter, func() { w.silenceServices(false) })
	}
}

// run sends the order until it has a certain answer or the tries are used up.
func (o *ordering) run(retry bool) {
	for i := range orderTries {
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

// send sends the order once to an instance that runs and returns its answer, or nil.
func (o *ordering) send(i int) chain.Answer {
	names := o.w.names()
	if len(names) == 0 {
		return nil
	}
	name := names[i%len(names)]
	o.mu.Lock()
	o.at = name
	o.mu.Unlock()
	o.w.mu.Lock()
	n := o.w.nodes[name]
	o.w.mu.Unlock()
	answers := make(chan chain.Answer, 1)
	began := time.Now()
	ctx, cancel := context.WithTimeout(o.w.life, orderPatience)
	defer cancel()
	go func() {
		if o.w.pass(ctx, "caller", name) != nil {
			return
		}
		a := n.Handle(ctx, chain.Call{ID: "o", Credential: "key", Request: chain.Invoke{
			Service: "orders", Method: "POST", Path: "/orders", Key: o.key, Body: []byte("7"),
		}})
		if o.w.pass(o.w.life, name, "caller") == nil {
			answers <- a
		}
	}()
	t := try{}
	select {
	case t.answer = <-answers:
		t.answered = true
	case <-time.After(orderPatience):
	}
	t.at = time.Now()
	t.took = time.Since(began)
	o.w.mu.Lock()
	t.alive = o.w.conditions[name] == running
	o.w.mu.Unlock()
	o.mu.Lock()
	o.tries = append(o.tries, t)
	o.mu.Unlock()
	return t.answer
}

// serving returns the instance that has the order.
func (o *ordering) serving() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.at
}

// check returns what is wrong with the answers, given how often the order ran in the end.
func (o *ordering) check(executions int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	allNo := true
	for i, t := range o.tries {
		switch a := t.answer.(type) {
		case chain.Whole:
			allNo = false
			if executions == 0 {
				return fmt.Sprintf("try %d was answered %d and the order never ran", i, a.Status)
			}
		case chain.Refused:
			if a.Refusal.Executed == deny.ExecutedNo && o.w.ranBefore(o.key, t.at) {
				return fmt.Sprintf("try %d was told that the order was not run after it ran", i)
			}
			allNo = allNo && a.Refusal.Executed == deny.ExecutedNo
		default:
			allNo = false
			if t.alive && !o.everPaused() {
				return fmt.Sprintf("try %d got no answer from a running instance", i)
			}
		}
		if t.answered && t.alive && t.took > orderBound+orderMargin {
			return fmt.Sprintf("try %d waited %s", i, t.took)
		}
	}
	switch {
	case executions > 1:
		return fmt.Sprintf("the order ran %d times", executions)
	case allNo && executions > 0:
		return "every refusal said not run, and the order ran"
	default:
		return ""
	}
}

// everPaused tells whether an instance may have been paused during a try.
func (o *ordering) everPaused() bool {
	return o.w.paused
}

// orderCell runs one cell and returns what is wrong, and whether the caller never got the order's answer.
func orderCell(t *testing.T, issued, retry bool, faults cell) (wrong string, refused bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 1, "latency")
		defer w.close()
		o := &ordering{w: w, key: "k"}
		if issued {
			key, err := w.nodes["node-0"].Issuer.Issue("org")
			if err != nil {
				t.Fatal(err)
			}
			o.key = key
		}
		steps, table := orderSteps(), orderFaults()
		for _, f := range faults {
			inject := func() { table[f.fault](w, o) }
			if f.step == again {
				inject = func() { later(againAfter, func() { table[f.fault](w, o) }) }
				f.step = faults[0].step
			}
			if point := steps[f.step]; point != "" {
				w.hook(point, inject)
			} else {
				later(linkDelay/2, inject)
			}
		}
		o.run(retry)
		time.Sleep(orderSettle)
		wrong = o.check(w.executions(o.key))
		refused = !slices.ContainsFunc(o.tries, func(t try) bool {
			_, ok := t.answer.(chain.Whole)
			return ok
		})
	})
	return wrong, refused
}

// orderCells returns every single fault, every pair, and every fault twice.
func orderCells() (singles, pairs, twice []cell) {
	return cells(slices.Sorted(maps.Keys(orderFaults())), slices.Sorted(maps.Keys(orderSteps())))
}

func TestOrderMatrix(t *testing.T) {
	singles, pairs, twice := orderCells()
	for kind, list := range map[string][]cell{"single": singles, "twice": twice, "pair": sample(pairs)} {
		for _, issued := range []bool{false, true} {
			for _, retry := range []bool{false, true} {
				for _, c := range list {
					t.Run(fmt.Sprintf("%s/issued=%t/retry=%t/%s", kind, issued, retry, c), func(t *testing.T) {
						t.Parallel()
						wrong, refused := orderCell(t, issued, retry, c)
						note(t, fmt.Sprintf("order %s, issued=%t", kind, issued), c, wrong, refused)
					})
				}
			}
		}
	}
}
