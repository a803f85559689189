package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleywharf.example/review/world/scene"
)

// playDeadly sends requests with a part that crashes each server that begins to write an answer on it, between sound
// ones. It reports whether no more than three of them reach servers later than stable_window_ms after the fifth crash.
func playDeadly(w *scene.World) (bool, error) {
	const (
		deadlyPart   = "5c1e07a2"
		requestCount = 180                    // for 22 s at most
		interval     = 122 * time.Millisecond // between two requests
		every        = 20                     // every 20th request has the part: a share of 0.05
		downTime     = 3 * time.Second        // for which a crashed server is down
		stableWindow = 3 * time.Second
	)
	w.Configure(scene.Config(7, 16384))
	flags := []string{}
	if w.Trouble {
		flags = append(flags, "--deadly", deadlyPart)
	}
	if os.Getenv("CRASH_IN") == "event" {
		flags = append(flags, "--deadly-event")
	}
	for i := range 6 {
		if _, err := w.StartServer(i, fmt.Sprintf("i-engine%d", i), "design-llm", flags...); err != nil {
			return false, err
		}
	}
	if err := w.StartMachines(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch by then.
	addresses := w.Resolve(w.Machines[0])
	if len(addresses) == 0 {
		return false, fmt.Errorf("the directory gives no address")
	}
	done := make(chan struct{})
	defer close(done)
	go restartCrashed(w, done, downTime, flags)
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, sound := 0, 0
	for i := range requestCount {
		isDeadly := i%every == every/2
		second := fmt.Sprintf("e4402b%02x", i%7)
		if isDeadly {
			second = deadlyPart
		} else {
			sound++
		}
		q := scene.Request{
			ID: fmt.Sprintf("stream%08d", i), Method: "POST", Path: "/lohu930/2f", Deadline: 25 * time.Second, Body: "brief",
			Header: map[string]string{"X-Model": "m", "X-Token-Usage": "8300,1000", "X-Prompt-Prefix": fmt.Sprintf("91bd3f06:200,%s:100,f%07x:8000", second, i)},
		}
		if isDeadly {
			q.ID = fmt.Sprintf("deadly%08d", i)
		}
		group.Go(func() {
			a := w.Send(addresses[i%len(addresses)], q)
			mu.Lock()
			defer mu.Unlock()
			if a.Status == 200 && a.Err == nil && strings.Count(a.Body, "\n\n") == pieceCount && !isDeadly {
				whole++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	var fifth time.Time
	crashes, late := 0, 0
	for _, e := range w.Said() {
		if e.What != "crashes" {
			continue
		}
		if crashes++; crashes == 5 {
			fifth = e.At
		}
	}
	for _, e := range w.Said() {
		if e.What == "arrives" && strings.HasPrefix(e.ID, "deadly") && !fifth.IsZero() && e.At.Sub(fifth) > stableWindow {
			late++
			w.Record("request %s reached %s %d ms after the fifth crash", e.ID, e.Server, e.At.Sub(fifth).Milliseconds())
		}
	}
	w.Record("%d crashes; %d requests with the part reached servers later than 3 s after the fifth; %d of %d sound streams were whole", crashes, late, whole, sound)
	if !w.Trouble && whole < sound {
		return false, fmt.Errorf("without the disruption only %d of %d sound streams were whole", whole, sound)
	}
	return late <= 3, nil
}

// restartCrashed starts each server that has crashed again, some seconds later and under another id.
func restartCrashed(w *scene.World, done <-chan struct{}, downTime time.Duration, flags []string) {
	seen := 0
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		events := w.Said()
		for ; seen < len(events); seen++ {
			e := events[seen]
			if e.What != "crashes" {
				continue
			}
			name, start, _ := strings.Cut(e.Server, "-start")
			number, _ := strconv.Atoi(strings.TrimPrefix(name, "i-engine"))
			startCount, _ := strconv.Atoi(start)
			time.AfterFunc(downTime, func() {
				if _, err := w.StartServer(number, fmt.Sprintf("%s-start%d", name, startCount+1), "design-llm", flags...); err != nil {
					w.Record("%s did not start again: %v", name, err)
				}
			})
		}
	}
}
