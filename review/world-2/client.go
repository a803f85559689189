package main

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
)

// answer is what a client has seen.
type answer struct {
	id        string
	status    int // status is 0 if there was no answer.
	signature string
	body      string
	complete  bool // complete tells that the answer ended as the protocol says.
	err       error
}

var lastID atomic.Int64

func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8+uint64(lastID.Add(1)))
}

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// request is one client attempt on a connection of its own.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 string
}

// send sends a request to a machine and reads its answer.
func (w *world) send(m *machine, r request) answer {
	a := answer{id: r.id}
	conn, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		r.method, r.path, host, r.id, r.deadline.Milliseconds(), key, r.header)
	if r.method == "POST" {
		text += "Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"+r.body); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	body, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	if id := response.Header.Get("X-Request-Id"); id != r.id && id != "" {
		a.err = fmt.Errorf("answer belongs to %s", id)
	}
	return a
}

func (w *world) order(m *machine) request {
	return request{id: newID(), method: "POST", path: "/puxa403/2f", body: strings.Repeat("o", 600), deadline: 1500 * time.Millisecond}
}

func (w *world) status(m *machine) request {
	return request{id: newID(), method: "GET", path: "/cufi504/fi50/2f", deadline: 1500 * time.Millisecond}
}

func (w *world) brief(m *machine) request {
	id := newID()
	return request{
		id: id, method: "POST", path: "/lohu930/2f", body: strings.Repeat("b", 8000), deadline: 25 * time.Second,
		header: "X-Model: m\r\nX-Token-Usage: 8200,980\r\nX-Prompt-Prefix: 5c1e07a2:200," + id + ":8000\r\n",
	}
}

// lastEvent returns the number of the last whole event in a stream, and false if the events are not 1, 2, 3 and so on.
func lastEvent(id, body string) (int, bool) {
	n := 0
	for event := range strings.SplitSeq(body, "\n\n") {
		if event == "" {
			continue
		}
		n++
		if event+"\n\n" != eventText(id, n) {
			return n, false
		}
	}
	return n, true
}
