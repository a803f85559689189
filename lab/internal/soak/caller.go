package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bramleywharf.example/platform/stand"
)

const (
	callerDeadline = 8 * time.Second
	callerPause    = 20 * time.Millisecond // callerPause is the mean pause of a caller between two requests.
	maxAgain       = 2                     // maxAgain is the attempts of idempotent routes.
	maxStream      = 5                     // maxStream is the attempts of streams.
	eventCount     = 60                    // eventCount is the number of events of each stream.
)

// answer is what a caller got.
type answer struct {
	id, route, path string
	status          int
	body            string
	broken          bool
	signed          bool
}

// call sends requests over kept connections until the context ends.
func (w *world) call(ctx context.Context, number int, answers chan<- answer) {
	client := &http.Client{Timeout: callerDeadline, Transport: &http.Transport{}}
	r := rand.New(rand.NewPCG(w.settings.Seed, uint64(number)))
	for i := 0; ctx.Err() == nil; i++ {
		route := []string{"once", "again", "stream"}[r.IntN(3)]
		host := w.hosts[r.IntN(len(w.hosts))]
		a := w.request(client, host, route, fmt.Sprintf("c%d-%d", number, i))
		select {
		case answers <- a:
		case <-ctx.Done():
			return
		}
		time.Sleep(time.Duration(r.ExpFloat64() * float64(callerPause)))
	}
}

// request sends one request.
func (w *world) request(client *http.Client, host *process, route, id string) answer {
	a := answer{id: id, route: route, path: "/" + route + "/" + id}
	out, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", host.ip, callerPort, a.path), bytes.NewReader([]byte(id)))
	if err != nil {
		a.broken = true
		return a
	}
	key, _ := w.key()
	out.Host = "h.example"
	out.Header.Set("X-Request-Id", id)
	out.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	out.Header.Set("X-Prompt-Prefix", "aa:200,"+id+":8000")
	out.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(out)
	if err != nil {
		a.broken = true
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.broken = response.StatusCode, string(body), err != nil
	a.signed = response.Header.Get("X-Response-Signature") != ""
	return a
}

// check returns what is wrong with an answer, given the runs of its request.
func check(a answer, runs []stand.Run) string {
	most := map[string]int{"once": 1, "again": maxAgain, "stream": maxStream}[a.route]
	for _, r := range runs {
		if r.Path != a.path || r.Body != a.id || r.Header.Get("X-Tenant") != "shop" {
			return fmt.Sprintf("a target ran %s %q for %s", r.Path, r.Body, r.Header.Get("X-Tenant"))
		}
	}
	switch {
	case len(runs) > most:
		return fmt.Sprintf("ran %d times, at most %d allowed", len(runs), most)
	case a.route == "once" && (a.status == 503 || a.status == 429) && len(runs) > 0:
		return fmt.Sprintf("refused with %d but ran", a.status)
	case a.status != 200:
		return ""
	case !a.signed:
		return "success without a signature"
	case a.route != "stream" && !a.broken && a.body != "answer to "+a.id:
		return fmt.Sprintf("got %q", a.body)
	case a.route == "stream":
		return checkEvents(a)
	}
	return ""
}

// checkEvents returns what is wrong with the events of a stream.
func checkEvents(a answer) string {
	parts := strings.SplitAfter(a.body, "\n\n")
	for i, part := range parts[:len(parts)-1] {
		if want := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i+1, a.path, i+1); part != want {
			return fmt.Sprintf("event %d is %q", i+1, part)
		}
	}
	if !a.broken && len(parts)-1 != eventCount {
		return fmt.Sprintf("ended as complete after %d events", len(parts)-1)
	}
	return ""
}
