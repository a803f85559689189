package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"bramleywharf.example/review/world-2/scene"
)

func init() {
	cases["deadly"] = deadly
}

// The part that crashes servers, and how often it comes: eight requests beside some 225 of their kind.
const (
	deadlyPart  = "0dead7ac"
	firstClump  = 3
	secondClump = 5
)

// deadly: a part of prompts crashes each server that begins to write an answer on it. Requests with it come three and five
// at a time.
func deadly(w *scene.World) (int, error) {
	p, err := startDeadly(w, 24, "50ms")
	if err != nil {
		return notRun, err
	}
	machines, err := w.Open(7)
	if err != nil {
		return notRun, err
	}
	begin, clump := time.Now(), 0
	for i := 0; time.Since(begin) < 75*time.Second; i++ {
		p.send(machines[i%len(machines)], false)
		for _, c := range []struct {
			number, size int
			at           time.Duration
		}{{0, firstClump, 12 * time.Second}, {1, secondClump, 52 * time.Second}} {
			if !w.Trouble || clump != c.number || time.Since(begin) < c.at {
				continue
			}
			clump++
			for j := range c.size {
				p.send(machines[(i+j)%len(machines)], true)
			}
		}
		time.Sleep(330 * time.Millisecond) // 3 a second, the rate of one kind of request
	}
	return p.judge(time.Time{})
}

// plague is what the servers and clients of a case with a deadly part have seen.
type plague struct {
	world             *scene.World
	group             sync.WaitGroup
	mu                sync.Mutex
	crashes, arrivals []time.Time
	closing           bool
	engineCount       int
	served, others    int
	pace              string  // pace is the time between two events of the servers.
	sounds            []sound // sounds holds the sound requests.
}

// sound is a request without the part.
type sound struct {
	at    time.Time // at is when it was sent.
	begun bool      // begun tells that its client got an event.
}

// startDeadly starts servers that crash on the part and are back after 2 s.
func startDeadly(w *scene.World, count int, pace string) (*plague, error) {
	p := &plague{world: w, pace: pace}
	for i := range count {
		if err := p.keep("ie-east-" + string(rune('a'+i%3))); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// keep starts a server and, whenever it has crashed, the next one.
func (p *plague) keep(zone string) error {
	p.mu.Lock()
	p.engineCount++
	id := fmt.Sprintf("i-engine-%d", p.engineCount)
	p.mu.Unlock()
	e, err := p.world.Serve(id, "huvo11a", zone, "-engine", "-slots", "64", "-prefill", "1s", "-pace", p.pace, "-deadly", deadlyPart)
	if err != nil {
		return err
	}
	e.OnLine(p.note)
	go func() {
		<-e.Done
		p.mu.Lock()
		isOver := p.closing
		p.mu.Unlock()
		if isOver {
			return
		}
		// The entry of a server that sends no more heartbeats is removed after three of them.
		time.AfterFunc(3600*time.Millisecond, func() { p.world.Store.Remove("servers", id) })
		time.Sleep(2 * time.Second)
		_ = p.keep(zone)
	}()
	return nil
}

// note records a line of a server.
func (p *plague) note(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case strings.HasPrefix(line, "crash "):
		p.crashes = append(p.crashes, time.Now())
	case strings.HasPrefix(line, "deadly "):
		p.arrivals = append(p.arrivals, time.Now())
	}
}

// send sends one request, with the deadly part or without.
func (p *plague) send(m *scene.Machine, isDeadly bool) {
	w, kind := p.world, "sound"
	r := w.Brief()
	if isDeadly {
		kind = "deadly"
		r.Header = strings.Replace(r.Header, "5c1e07a2:200,", "5c1e07a2:200,"+deadlyPart+":800,", 1)
	}
	at := time.Now()
	p.group.Go(func() {
		w.Record.Logf("sent      %s (%s) to %s", r.ID, kind, m.Name)
		a := w.Send(m, r)
		n, inOrder := scene.LastEvent(a.ID, a.Body)
		w.Record.Logf("answered  %s (%s) by %s status %d events %d in order %v complete %v error %v", a.ID, kind, m.Name, a.Status, n, inOrder, a.Complete, a.Err)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !isDeadly {
			p.sounds = append(p.sounds, sound{at: at, begun: a.Status == 200 && n > 0})
		}
		switch {
		case isDeadly:
		case a.Status == 200 && a.Complete && n == 140:
			p.served++
		default:
			p.others++
		}
	})
}

// judge waits for the answers and counts the requests with the part that reached servers later than stable_window_ms after
// the fifth crash, and half a second for what was on its way; those before a time at which machines were not in touch do not
// count.
func (p *plague) judge(inTouch time.Time) (int, error) {
	p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	w := p.world
	w.Record.Logf("sound     %d served, %d not", p.served, p.others)
	w.Record.Logf("crashes   %d", len(p.crashes))
	late := 0
	if len(p.crashes) >= 5 {
		for _, at := range p.arrivals {
			if at.After(p.crashes[4].Add(3500*time.Millisecond)) && at.After(inTouch) {
				late++
			}
		}
	}
	w.Record.Logf("late      %d requests with the part reached servers later than stable_window_ms after the fifth crash", late)
	switch {
	case p.served == 0:
		return notRun, fmt.Errorf("no stream was served")
	case late > 3:
		w.Record.Logf("BROKEN    BUDGET: %d requests with the part, more than three", late)
		return broken, nil
	default:
		return held, nil
	}
}
