package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleywharf.example/platform/stand"
	"bramleywharf.example/platform/stand/origin"
	"github.com/frankban/quicktest"
)

// settlingTime is the time after the fifth crash from which at most three requests with the deadly part may reach targets.
const settlingTime = 3 * time.Second

// targetPort is the port of the targets, each of which has its own loopback address.
const targetPort = 17400

// deadlyPart is a part of prompts that crashes targets.
const deadlyPart = "5c1e07a2"

// targetEnvironment names the variable that makes the test binary run as a target: NAME,ADDRESS,DEADLY-AT,DEADLY-IN.
const targetEnvironment = "SOAK_DEADLY_TARGET"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(targetEnvironment); arguments != "" {
		if err := runTarget(strings.Split(arguments, ",")); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// runTarget runs a target of streams until it crashes at a prompt with the deadly part, and prints the id of each request.
func runTarget(arguments []string) error {
	behaviour := behaviourOf("engine", "")
	behaviour.Delay, behaviour.Deadly, behaviour.Exit = 150*time.Millisecond, deadlyPart, true
	behaviour.DeadlyAt, _ = strconv.Atoi(arguments[2])
	behaviour.DeadlyIn, _ = strconv.Atoi(arguments[3])
	if _, err := origin.NewTargetAt(arguments[0], arguments[1], origin.NewLoggingLedger(os.Stdout), behaviour); err != nil {
		return fmt.Errorf("start target: %w", err)
	}
	select {}
}

// targetEvent is the arrival of a request at a target, or the crash of a target if id is empty.
type targetEvent struct {
	at time.Time
	id string
}

// deadlyWorld runs targets as processes and starts each one again, under another name, some time after its crash.
type deadlyWorld struct {
	*testbed
	deadlyAt, deadlyIn int
	downtime           time.Duration

	mu      sync.Mutex
	ended   bool
	events  []targetEvent
	running []*exec.Cmd
	sent    int // sent counts the requests of send.
}

// startTarget starts a target and the goroutine that starts it again.
func (w *deadlyWorld) startTarget(number, startNumber int, address string) error {
	name := fmt.Sprintf("engine-%d-%d", number, startNumber)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%s,%s,%d,%d", targetEnvironment, name, address, w.deadlyAt, w.deadlyIn))
	output, err := command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("pipe of %s: %w", name, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	w.running = append(w.running, command)
	w.store.Put("servers", name, map[string]any{
		"service": "engine", "address": address, "zone": fmt.Sprint("z", number%zoneCount), "version": "v1", "slots": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			w.record(lines.Text())
		}
		_ = command.Wait()
		w.record("")
		time.Sleep(w.downtime)
		w.store.Delete("servers", name)
		_ = w.startTarget(number, startNumber+1, address)
	}()
	return nil
}

// record records the arrival of a request, or a crash if id is empty.
func (w *deadlyWorld) record(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, targetEvent{at: time.Now(), id: id})
}

// counts returns the number of crashes, and of the requests with the deadly part that have reached targets later than the
// settling time after the fifth one.
func (w *deadlyWorld) counts() (crashes, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fifth time.Time
	for _, e := range w.events {
		if e.id == "" {
			if crashes++; crashes == 5 {
				fifth = e.at
			}
		}
		if strings.HasPrefix(e.id, "deadly") && !fifth.IsZero() && e.at.Sub(fifth) > settlingTime {
			late++
		}
	}
	return crashes, late
}

// end kills the targets.
func (w *deadlyWorld) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for _, command := range w.running {
		_ = command.Process.Kill()
	}
}

// TestDeadlyPartOfRealProcesses guards against requests with a part that crashes targets which still reach targets long
// after the fifth crash, when targets are processes: what a caller sees of the crash depends on buffers, and a target may
// listen again at once.
func TestDeadlyPartOfRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	program := filepath.Join(t.TempDir(), "platform")
	out, err := exec.Command("go", "build", "-o", program, "../../../platform").CombinedOutput()
	quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", out))
	cases := map[string]struct {
		network, deadlyAt, deadlyIn int
		downtime                    time.Duration
	}{
		"before-any-byte":       {93, -1, 0, 3 * time.Second},
		"in-head":               {94, 0, 20, 3 * time.Second},
		"after-2-events":        {95, 2, 0, 3 * time.Second},
		"after-3-events":        {96, 3, 0, 500 * time.Millisecond},
		"after-6-events":        {97, 6, 0, time.Second},
		"back-after-30-ms":      {98, 2, 0, 30 * time.Millisecond},
		"unsent-back-in-100-ms": {99, -1, 0, 100 * time.Millisecond},
	}
	limit := make(chan struct{}, 3) // Each case runs nine processes.
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			c := quicktest.New(t)
			bed, err := newTestbed(Settings{Program: program, Instances: 3, Network: test.network})
			c.Assert(err, quicktest.IsNil)
			defer bed.close()
			w := &deadlyWorld{testbed: bed, deadlyAt: test.deadlyAt, deadlyIn: test.deadlyIn, downtime: test.downtime}
			defer w.end()
			checkDeadlyPart(c, w)
		})
	}
}

// checkDeadlyPart sends requests of which some have the deadly part, and checks that no more than three of these reach
// targets later than the settling time after the fifth crash, and that sound streams with the same first part are served.
func checkDeadlyPart(c *quicktest.C, w *deadlyWorld) {
	const (
		targetCount  = 6
		requestCount = 200
		deadlyEvery  = 20
		interval     = 80 * time.Millisecond
	)
	for i := range targetCount {
		// The address is below the ports of clients, so that the target can listen there again.
		c.Assert(w.startTarget(i, 0, fmt.Sprintf("127.0.%d.%d:%d", w.settings.Network, 100+i, targetPort)), quicktest.IsNil)
	}
	c.Assert(w.waitReady(startTimeout), quicktest.IsTrue)
	time.Sleep(2 * time.Second) // Instances know each other by then.
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, sound := 0, 0
	for i := range requestCount {
		second, kind := fmt.Sprintf("e4402b%02x", i%7), "sound"
		if i%deadlyEvery == deadlyEvery/2 {
			second, kind = deadlyPart, "deadly"
		} else {
			sound++
		}
		q := stand.Request{
			ID: fmt.Sprintf("%s-%d", kind, i), Method: "POST", Path: "/stream/x", Key: "key-1", Deadline: 5 * time.Second,
			Prompt: fmt.Sprintf("91bd3f06:200,%s:100,f%07x:800", second, i),
		}
		address := fmt.Sprintf("%s:%d", w.instances[i%len(w.instances)].ip, callerPort)
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			a := stand.Send(client, address, q)
			mu.Lock()
			defer mu.Unlock()
			if kind == "sound" && a.Status == 200 && !a.Broken && strings.Count(a.Body, "\n\n") == eventsPerStream {
				whole++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	crashes, late := w.counts()
	c.Logf("%d crashes, %d late requests with the part, %d of %d sound streams whole", crashes, late, whole, sound)
	c.Assert(crashes >= 3, quicktest.IsTrue)
	c.Assert(late <= 3, quicktest.IsTrue)
	c.Assert(whole >= sound/2, quicktest.IsTrue)
}
