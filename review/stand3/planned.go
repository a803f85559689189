package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceTime = 8 * time.Second
	stops     = 2
	stopGap   = 12 * time.Second
)

// plannedStop stops two of six instances while streams run whose events are numbered by fives, or by ones with TROUBLE=ids. It
// returns how many streams that a stopped instance had taken ended incomplete around its stop, for no reason that LOST names.
func plannedStop(w *world, trouble bool) int {
	w.configure()
	step := 5
	if os.Getenv("TROUBLE") == "ids" {
		step = 1
	}
	for range engineCount {
		w.startServer("engines", "-step", fmt.Sprint(step))
	}
	w.startInstances()
	var mu sync.Mutex
	stoppedAt := make(map[string]time.Time)
	var group sync.WaitGroup
	lost := 0
	stream := func(id string) {
		address, sent := w.resolve(), time.Now()
		got := w.sendTo(address, "POST", "/brief/"+id, id, 25*time.Second, fmt.Sprintf("X-Prompt-Prefix: aa01:200,%x:8000\r\n", hash(id)))
		ended := time.Now()
		mu.Lock()
		defer mu.Unlock()
		at, stopped := stoppedAt[address]
		w.note("client: %s at %s got status %d, %d of %d events, complete %v, error %v", id, address, got.status, strings.Count(got.body, "\n\n"), streamEvents, got.whole, got.err)
		// A server at work in the last sixth of the grace time is excused, and nothing passed on without a status.
		if stopped && got.status == 200 && !got.whole && ended.After(at) && sent.Before(at.Add(3*time.Second)) && ended.Before(at.Add(graceTime*5/6)) {
			w.note("LOST broken: %s was cut %.2f s after the SIGTERM of its instance", id, ended.Sub(at).Seconds())
			lost++
		}
	}
	begin, next := time.Now(), 0
	for n := 0; time.Since(begin) < (stops+1)*stopGap; n++ {
		group.Go(func() { stream(fmt.Sprintf("brief-%05d", n)) })
		if trouble && next < stops && time.Since(begin) >= time.Duration(next+1)*stopGap {
			mu.Lock()
			stoppedAt[w.addresses[next]] = time.Now()
			mu.Unlock()
			w.note("SIGTERM of the instance at %s", w.addresses[next])
			_ = w.instances[next].Process.Signal(syscall.SIGTERM)
			next++
		}
		time.Sleep(streamGap)
	}
	group.Wait()
	return lost
}
