package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["deadly"] = deadly
}

// The part that crashes servers, and how often it comes: nine requests beside some 225 of their kind.
const (
	deadlyPart  = "0dead7ac"
	firstClump  = 4
	secondClump = 5
)

// deadly: a part of prompts crashes each server that begins to write an answer on it. Requests with it come four and five
// at a time.
func deadly(w *world) (int, error) {
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	closing := false
	var keep func(id, zone string) error
	engineCount := 0
	keep = func(id, zone string) error {
		e, err := w.serve(id, "huvo11a", zone, "-engine", "-slots", "64", "-prefill", "1s", "-pace", "50ms", "-deadly", deadlyPart)
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.onLine = func(line string) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case strings.HasPrefix(line, "crash "):
				crashes = append(crashes, time.Now())
			case strings.HasPrefix(line, "deadly "):
				arrivals = append(arrivals, time.Now())
			}
		}
		e.mu.Unlock()
		go func() {
			<-e.done
			mu.Lock()
			engineCount++
			next, isOver := fmt.Sprintf("i-engine-%d", engineCount), closing
			mu.Unlock()
			if isOver {
				return
			}
			// The entry of a server that sends no more heartbeats is removed after three of them; the server is back after 2 s.
			time.AfterFunc(3600*time.Millisecond, func() { w.store.remove("servers", id) })
			time.Sleep(2 * time.Second)
			_ = keep(next, zone)
		}()
		return nil
	}
	for i := range 24 {
		engineCount++
		if err := keep(fmt.Sprintf("i-engine-%d", engineCount), "ie-east-"+string(rune('a'+i%3))); err != nil {
			return notRun, err
		}
	}
	machines, err := w.open(7)
	if err != nil {
		return notRun, err
	}
	var group sync.WaitGroup
	served, others := 0, 0
	play := func(m *machine, r request, kind string) {
		group.Go(func() {
			w.record.logf("sent      %s (%s) to %s", r.id, kind, m.name)
			a := w.send(m, r)
			n, inOrder := lastEvent(a.id, a.body)
			w.record.logf("answered  %s (%s) by %s status %d events %d in order %v complete %v error %v", a.id, kind, m.name, a.status, n, inOrder, a.complete, a.err)
			mu.Lock()
			defer mu.Unlock()
			if kind == "sound" && a.status == 200 && a.complete && n == 140 {
				served++
			} else if kind == "sound" {
				others++
			}
		})
	}
	begin, clump := time.Now(), 0
	for i := 0; time.Since(begin) < 75*time.Second; i++ {
		play(machines[i%len(machines)], w.brief(machines[0]), "sound")
		for _, c := range []struct {
			number, size int
			at           time.Duration
		}{{0, firstClump, 5 * time.Second}, {1, secondClump, 50 * time.Second}} {
			if !w.trouble || clump != c.number || time.Since(begin) < c.at {
				continue
			}
			clump++
			for j := range c.size {
				r := w.brief(machines[0])
				r.header = strings.Replace(r.header, "5c1e07a2:200,", "5c1e07a2:200,"+deadlyPart+":800,", 1)
				play(machines[(i+j)%len(machines)], r, "deadly")
			}
		}
		time.Sleep(330 * time.Millisecond) // 3 a second, the rate of one kind of request
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	closing = true
	w.record.logf("sound     %d served, %d not", served, others)
	w.record.logf("crashes   %d", len(crashes))
	late := 0
	if len(crashes) >= 5 {
		for _, at := range arrivals {
			if at.After(crashes[4].Add(3500 * time.Millisecond)) { // stable_window_ms, and half a second for what was on its way
				late++
			}
		}
	}
	w.record.logf("late      %d requests with the part reached servers later than stable_window_ms after the fifth crash", late)
	switch {
	case served == 0:
		return notRun, fmt.Errorf("no stream was served")
	case late > 3:
		w.record.logf("BROKEN    BUDGET: %d requests with the part, more than three", late)
		return broken, nil
	default:
		return held, nil
	}
}
