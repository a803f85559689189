package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleywharf.example/review/world-2/scene"
)

func init() {
	cases["reuse"] = reuse
}

// reuse: a model server crashes for good while the store is down, and its address goes to a server of another service, which
// no configuration names.
func reuse(w *scene.World) (int, error) {
	var engines []*scene.Child
	for i := range 8 {
		e, err := w.Serve(fmt.Sprintf("i-engine-%d", i+1), "huvo11a", "ie-east-"+string(rune('a'+i%3)), "-engine", "-slots", "64", "-prefill", "1s", "-pace", "20ms")
		if err != nil {
			return notRun, err
		}
		engines = append(engines, e)
	}
	machines, err := w.Open(2)
	if err != nil {
		return notRun, err
	}
	line, _ := engines[0].Has("up ")
	address := line[strings.LastIndexByte(line, ' ')+1:]
	var other *scene.Child
	begin := time.Now()
	if w.Trouble {
		time.AfterFunc(2*time.Second, func() {
			w.Record.Logf("platform  the store is down")
			w.Store.Silent.Store(true)
		})
		time.AfterFunc(2200*time.Millisecond, func() {
			w.Record.Logf("platform  i-engine-1 crashes for good")
			engines[0].Signal(syscall.SIGKILL)
			w.Store.Remove("servers", "i-engine-1")
		})
		time.AfterFunc(4700*time.Millisecond, func() {
			w.Record.Logf("platform  address %s goes to a server of the service zuve77c", address)
			other, _ = w.Serve("i-other-1", "zuve77c", "ie-east-a", "-engine", "-slots", "64", "-prefill", "1s", "-pace", "20ms", "-address", address)
		})
		time.AfterFunc(10*time.Second, func() {
			w.Record.Logf("platform  the store is back")
			w.Store.Silent.Store(false)
		})
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := 0; time.Since(begin) < 14*time.Second; i++ {
		m := machines[i%len(machines)]
		group.Go(func() {
			r := w.Brief()
			a := w.Send(m, r)
			n, inOrder := scene.LastEvent(a.ID, a.Body)
			w.Record.Logf("answered  %s by %s status %d signature %s events %d in order %v complete %v error %v", a.ID, m.Name, a.Status, a.Signature, n, inOrder, a.Complete, a.Err)
			mu.Lock()
			defer mu.Unlock()
			if a.Status == 200 && a.Complete && n == 140 {
				served++
			}
		})
		time.Sleep(160 * time.Millisecond) // 6.2 streams a second, the rate of the sheet
	}
	group.Wait()
	w.Record.Logf("served    %d streams", served)
	if served == 0 {
		return notRun, fmt.Errorf("no stream was served")
	}
	if other != nil {
		if n := other.Count("run "); n > 0 {
			w.Record.Logf("BROKEN    ROUTE: the service zuve77c, which no configuration has named, ran %d requests of the route r-brief", n)
			return broken, nil
		}
	}
	return held, nil
}
