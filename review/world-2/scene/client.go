package scene

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bramleywharf.example/review/world-2/origin"
)

// Answer is what a client has seen.
type Answer struct {
	ID        string
	Status    int // Status is 0 if there was no answer.
	Signature string
	Body      string
	Complete  bool // Complete tells that the answer ended as the protocol says.
	Err       error
}

var lastID atomic.Int64

func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8+uint64(lastID.Add(1)))
}

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// Request is one client attempt on a connection of its own.
type Request struct {
	ID, Method, Path, Body string
	Deadline               time.Duration
	Header                 string
}

// Send sends a request to a machine and reads its answer.
func (w *World) Send(m *Machine, r Request) Answer {
	a := Answer{ID: r.ID}
	conn, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.Deadline + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		r.Method, r.Path, host, r.ID, r.Deadline.Milliseconds(), key, r.Header)
	if r.Method == "POST" {
		text += "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"+r.Body); err != nil {
		a.Err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	body, err := io.ReadAll(response.Body)
	a.Body, a.Err, a.Complete = string(body), err, err == nil
	if id := response.Header.Get("X-Request-Id"); id != r.ID && id != "" {
		a.Err = fmt.Errorf("answer belongs to %s", id)
	}
	return a
}

// Order returns a request to place an order.
func (w *World) Order() Request {
	return Request{ID: newID(), Method: "POST", Path: "/puxa403/2f", Body: strings.Repeat("o", 600), Deadline: 1500 * time.Millisecond}
}

// Status returns a request for the status of an order.
func (w *World) Status() Request {
	return Request{ID: newID(), Method: "GET", Path: "/cufi504/fi50/2f", Deadline: 1500 * time.Millisecond}
}

// Brief returns a streamed request.
func (w *World) Brief() Request {
	id := newID()
	return Request{
		ID: id, Method: "POST", Path: "/lohu930/2f", Body: strings.Repeat("b", 8000), Deadline: 25 * time.Second,
		Header: "X-Model: m\r\nX-Token-Usage: 8200,980\r\nX-Prompt-Prefix: 5c1e07a2:200," + id + ":8000\r\n",
	}
}

// LastEvent returns the number of the last whole event in a stream, and false if the events are not 1, 2, 3 and so on.
func LastEvent(id, body string) (int, bool) {
	n := 0
	for event := range strings.SplitSeq(body, "\n\n") {
		if event == "" {
			continue
		}
		n++
		if event+"\n\n" != origin.EventText(id, n) {
			return n, false
		}
	}
	return n, true
}
