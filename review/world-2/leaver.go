package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramleywharf.example/review/world-2/origin"
	"bramleywharf.example/review/world-2/scene"
)

func init() {
	cases["leaver"] = leaver
	cases["crash"] = crash
}

// leaver: servers are emptied and taken away (scale_in) while streams run whose answers have neither a length nor chunks.
func leaver(w *scene.World) (int, error) {
	const total = 140
	var engines []*scene.Child
	for i := range 8 {
		e, err := w.Serve(fmt.Sprintf("i-engine-%d", i+1), "huvo11a", "ie-east-"+string(rune('a'+i%3)),
			"-engine", "-slots", "64", "-unframed", "-prefill", "1s", "-pace", "60ms", "-longer", "1s")
		if err != nil {
			return notRun, err
		}
		engines = append(engines, e)
	}
	machines, err := w.Open(2)
	if err != nil {
		return notRun, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []scene.Answer
	begin := time.Now()
	if w.Trouble {
		time.AfterFunc(4*time.Second, func() {
			w.Record.Logf("platform  i-engine-1 is told to leave")
			engines[0].Signal(syscall.SIGTERM)
		})
	}
	for i := 0; time.Since(begin) < 10*time.Second; i++ {
		m := machines[i%len(machines)]
		group.Go(func() {
			r := w.Brief()
			w.Record.Logf("sent      %s to %s", r.ID, m.Name)
			a := w.Send(m, r)
			n, inOrder := scene.LastEvent(a.ID, a.Body)
			w.Record.Logf("answered  %s status %d signature %q events %d in order %v complete %v error %v", a.ID, a.Status, a.Signature, n, inOrder, a.Complete, a.Err)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
		time.Sleep(160 * time.Millisecond) // 6.2 streams a second, the rate of the sheet
	}
	group.Wait()
	whole, short, cut := 0, 0, 0
	for _, a := range answers {
		n, inOrder := scene.LastEvent(a.ID, a.Body)
		switch {
		case a.Status == 200 && a.Complete && inOrder && n == total:
			whole++
		case a.Status == 200 && a.Complete:
			short++
			w.Record.Logf("BROKEN    ORDER: stream %s ended as complete after event %d of %d, in order %v", a.ID, n, total, inOrder)
		default:
			cut++
		}
	}
	w.Record.Logf("streams   %d whole, %d ended as complete before the last event, %d others", whole, short, cut)
	switch {
	case short > 0:
		return broken, nil
	case whole == 0:
		return notRun, fmt.Errorf("no stream was served")
	default:
		return held, nil
	}
}

// crash: servers of the plain service crash (SIGKILL), one at a time, while they send answers that have no length.
func crash(w *scene.World) (int, error) {
	flags := []string{"-slots", "6", "-unframed", "-work", "100ms"}
	zone := func(i int) string { return "ie-east-" + string(rune('a'+i%3)) }
	shops := make([]*scene.Child, 8)
	for i := range shops {
		var err error
		if shops[i], err = w.Serve(fmt.Sprintf("i-shop-%d", i+1), "wuno96b", zone(i), flags...); err != nil {
			return notRun, err
		}
	}
	machines, err := w.Open(2)
	if err != nil {
		return notRun, err
	}
	const rounds = 4 // One server of eight is down at a time, for 4.5 s.
	var isBroken, isOver atomic.Bool
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, short, others := 0, 0, 0
	group.Go(func() {
		defer isOver.Store(true)
		for round := range rounds {
			time.Sleep(1500 * time.Millisecond)
			if !w.Trouble {
				time.Sleep(4500 * time.Millisecond)
				continue
			}
			if isBroken.Load() {
				return
			}
			i := round % len(shops)
			// The server is busy as it crashes: it has begun a request 50 ms before.
			before := shops[i].Count("run ")
			scene.Await(5*time.Second, func() bool { return shops[i].Count("run ") > before })
			time.Sleep(50 * time.Millisecond)
			w.Record.Logf("platform  server %s crashes", shops[i].Name())
			shops[i].Signal(syscall.SIGKILL)
			time.Sleep(4500 * time.Millisecond)
			next, err := w.Serve(fmt.Sprintf("i-shop-%d-%d", i+1, round), "wuno96b", zone(i), flags...)
			if err == nil {
				shops[i] = next
			}
		}
	})
	for i := 0; !isOver.Load(); i++ {
		m := machines[i%len(machines)]
		r := w.Order()
		if i%3 == 2 {
			r = w.Status()
		}
		group.Go(func() {
			a := w.Send(m, r)
			w.Record.Logf("answered  %s %s by %s status %d signature %q bytes %d complete %v error %v", a.ID, r.Method, m.Name, a.Status, a.Signature, len(a.Body), a.Complete, a.Err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Status == 200 && a.Complete && a.Body == origin.WholeBody(a.ID):
				whole++
			case a.Status == 200 && a.Complete:
				short++
				isBroken.Store(true)
				w.Record.Logf("BROKEN    MIXED: %s %s has status 200 and %d of the server's %d bytes, and looks complete", r.Method, a.ID, len(a.Body), origin.PieceSize*origin.Pieces)
			default:
				others++
			}
		})
		time.Sleep(32 * time.Millisecond) // 31 requests a second, the rate of the sheet
	}
	group.Wait()
	w.Record.Logf("answers   %d whole, %d successes with a part of the body, %d others", whole, short, others)
	switch {
	case short > 0:
		return broken, nil
	case whole == 0:
		return notRun, fmt.Errorf("no request was served")
	default:
		return held, nil
	}
}
