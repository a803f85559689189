package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["expect"] = expect
}

// expect is no case, since no rule as written is broken: one request of a client carries X-Expected-Version, and servers with
// other weights answer 421. Exit code 1 tells that the requests of others were refused from then on.
func expect(w *world) (int, error) {
	for i := range 8 {
		_, err := w.serve(fmt.Sprintf("i-engine-%d", i+1), "huvo11a", "ie-east-"+string(rune('a'+i%3)),
			"-engine", "-slots", "64", "-prefill", "500ms", "-pace", "10ms", "-versioned")
		if err != nil {
			return notRun, err
		}
	}
	machines, err := w.open(1)
	if err != nil {
		return notRun, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	begin := time.Now()
	for i := 0; time.Since(begin) < 25*time.Second; i++ {
		r := w.brief(machines[0])
		isOdd := i == 30 && w.trouble
		if isOdd {
			r.header += "X-Expected-Version: 2\r\n"
		}
		group.Go(func() {
			a := w.send(machines[0], r)
			n, _ := lastEvent(a.id, a.body)
			w.record.logf("answered  %s expects a version: %v, status %d events %d error %v", a.id, isOdd, a.status, n, a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case isOdd:
			case a.status == 200 && a.complete && n == 140:
				served++
			default:
				refused++
			}
		})
		time.Sleep(160 * time.Millisecond)
	}
	group.Wait()
	w.record.logf("streams   %d served, %d not", served, refused)
	if refused > 0 {
		return broken, nil
	}
	return held, nil
}
