package main

import (
	"os"
	"sync"
	"syscall"
	"time"

	"bramleywharf.example/review/world-2/scene"
)

func init() {
	cases["forget"] = forget
}

// forget: a part of prompts crashes servers, and all processes of the system are killed after it was found. Requests with
// the part come one at a time, three before that and three after, all within 22 s. TROUBLE=0 leaves out both, and TROUBLE=part the
// kill alone.
func forget(w *scene.World) (int, error) {
	p, err := startDeadly(w, 24, "27ms")
	if err != nil {
		return notRun, err
	}
	machines, err := w.Open(7)
	if err != nil {
		return notRun, err
	}
	isKilled := w.Trouble && os.Getenv("TROUBLE") != "part"
	const interval = 2500 * time.Millisecond
	begin, sent, killed := time.Now(), 0, false
	var inTouch time.Time
	for i := 0; time.Since(begin) < 42*time.Second; i++ {
		since := time.Since(begin)
		if m := machines[i%len(machines)]; !m.Process.Ended() {
			p.send(m, false)
		}
		isDue := sent < 3 && since > 12*time.Second+time.Duration(sent)*interval || sent >= 3 && sent < 6 && since > 28*time.Second+time.Duration(sent-3)*interval
		if isDue && w.Trouble {
			sent++
			p.send(machines[(3*i)%len(machines)], true)
		}
		if !killed && isKilled && since > 20*time.Second {
			killed = true
			w.Record.Logf("platform  all %d processes of the system are killed", len(machines))
			for _, m := range machines {
				m.Process.Signal(syscall.SIGKILL)
			}
			for _, m := range machines {
				<-m.Process.Done
			}
			time.Sleep(640 * time.Millisecond)
			var starts sync.WaitGroup
			for _, m := range machines {
				if err := w.Boot(m); err != nil {
					return notRun, err
				}
				starts.Go(func() { scene.Await(10*time.Second, m.IsReady) })
			}
			starts.Wait()
			w.Record.Logf("platform  all processes run again and are ready")
			inTouch = time.Now().Add(3 * time.Second) // stable_window_ms
		}
		time.Sleep(160 * time.Millisecond) // 6.2 a second, the rate of the sheet
	}
	return p.judge(inTouch)
}
