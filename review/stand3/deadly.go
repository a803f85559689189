package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// A part of prompts crashes the servers that begin to write an answer on it. Seven requests with the part come within 22 s,
// three and later four of them at the same time, beside some 135 sound ones of their kind.
const (
	deadlyPart    = "0dead7ac"
	deadlyEngines = 24
	deadlyWindow  = 22 * time.Second
	soundGap      = 160 * time.Millisecond // time between two sound requests: 6.2 a second, as on the sheet
	downTime      = 2 * time.Second        // until a server that has crashed is back, under another id
	stableWindow  = 3 * time.Second
	maxLate       = 3
)

// clump is a number of requests with the part that come at one time in the window.
type clump struct {
	at   time.Duration
	size int
}

// outbreak is what the servers have seen of the part.
type outbreak struct {
	world *world

	mu                sync.Mutex
	crashes, arrivals []time.Time
	closing           bool
}

// deadlyClump returns by how many the requests with the part that reached servers later than the stable window after the fifth
// crash were more than three.
func deadlyClump(w *world, trouble bool) int {
	w.configure()
	o := &outbreak{world: w}
	for range deadlyEngines {
		o.keep()
	}
	w.startInstances()
	o.play(trouble, []clump{{0, 3}, {21600 * time.Millisecond, 4}})
	return o.judge()
}

// play sends sound requests and, with trouble, clumps of requests with the part, and waits for the answers.
func (o *outbreak) play(trouble bool, clumps []clump) {
	w := o.world
	var group sync.WaitGroup
	send := func(id, parts string) {
		group.Go(func() {
			header := fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 8200,980\r\nX-Prompt-Prefix: %s,%x:7200\r\n", parts, hash(id))
			got := w.send("POST", "/brief/"+id, id, 25*time.Second, header)
			w.note("client: %s got status %d, %d of %d events, complete %v, error %v", id, got.status, strings.Count(got.body, "\n\n"), streamEvents, got.whole, got.err)
		})
	}
	const warmUp = 10 * time.Second // The first streams have ended by then.
	begin, next := time.Now(), 0
	for n := 0; time.Since(begin) < warmUp+deadlyWindow; n++ {
		send(fmt.Sprintf("sound-%04d", n), "aa01:200,bb01:800")
		for trouble && next < len(clumps) && time.Since(begin) >= warmUp+clumps[next].at {
			for i := range clumps[next].size {
				send(fmt.Sprintf("deadly-%d-%d-%08x", next, i, rand.Uint32()), "aa01:200,"+deadlyPart+":800")
			}
			next++
		}
		time.Sleep(soundGap)
	}
	group.Wait()
}

// keep starts a server, and another one whenever it has crashed.
func (o *outbreak) keep() {
	s := o.world.startServerWith(o.note, "engines", "-deadly", deadlyPart)
	go func() {
		<-s.ended
		time.AfterFunc(3600*time.Millisecond, func() { o.world.store.Expire(s.name) })
		time.Sleep(downTime)
		o.mu.Lock()
		closing := o.closing
		o.mu.Unlock()
		if !closing {
			o.keep()
		}
	}()
}

func (o *outbreak) note(line string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case strings.HasPrefix(line, "crash "):
		o.crashes = append(o.crashes, time.Now())
	case strings.HasPrefix(line, "deadly "):
		o.arrivals = append(o.arrivals, time.Now())
	}
}

func (o *outbreak) judge() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	late := 0
	for _, at := range o.arrivals {
		if len(o.crashes) >= 5 && at.Sub(o.crashes[4]) > stableWindow {
			late++
		}
	}
	o.world.note("%d crashes; %d requests with the part reached servers, %d of them later than %v after the fifth crash", len(o.crashes), len(o.arrivals), late, stableWindow)
	return max(0, late-maxLate)
}
