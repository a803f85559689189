package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The dose of the site file: four of eight servers send this part of their answers without a length.
const unframedPart = "0.05"

const (
	engineCount = 8
	crashRounds = 27
	roundTime   = 3 * time.Second
	darkDelay   = 20 * time.Millisecond  // until nothing more fits into the queue of a lost machine
	darkCheck   = 300 * time.Millisecond // for a connection to a lost machine
	streamGap   = 160 * time.Millisecond // time between two streams: 6.2 a second, as on the sheet
)

// startStreams starts clients that ask for streams. The function that it returns ends them and returns how many streams broke
// the rule ORDER.
func (w *world) startStreams() (finish func() int) {
	var broken atomic.Int32
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(streamGap):
			}
			group.Go(func() {
				if !w.stream(fmt.Sprintf("brief-%05d", n)) {
					broken.Add(1)
				}
			})
		}
	})
	return func() int {
		close(stop)
		group.Wait()
		return int(broken.Load())
	}
}

// lostMachine loses one of eight model servers for good every three seconds: its process is killed, and its address answers
// nothing from then on. A new one at another address takes its place. Of the streams that clients get as complete, none may
// lack a piece.
func lostMachine(w *world, trouble bool) int {
	w.configure()
	var engines []*serverProcess
	start := func(number int) *serverProcess {
		if number%2 == 1 {
			return w.startServer("engines", "-inherited", "-unframed", unframedPart)
		}
		return w.startServer("engines", "-inherited")
	}
	for i := range engineCount {
		engines = append(engines, start(i))
	}
	w.startInstances()
	finish := w.startStreams()
	for round := range crashRounds {
		time.Sleep(roundTime)
		if !trouble {
			continue
		}
		i := 1 + 2*(round%4) // one that sends some answers without a length
		lost := engines[i]
		_ = lost.cmd.Process.Signal(syscall.SIGSTOP) // It must not accept what fills its queue.
		lost.goDark()
		time.Sleep(darkDelay)
		_ = lost.cmd.Process.Kill()
		<-lost.ended
		_, err := net.DialTimeout("tcp", lost.address, darkCheck)
		w.note("lost %s; a new connection to it: %v", lost.name, err)
		time.AfterFunc(3600*time.Millisecond, func() { w.store.Expire(lost.name) })
		engines[i] = start(i)
	}
	return finish()
}

// stream sends one request for a stream and reports whether the answer kept the rule ORDER.
func (w *world) stream(id string) bool {
	header := fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 8200,980\r\nX-Prompt-Prefix: aa01:200,%x:8000\r\n", hash(id))
	got := w.send("POST", "/brief/"+id, id, 25*time.Second, header)
	count := strings.Count(got.body, "\n\n")
	w.note("client: %s got status %d, %d of %d events, complete %v, error %v", id, got.status, count, streamEvents, got.whole, got.err)
	if got.status != 200 || !got.whole {
		return true
	}
	var want strings.Builder
	for number := 1; number <= streamEvents; number++ {
		want.WriteString(event(id, number, 1))
	}
	if got.body == want.String() {
		return true
	}
	w.note("ORDER broken: %s ended as complete after %d of %d events", id, count, streamEvents)
	return false
}
