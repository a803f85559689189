package main

import (
	"strings"
	"time"
)

// The part takes the machine of the server with it: its connections stay open, nothing is answered and new connections hang,
// until the machine is started again.
const (
	silentRequests = 4
	silentGap      = 7 * time.Second         // time between two requests with the part
	silentTime     = 3500 * time.Millisecond // until the machine is started again
	lapseTime      = 3600 * time.Millisecond
)

// deadlySilent returns by how many the requests with the part that reached servers later than the stable window after the fifth
// crash were more than three.
func deadlySilent(w *world, trouble bool) int {
	w.configure()
	o := &outbreak{world: w}
	for range deadlyEngines {
		o.keepMachine()
	}
	w.startInstances()
	var plan []clump
	for i := range silentRequests {
		plan = append(plan, clump{at: time.Duration(i) * silentGap, size: 1})
	}
	o.play(trouble, plan)
	return o.judge()
}

// keepMachine starts a server on a machine of its own, and another one once that machine has gone silent and is started again.
func (o *outbreak) keepMachine() {
	var s *serverProcess
	s = o.world.startServerWith(func(line string) {
		o.note(line)
		if strings.HasPrefix(line, "crash ") {
			s.goDark()
			time.AfterFunc(lapseTime, func() { o.world.store.Expire(s.name) })
			time.AfterFunc(silentTime, func() { _ = s.cmd.Process.Kill() })
		}
	}, "engines", "-inherited", "-deadly", deadlyPart, "-dark")
	go func() {
		<-s.ended
		_ = s.host.Close()
		o.mu.Lock()
		closing := o.closing
		o.mu.Unlock()
		if !closing {
			o.keepMachine()
		}
	}()
}
