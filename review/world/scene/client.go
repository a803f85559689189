package scene

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Resolve asks a machine's directory where to connect, as clients do.
func (w *World) Resolve(m *Machine) []string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.IP + ":8224/bramleywharf/resolve?name=" + host + "&region=" + regionName + "&zone=" + url.QueryEscape(m.Zone))
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

// Request is one client attempt.
type Request struct {
	ID, Method, Path string
	Deadline         time.Duration
	Header           map[string]string
	Body             string
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	SentAt time.Time
	GotAt  time.Time
	Err    error // err tells that there was no answer or that it broke off.
}

// Send sends a request over a new connection to an address and waits for the whole answer.
func (w *World) Send(address string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	a := Answer{SentAt: time.Now()}
	defer func() {
		w.Record("client: request %s (%s) got %d, %d bytes, broken off: %v", q.ID, q.Path, a.Status, len(a.Body), a.Err)
	}()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, strings.NewReader(q.Body))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = host
	r.Header.Set("X-Request-Id", q.ID)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range q.Header {
		r.Header.Set(name, value)
	}
	w.Record("client: request %s (%s) sent to %s", q.ID, q.Path, address)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.Status, a.Header, a.Body, a.Err, a.GotAt = response.StatusCode, response.Header, string(body), err, time.Now()
	return a
}
