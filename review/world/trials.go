package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The functions in this file play trials that are in the report and are no cases.

// playHint lets a server refuse with Retry-After: 5. It reports whether no more than two requests reach it from any
// machine between half a second after such an answer to that machine and the end of that time.
func playHint(w *world) (bool, error) {
	const hint = 5 * time.Second
	w.store.configure(config(7, 16384))
	var servers []*serverProcess
	for i := range 3 {
		p, err := w.startServer(i, fmt.Sprintf("i-orders%d", i), "shop-orders", "--hint", "5s", "--work", "100ms")
		if err != nil {
			return false, err
		}
		servers = append(servers, p)
	}
	if err := w.startMachines(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch by then.
	addresses := w.resolve(w.machines[0])
	if len(addresses) == 0 {
		return false, fmt.Errorf("the directory gives no address")
	}
	if w.trouble {
		w.signal(servers[0], syscall.SIGUSR2)
	}
	var group sync.WaitGroup
	machineOf := map[string]string{}
	for i := range 900 {
		q := request{id: fmt.Sprintf("status%08d", i), method: "GET", path: "/cufi504/fi50/2f", deadline: 1500 * time.Millisecond}
		address := addresses[i%len(addresses)]
		machineOf[q.id] = address
		group.Go(func() { w.send(address, q) })
		time.Sleep(8 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	asked := map[string]time.Time{} // asked holds the latest refusal to each machine that was in force.
	late := map[string]int{}
	for _, e := range w.said() {
		from := machineOf[e.id]
		if e.server != servers[0].id {
			continue
		}
		at, ok := asked[from]
		if e.what == "arrives" && ok && e.at.Sub(at) > hint/10 && e.at.Sub(at) < hint {
			late[from]++
		}
		if e.what == "refuses" && (!ok || e.at.Sub(at) >= hint) {
			asked[from] = e.at
		}
	}
	held := true
	for from, count := range late {
		w.record("%d requests reached %s from %s between 0.5 s and 5 s after its answer with Retry-After: 5", count, servers[0].id, from)
		held = held && count <= 2
	}
	return held, nil
}

// playEndless lets one of three servers send bytes without end. It reports whether the machine stays within its memory
// and answers what the other servers have run.
func playEndless(w *world) (bool, error) {
	w.store.configure(config(7, 16384))
	for i := range 3 {
		flags := []string{}
		if i == 0 && w.trouble {
			flags = append(flags, "--endless", os.Getenv("ENDLESS"))
		}
		if _, err := w.startServer(i, fmt.Sprintf("i-orders%d", i), "shop-orders", flags...); err != nil {
			return false, err
		}
	}
	if err := w.startMachines(1); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for i := range 1000 {
		q := request{id: fmt.Sprintf("order%08d", i), method: "POST", path: "/puxa403/2f", deadline: 1500 * time.Millisecond}
		group.Go(func() {
			a := w.send(w.machines[0].ip+":8227", q)
			mu.Lock()
			counts[a.status]++
			mu.Unlock()
		})
		time.Sleep(8 * time.Millisecond)
	}
	group.Wait()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.machines[0].process.Process.Pid))
	for _, line := range strings.Split(string(status), "\n") {
		if strings.HasPrefix(line, "VmHWM") {
			w.record("%s: %s; answers by status %v", os.Getenv("ENDLESS"), line, counts)
		}
	}
	return true, nil
}

// playLimits raises max_header_bytes by a new version. It reports whether requests that the new limits allow are served.
func playLimits(w *world) (bool, error) {
	const before, after = 16384, 65536
	if w.trouble {
		w.store.configure(config(7, before))
	} else {
		w.store.configure(config(9, after))
	}
	for i := range 3 {
		if _, err := w.startServer(i, fmt.Sprintf("i-orders%d", i), "shop-orders"); err != nil {
			return false, err
		}
	}
	if err := w.startMachines(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All machines are in touch by then.
	if w.trouble {
		w.store.configure(config(9, after))
		w.record("the store has acknowledged version 9, with max_header_bytes %d in place of %d", after, before)
	}
	time.Sleep(applyTime + time.Second)
	addresses := w.resolve(w.machines[0])
	if len(addresses) == 0 {
		return false, fmt.Errorf("the directory gives no address")
	}
	denied, served, count := 0, 0, 60
	for i := range count {
		q := request{id: fmt.Sprintf("status%08d", i), method: "GET", path: "/cufi504/fi50/2f", deadline: 1500 * time.Millisecond}
		if i%2 == 0 {
			q.header = map[string]string{"X-Order-List": strings.Repeat("engraving-0123456789,", 1800)} // 37,800 bytes
		}
		a := w.send(addresses[i%len(addresses)], q)
		switch {
		case a.status == 200 && a.err == nil:
			served++
		case a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429:
			denied++
			w.record("request %s with %d bytes of headers was denied with %d", q.id, len(q.header["X-Order-List"]), a.status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	allowed := 5 + count/500
	w.record("%d of %d requests served, %d denied; %d may be", served, count, denied, allowed)
	return denied <= allowed, nil
}
