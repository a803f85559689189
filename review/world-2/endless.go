package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["endless"] = endless
}

// endless: one model server is in trouble: it sends bytes that are no answer without end, until its caller closes.
func endless(w *world) (int, error) {
	count := func(name string, fallback int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return fallback
	}
	engineCount, machineCount, gap := count("ENGINES", 8), count("MACHINES", 2), time.Duration(count("GAP_MS", 160))*time.Millisecond
	var engines []*child
	for i := range engineCount {
		e, err := w.serve(fmt.Sprintf("i-engine-%d", i+1), "huvo11a", "ie-east-"+string(rune('a'+i%3)),
			"-engine", "-slots", "64", "-prefill", "1s", "-pace", "60ms")
		if err != nil {
			return notRun, err
		}
		engines = append(engines, e)
	}
	machines, err := w.open(machineCount)
	if err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	kills := make([]int, len(machines))
	for i, m := range machines {
		watch.Go(func() {
			peak := 0.0
			for {
				select {
				case <-stop:
					w.record.logf("platform  %s held %.0f MB at most", m.name, peak)
					return
				case <-time.After(5 * time.Millisecond):
				}
				held := m.process.rssMB()
				peak = max(peak, held)
				if held <= memoryMB {
					continue
				}
				kills[i]++
				w.record.logf("platform  %s holds %.0f MB, over %d MB: it is killed", m.name, held, memoryMB)
				m.process.signal(syscall.SIGKILL)
				<-m.process.done
				time.Sleep(500 * time.Millisecond)
				if err := w.boot(m); err != nil {
					return
				}
				await(10*time.Second, m.isReady)
			}
		})
	}
	begin := time.Now()
	if w.trouble {
		time.AfterFunc(3*time.Second, func() {
			w.record.logf("trouble   i-engine-1 sends bytes without end")
			engines[0].signal(syscall.SIGUSR1)
		})
	}
	var group sync.WaitGroup
	for i := 0; time.Since(begin) < 30*time.Second; i++ {
		m := machines[i%len(machines)]
		group.Go(func() {
			r := w.brief(m)
			a := w.send(m, r)
			n, inOrder := lastEvent(a.id, a.body)
			w.record.logf("answered  %s by %s status %d events %d in order %v complete %v error %v", a.id, m.name, a.status, n, inOrder, a.complete, a.err)
		})
		time.Sleep(gap)
	}
	group.Wait()
	close(stop)
	watch.Wait()
	w.record.logf("ends      %v", kills)
	for _, k := range kills {
		if k > 0 {
			return broken, nil
		}
	}
	return held, nil
}
