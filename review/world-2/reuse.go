package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["reuse"] = reuse
}

// reuse: a model server crashes for good while the store is down, and its address goes to a server of another service, which
// no configuration names.
func reuse(w *world) (int, error) {
	var engines []*child
	for i := range 8 {
		e, err := w.serve(fmt.Sprintf("i-engine-%d", i+1), "huvo11a", "ie-east-"+string(rune('a'+i%3)), "-engine", "-slots", "64", "-prefill", "1s", "-pace", "20ms")
		if err != nil {
			return notRun, err
		}
		engines = append(engines, e)
	}
	machines, err := w.open(2)
	if err != nil {
		return notRun, err
	}
	line, _ := engines[0].has("up ")
	address := line[strings.LastIndexByte(line, ' ')+1:]
	var other *child
	begin := time.Now()
	if w.trouble {
		time.AfterFunc(2*time.Second, func() {
			w.record.logf("platform  the store is down")
			w.store.silent.Store(true)
		})
		time.AfterFunc(2200*time.Millisecond, func() {
			w.record.logf("platform  i-engine-1 crashes for good")
			engines[0].signal(syscall.SIGKILL)
			w.store.remove("servers", "i-engine-1")
		})
		time.AfterFunc(4700*time.Millisecond, func() {
			w.record.logf("platform  address %s goes to a server of the service zuve77c", address)
			other, _ = w.serve("i-other-1", "zuve77c", "ie-east-a", "-engine", "-slots", "64", "-prefill", "1s", "-pace", "20ms", "-address", address)
		})
		time.AfterFunc(10*time.Second, func() {
			w.record.logf("platform  the store is back")
			w.store.silent.Store(false)
		})
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := 0; time.Since(begin) < 14*time.Second; i++ {
		m := machines[i%len(machines)]
		group.Go(func() {
			r := w.brief(m)
			a := w.send(m, r)
			n, inOrder := lastEvent(a.id, a.body)
			w.record.logf("answered  %s by %s status %d signature %s events %d in order %v complete %v error %v", a.id, m.name, a.status, a.signature, n, inOrder, a.complete, a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.complete && n == 140 {
				served++
			}
		})
		time.Sleep(160 * time.Millisecond) // 6.2 streams a second, the rate of the sheet
	}
	group.Wait()
	w.record.logf("served    %d streams", served)
	if served == 0 {
		return notRun, fmt.Errorf("no stream was served")
	}
	if other != nil {
		if n := other.count("run "); n > 0 {
			w.record.logf("BROKEN    ROUTE: the service zuve77c, which no configuration has named, ran %d requests of the route r-brief", n)
			return broken, nil
		}
	}
	return held, nil
}
