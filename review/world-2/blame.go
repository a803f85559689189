package main

import (
	"fmt"
	"time"

	"bramleywharf.example/review/world-2/scene"
)

func init() {
	cases["blame"] = blame
}

// blame: a part of prompts crashes servers in the first seconds of traffic, before the first stream has ended. All requests
// share another part, as on the sheet.
func blame(w *scene.World) (int, error) {
	p, err := startDeadly(w, 12, "110ms")
	if err != nil {
		return notRun, err
	}
	machines, err := w.Open(7)
	if err != nil {
		return notRun, err
	}
	begin, sent := time.Now(), 0
	var last time.Time
	// Five requests with the part beside some 100 that come meanwhile.
	times := []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 2400 * time.Millisecond, 3200 * time.Millisecond, 16 * time.Second}
	for i := 0; time.Since(begin) < 32*time.Second; i++ {
		p.send(machines[i%len(machines)], false)
		if sent < len(times) && time.Since(begin) > times[sent] {
			if w.Trouble {
				p.send(machines[(3*i)%len(machines)], true)
			}
			sent++
			last = time.Now()
		}
		time.Sleep(160 * time.Millisecond) // 6.2 a second, the rate of the sheet
	}
	p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	from := begin
	for i, at := range p.crashes {
		if i < 5 {
			from = at
		}
	}
	from = from.Add(6 * time.Second) // 2 x stable_window_ms
	during, duringBegun, outside, outsideBegun := 0, 0, 0, 0
	for _, s := range p.sounds {
		switch {
		case s.at.After(from) && s.at.Before(last):
			during++
			if s.begun {
				duringBegun++
			}
		case s.at.After(last.Add(6 * time.Second)):
			outside++
			if s.begun {
				outsideBegun++
			}
		}
	}
	w.Record.Logf("crashes   %d, the last of the first five %.1f s after the begin", len(p.crashes), from.Sub(begin).Seconds()-6)
	w.Record.Logf("sound     %d of %d began while such requests came, and %d of %d later", duringBegun, during, outsideBegun, outside)
	switch {
	case outsideBegun == 0:
		return notRun, fmt.Errorf("no stream was served")
	case during >= 20 && outside >= 20 && 2*duringBegun*outside < outsideBegun*during:
		w.Record.Logf("BROKEN    LOST: sound requests began less than half as often as outside")
		return broken, nil
	default:
		return held, nil
	}
}
