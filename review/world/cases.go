package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleywharf.example/review/world/scene"
)

// playUnframed sends streams whose answers have neither a length nor chunks, and kills one of three engines. It reports
// whether no stream ended as complete before its last piece.
func playUnframed(w *scene.World) (bool, error) {
	w.Configure(scene.Config(7, 16384))
	var engines []*scene.Server
	for i := range 3 {
		p, err := w.StartServer(i, fmt.Sprintf("i-engine%d", i), "design-llm", "--unframed")
		if err != nil {
			return false, err
		}
		engines = append(engines, p)
	}
	if err := w.StartMachines(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch by then.
	addresses := w.Resolve(w.Machines[0])
	if len(addresses) == 0 {
		return false, fmt.Errorf("the directory gives no address")
	}
	if w.Trouble {
		time.AfterFunc(6*time.Second, func() { w.Signal(engines[0], syscall.SIGKILL) })
		time.AfterFunc(7200*time.Millisecond, func() {
			if _, err := w.StartServer(0, "i-engine0-again", "design-llm", "--unframed"); err != nil {
				w.Record("engine did not start again: %v", err)
			}
		})
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, broken, early := 0, 0, 0
	for i := range 40 {
		group.Go(func() {
			q := scene.Request{
				ID: fmt.Sprintf("stream%08d", i), Method: "POST", Path: "/lohu930/2f", Deadline: 25 * time.Second, Body: "brief",
				Header: map[string]string{"X-Model": "m", "X-Token-Usage": "8200,1000", "X-Prompt-Prefix": fmt.Sprintf("a%x:200,b%x:8000", i%5, i)},
			}
			a := w.Send(addresses[i%len(addresses)], q)
			pieces := strings.Count(a.Body, "\n\n")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Status != 200 || a.Err != nil:
				broken++
			case pieces == pieceCount:
				whole++
			default:
				early++
				w.Record("stream %s ended as complete after %d of %d pieces", q.ID, pieces, pieceCount)
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	group.Wait()
	w.Record("%d streams were whole, %d were refused or broken off, %d ended as complete before their last piece", whole, broken, early)
	if !w.Trouble && whole != 40 {
		return false, fmt.Errorf("without the disruption only %d streams were whole", whole)
	}
	return early == 0, nil
}

// playLeaving lets a server leave while the machine is cut off from the store and from the other machines. It reports
// whether the machine sent the server nothing later than drain_ms after it had passed on an answer with Server-Leaving.
func playLeaving(w *scene.World) (bool, error) {
	w.Configure(scene.Config(7, 16384))
	var servers []*scene.Server
	for i := range 3 {
		p, err := w.StartServer(i, fmt.Sprintf("i-orders%d", i), "shop-orders", "--work", "100ms", "--lingers", "4500ms")
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
	}
	if err := w.StartMachines(1); err != nil {
		return false, err
	}
	m := w.Machines[0]
	time.Sleep(4 * time.Second) // The machine is in touch by then.
	addresses := w.Resolve(m)
	if len(addresses) == 0 {
		return false, fmt.Errorf("the directory gives no address")
	}
	if w.Trouble {
		w.Record("machine %s is cut off from the store and from the other machines", m.Name)
		m.Door.Shut()
		time.AfterFunc(5500*time.Millisecond, func() {
			w.Record("the cut has healed")
			m.Door.Open()
		})
	}
	time.Sleep(300 * time.Millisecond)
	leaver := servers[0]
	w.Signal(leaver, syscall.SIGTERM)
	var group sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var firstPassed time.Time // firstPassed is when a client first got an answer with Server-Leaving.
	lost := 0
	for i := range 240 {
		group.Go(func() {
			q := scene.Request{ID: fmt.Sprintf("order%08d", i), Method: "POST", Path: "/puxa403/2f", Deadline: 1500 * time.Millisecond, Body: "order"}
			mu.Lock()
			sent[q.ID] = time.Now()
			mu.Unlock()
			a := w.Send(addresses[0], q)
			mu.Lock()
			defer mu.Unlock()
			if a.Status == 200 && a.Header.Get("Server-Leaving") != "" && (firstPassed.IsZero() || a.GotAt.Before(firstPassed)) {
				firstPassed = a.GotAt
			}
			if a.Status != 200 && a.Status != 503 && a.Status != 429 {
				lost++
				w.Record("order %s has no answer that says what became of it", q.ID)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	late := 0
	for _, e := range w.Said() {
		if e.Server != leaver.ID || e.What != "arrives" || firstPassed.IsZero() {
			continue
		}
		if after := sent[e.ID].Sub(firstPassed); after > scene.DrainTime {
			late++
			w.Record("request %s was sent %d ms after the machine had passed on an answer with Server-Leaving, and reached %s", e.ID, after.Milliseconds(), e.Server)
		}
	}
	passedOn := "never"
	if !firstPassed.IsZero() {
		passedOn = fmt.Sprintf("at %.3f", firstPassed.Sub(w.Start).Seconds())
	}
	w.Record("first answer with Server-Leaving passed on %s; %d requests sent later than %d ms after it reached the server; %d orders have an unknown outcome", passedOn, late, scene.DrainTime.Milliseconds(), lost)
	return late == 0, nil
}

// playGrace raises grace_s in the settings file of a machine, with SIGHUP, and stops the machine later. It reports whether
// the machine cut no request whose server was done before the last sixth of grace_s.
func playGrace(w *scene.World) (bool, error) {
	const before, after = 8, 20
	w.Grace = before
	if !w.Trouble {
		w.Grace = after
	}
	w.Configure(scene.Config(7, 16384))
	for i := range 3 {
		if _, err := w.StartServer(i, fmt.Sprintf("i-engine%d", i), "design-llm", "--pace", "80ms"); err != nil {
			return false, err
		}
	}
	if err := w.StartMachines(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch by then.
	m := w.Machines[0]
	if w.Trouble {
		w.Grace = after
		w.Record("grace_s is %d in place of %d", after, before)
		if err := w.ChangeSettings(m); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	for i := range 20 {
		group.Go(func() {
			q := scene.Request{
				ID: fmt.Sprintf("stream%08d", i), Method: "POST", Path: "/lohu930/2f", Deadline: 25 * time.Second, Body: "brief",
				Header: map[string]string{"X-Model": "m", "X-Token-Usage": "8200,1000", "X-Prompt-Prefix": fmt.Sprintf("a%x:200,b%x:8000", i%5, i)},
			}
			a := w.Send(m.IP+":8227", q)
			mu.Lock()
			defer mu.Unlock()
			if a.Status == 200 && a.Err == nil && strings.Count(a.Body, "\n\n") == pieceCount {
				whole++
				return
			}
			cut++
			w.Record("stream %s was cut", q.ID)
		})
		time.Sleep(100 * time.Millisecond)
	}
	w.Record("SIGTERM to %s; SIGKILL would follow %d s later", m.Name, after)
	if err := m.Process.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	stopped := time.Now()
	kill := time.AfterFunc(after*time.Second, func() { _ = m.Process.Process.Kill() })
	defer kill.Stop()
	group.Wait()
	w.Record("all streams have ended %.1f s after SIGTERM, before the last sixth of %d s; %d are whole, %d were cut", time.Since(stopped).Seconds(), after, whole, cut)
	return cut == 0, nil
}

// playRemoved kills two of three machines, removes the entry of a server while they are down, and starts them again. It
// reports whether the machine that was left sends the server nothing later than drain_ms after the store has accepted that
// it is gone.
func playRemoved(w *scene.World) (bool, error) {
	w.Configure(scene.Config(7, 16384))
	var servers []*scene.Server
	for i := range 3 {
		p, err := w.StartServer(i, fmt.Sprintf("i-orders%d", i), "shop-orders", "--work", "100ms", "--lingers", "5s")
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
	}
	if err := w.StartMachines(3); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // All machines are in touch by then.
	killed, left := []*scene.Machine{w.Machines[0], w.Machines[2]}, w.Machines[1]
	if w.Trouble {
		for _, m := range killed {
			w.Record("SIGKILL to machine %s", m.Name)
			_ = m.Process.Process.Kill()
			time.AfterFunc(250*time.Millisecond, func() {
				w.Record("machine %s starts again", m.Name)
				if err := w.StartMachine(m); err != nil {
					w.Record("it did not start: %v", err)
				}
			})
		}
	}
	leaver := servers[0]
	time.AfterFunc(100*time.Millisecond, func() { w.Signal(leaver, syscall.SIGUSR1) })
	var group sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	lost := 0
	for i := range 280 {
		group.Go(func() {
			q := scene.Request{ID: fmt.Sprintf("order%08d", i), Method: "POST", Path: "/puxa403/2f", Deadline: 1500 * time.Millisecond, Body: "order"}
			mu.Lock()
			sent[q.ID] = time.Now()
			mu.Unlock()
			a := w.Send(left.IP+":8227", q)
			if a.Status != 200 && a.Status != 503 && a.Status != 429 {
				mu.Lock()
				defer mu.Unlock()
				lost++
				w.Record("order %s has no answer that says what became of it", q.ID)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	var removedAt time.Time
	for _, e := range w.Said() {
		if e.Server == leaver.ID && e.What == "removed" {
			removedAt = e.At
		}
	}
	if removedAt.IsZero() {
		return false, fmt.Errorf("the entry was not removed")
	}
	late := 0
	for _, e := range w.Said() {
		if e.Server != leaver.ID || e.What != "arrives" {
			continue
		}
		if after := sent[e.ID].Sub(removedAt); after > scene.DrainTime {
			late++
			w.Record("request %s was sent %d ms after the store had accepted that %s is gone, and reached it", e.ID, after.Milliseconds(), e.Server)
		}
	}
	w.Record("%d requests sent later than %d ms after the entry was removed reached the server; %d orders have an unknown outcome", late, scene.DrainTime.Milliseconds(), lost)
	return late == 0, nil
}
