package soak

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleywharf.example/platform/stand"
	"github.com/frankban/quicktest"
)

// recallStep is one step of a case, at a time from the start of its traffic.
type recallStep struct {
	at time.Duration
	do func(w *deadlyWorld)
}

// Steps of a case.
var (
	killAll = func(w *deadlyWorld) {
		for _, instance := range w.instances {
			instance.sendSignal(syscall.SIGKILL, true)
		}
	}
	sendDeadly = func(w *deadlyWorld) { w.send("deadly", deadlyPart) }
	failStore  = func(f stand.Fault) func(w *deadlyWorld) {
		return func(w *deadlyWorld) { w.store.Fail("", f) }
	}
	restoreCopy = func(age time.Duration) func(w *deadlyWorld) {
		return func(w *deadlyWorld) {
			w.store.Drill(age)
			w.store.Configure(w.configVersion, fmt.Sprint("key-", w.configVersion))
		}
	}
)

// TestDeadlyPartOutlastsAllInstances guards against requests with a part that crashes targets which reach targets again
// after all instances were lost at once: what they knew of the part has to be in the store by then.
func TestDeadlyPartOutlastsAllInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	program := filepath.Join(t.TempDir(), "platform")
	out, err := exec.Command("go", "build", "-o", program, "../../../platform").CombinedOutput()
	quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", out))
	const s, ms = time.Second, time.Millisecond
	cases := map[string]struct {
		network int
		steps   []recallStep
	}{
		"after-it-is-blocked": {100, []recallStep{
			{0, sendDeadly}, {1 * s, sendDeadly}, {2 * s, sendDeadly}, {4 * s, killAll},
			{9 * s, sendDeadly}, {10 * s, sendDeadly}, {11 * s, sendDeadly},
		}},
		"two-kills-between-losses": {101, []recallStep{
			{0, sendDeadly}, {600 * ms, killAll}, {4 * s, sendDeadly}, {4600 * ms, killAll}, {8 * s, sendDeadly},
			{13 * s, sendDeadly}, {14 * s, sendDeadly}, {15 * s, sendDeadly},
		}},
		"two-kills-in-series": {102, []recallStep{
			{0, sendDeadly}, {1 * s, sendDeadly}, {2 * s, sendDeadly}, {2600 * ms, killAll}, {4 * s, killAll},
			{9 * s, sendDeadly}, {10 * s, sendDeadly}, {11 * s, sendDeadly},
		}},
		"store-away-at-the-crashes": {103, []recallStep{
			{0, failStore(stand.Silent)}, {500 * ms, sendDeadly}, {1500 * ms, sendDeadly}, {2500 * ms, sendDeadly}, {4 * s, failStore(stand.Sound)}, {8 * s, killAll},
			{13 * s, sendDeadly}, {14 * s, sendDeadly}, {15 * s, sendDeadly},
		}},
		"store-away-at-the-kill": {104, []recallStep{
			{0, sendDeadly}, {1 * s, sendDeadly}, {2 * s, sendDeadly}, {4 * s, failStore(stand.Silent)}, {5 * s, killAll}, {8 * s, failStore(stand.Sound)},
			{14 * s, sendDeadly}, {15 * s, sendDeadly}, {16 * s, sendDeadly},
		}},
		"store-refuses-writes": {105, []recallStep{
			{0, failStore(stand.Busy)}, {500 * ms, sendDeadly}, {1500 * ms, sendDeadly}, {2500 * ms, sendDeadly}, {3500 * ms, failStore(stand.Sound)}, {7 * s, killAll},
			{12 * s, sendDeadly}, {13 * s, sendDeadly}, {14 * s, sendDeadly},
		}},
		"responses-lost": {106, []recallStep{
			{0, failStore(stand.Lossy)}, {500 * ms, sendDeadly}, {1500 * ms, sendDeadly}, {2500 * ms, sendDeadly}, {3200 * ms, failStore(stand.Sound)}, {3500 * ms, killAll},
			{8 * s, sendDeadly}, {9 * s, sendDeadly}, {10 * s, sendDeadly},
		}},
		"store-back-from-a-copy": {107, []recallStep{
			{0, sendDeadly}, {1 * s, sendDeadly}, {2 * s, sendDeadly}, {3500 * ms, restoreCopy(4 * s)}, {7 * s, killAll},
			{13 * s, sendDeadly}, {14 * s, sendDeadly}, {15 * s, sendDeadly},
		}},
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
			w := &deadlyWorld{testbed: bed, downtime: time.Second}
			defer w.end()
			checkRecall(c, w, test.steps)
		})
	}
}

// send sends a request whose prompt has a shared part and a second one, and reports whether its whole answer came.
func (w *deadlyWorld) send(kind, part string) bool {
	w.mu.Lock()
	w.sent++
	number := w.sent
	w.mu.Unlock()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer := stand.Send(client, fmt.Sprintf("%s:%d", w.instances[number%len(w.instances)].ip, callerPort), stand.Request{
		ID: fmt.Sprintf("%s-%d", kind, number), Method: "POST", Path: "/stream/x", Key: "key-1", Deadline: 5 * time.Second,
		Prompt: fmt.Sprintf("91bd3f06:200,%s:100,f%07x:800", part, number),
	})
	return answer.Status == 200 && !answer.Broken && strings.Count(answer.Body, "\n\n") == eventsPerStream
}

// checkRecall plays the steps beside sound requests, and checks that no more than three requests with the deadly part reach
// targets later than the settling time after the fifth crash, and that sound ones are served from some time after the last
// kill on.
func checkRecall(c *quicktest.C, w *deadlyWorld, steps []recallStep) {
	const (
		targetCount = 6
		interval    = 80 * time.Millisecond
	)
	for i := range targetCount {
		// The address is below the ports of clients, so that the target can listen there again.
		c.Assert(w.startTarget(i, 0, fmt.Sprintf("127.0.%d.%d:%d", w.settings.Network, 100+i, targetPort)), quicktest.IsNil)
	}
	c.Assert(w.waitReady(startTimeout), quicktest.IsTrue)
	time.Sleep(2 * time.Second) // Instances know each other by then.
	var group sync.WaitGroup
	begun, end := time.Now(), steps[len(steps)-1].at+2*time.Second
	for _, step := range steps {
		group.Go(func() {
			time.Sleep(step.at)
			step.do(w)
		})
	}
	var mu sync.Mutex
	sound, whole := 0, 0
	for i := 0; time.Since(begun) < end; i++ {
		isLate := time.Since(begun) > end-3*time.Second
		group.Go(func() {
			isWhole := w.send("sound", fmt.Sprintf("e4402b%02x", i%7))
			mu.Lock()
			defer mu.Unlock()
			if isLate {
				sound++
			}
			if isLate && isWhole {
				whole++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	crashes, late := w.counts()
	c.Logf("%d crashes, %d late requests with the part, %d of %d sound streams whole at the end", crashes, late, whole, sound)
	c.Check(crashes >= 3, quicktest.IsTrue)
	c.Check(late <= 3, quicktest.IsTrue)
	c.Check(whole >= sound/2, quicktest.IsTrue)
}
