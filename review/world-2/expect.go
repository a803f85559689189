package main

import (
	"fmt"
	"sync"
	"time"

	"bramleywharf.example/review/world-2/scene"
)

func init() {
	cases["expect"] = expect
}

// expect is no case, since no rule as written is broken: one request of a client carries X-Expected-Version, and servers with
// other weights answer 421. Exit code 1 tells that the requests of others were refused from then on.
func expect(w *scene.World) (int, error) {
	for i := range 8 {
		_, err := w.Serve(fmt.Sprintf("i-engine-%d", i+1), "huvo11a", "ie-east-"+string(rune('a'+i%3)),
			"-engine", "-slots", "64", "-prefill", "500ms", "-pace", "10ms", "-versioned")
		if err != nil {
			return notRun, err
		}
	}
	machines, err := w.Open(1)
	if err != nil {
		return notRun, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	begin := time.Now()
	for i := 0; time.Since(begin) < 25*time.Second; i++ {
		r := w.Brief()
		isOdd := i == 30 && w.Trouble
		if isOdd {
			r.Header += "X-Expected-Version: 2\r\n"
		}
		group.Go(func() {
			a := w.Send(machines[0], r)
			n, _ := scene.LastEvent(a.ID, a.Body)
			w.Record.Logf("answered  %s expects a version: %v, status %d events %d error %v", a.ID, isOdd, a.Status, n, a.Err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case isOdd:
			case a.Status == 200 && a.Complete && n == 140:
				served++
			default:
				refused++
			}
		})
		time.Sleep(160 * time.Millisecond)
	}
	group.Wait()
	w.Record.Logf("streams   %d served, %d not", served, refused)
	if refused > 0 {
		return broken, nil
	}
	return held, nil
}
