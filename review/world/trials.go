package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleywharf.example/review/world/scene"
)

// The functions in this file play trials that are in the report and are no cases.

// playHint lets a server refuse with Retry-After: 5. It reports whether no more than two requests reach it from any
// machine between half a second after such an answer to that machine and the end of that time.
func playHint(w *scene.World) (bool, error) {
	const hint = 5 * time.Second
	w.Configure(scene.Config(7, 16384))
	var servers []*scene.Server
	for i := range 3 {
		p, err := w.StartServer(i, fmt.Sprintf("i-orders%d", i), "shop-orders", "--hint", "5s", "--work", "100ms")
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
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
		w.Signal(servers[0], syscall.SIGUSR2)
	}
	var group sync.WaitGroup
	machineOf := map[string]string{}
	for i := range 900 {
		q := scene.Request{ID: fmt.Sprintf("status%08d", i), Method: "GET", Path: "/cufi504/fi50/2f", Deadline: 1500 * time.Millisecond}
		address := addresses[i%len(addresses)]
		machineOf[q.ID] = address
		group.Go(func() { w.Send(address, q) })
		time.Sleep(8 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	asked := map[string]time.Time{} // asked holds the latest refusal to each machine that was in force.
	late := map[string]int{}
	for _, e := range w.Said() {
		from := machineOf[e.ID]
		if e.Server != servers[0].ID {
			continue
		}
		at, ok := asked[from]
		if e.What == "arrives" && ok && e.At.Sub(at) > hint/10 && e.At.Sub(at) < hint {
			late[from]++
		}
		if e.What == "refuses" && (!ok || e.At.Sub(at) >= hint) {
			asked[from] = e.At
		}
	}
	held := true
	for from, count := range late {
		w.Record("%d requests reached %s from %s between 0.5 s and 5 s after its answer with Retry-After: 5", count, servers[0].ID, from)
		held = held && count <= 2
	}
	return held, nil
}

// playEndless lets one of three servers send bytes without end. It reports whether the machine stays within its memory
// and answers what the other servers have run.
func playEndless(w *scene.World) (bool, error) {
	w.Configure(scene.Config(7, 16384))
	for i := range 3 {
		flags := []string{}
		if i == 0 && w.Trouble {
			flags = append(flags, "--endless", os.Getenv("ENDLESS"))
		}
		if _, err := w.StartServer(i, fmt.Sprintf("i-orders%d", i), "shop-orders", flags...); err != nil {
			return false, err
		}
	}
	if err := w.StartMachines(1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for i := range 1000 {
		q := scene.Request{ID: fmt.Sprintf("order%08d", i), Method: "POST", Path: "/puxa403/2f", Deadline: 1500 * time.Millisecond}
		group.Go(func() {
			a := w.Send(w.Machines[0].IP+":8227", q)
			mu.Lock()
			counts[a.Status]++
			mu.Unlock()
		})
		time.Sleep(8 * time.Millisecond)
	}
	group.Wait()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.Machines[0].Process.Process.Pid))
	for _, line := range strings.Split(string(status), "\n") {
		if strings.HasPrefix(line, "VmHWM") {
			w.Record("%s: %s; answers by status %v", os.Getenv("ENDLESS"), line, counts)
		}
	}
	return true, nil
}

// playLimits raises max_header_bytes by a new version. It reports whether requests that the new limits allow are served.
func playLimits(w *scene.World) (bool, error) {
	const before, after = 16384, 65536
	if w.Trouble {
		w.Configure(scene.Config(7, before))
	} else {
		w.Configure(scene.Config(9, after))
	}
	for i := range 3 {
		if _, err := w.StartServer(i, fmt.Sprintf("i-orders%d", i), "shop-orders"); err != nil {
			return false, err
		}
	}
	if err := w.StartMachines(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch by then.
	if w.Trouble {
		w.Configure(scene.Config(9, after))
		w.Record("the store has acknowledged version 9, with max_header_bytes %d in place of %d", after, before)
	}
	time.Sleep(scene.ApplyTime + time.Second)
	addresses := w.Resolve(w.Machines[0])
	if len(addresses) == 0 {
		return false, fmt.Errorf("the directory gives no address")
	}
	denied, served, count := 0, 0, 60
	for i := range count {
		q := scene.Request{ID: fmt.Sprintf("status%08d", i), Method: "GET", Path: "/cufi504/fi50/2f", Deadline: 1500 * time.Millisecond}
		if i%2 == 0 {
			q.Header = map[string]string{"X-Order-List": strings.Repeat("engraving-0123456789,", 1800)} // 37,800 bytes
		}
		a := w.Send(addresses[i%len(addresses)], q)
		switch {
		case a.Status == 200 && a.Err == nil:
			served++
		case a.Status >= 300 && a.Status < 500 && a.Status != 408 && a.Status != 421 && a.Status != 429:
			denied++
			w.Record("request %s with %d bytes of headers was denied with %d", q.ID, len(q.Header["X-Order-List"]), a.Status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	allowed := 5 + count/500
	w.Record("%d of %d requests served, %d denied; %d may be", served, count, denied, allowed)
	return denied <= allowed, nil
}
