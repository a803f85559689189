package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a proxy treats the connections through it.
type Mode int32

// The modes of a proxy.
const (
	Clear    Mode = iota
	Slow          // Slow delays the data.
	Cut           // Cut resets open and new connections.
	Mute          // Mute holds back the data of both directions and leaves the connections open.
	MuteBack      // MuteBack holds back the data from the server only.
)

const (
	slowDelay        = 60 * time.Millisecond
	bufferSize       = 4 << 10
	mutePollInterval = 20 * time.Millisecond // mutePollInterval is how often a muted connection checks the mode.
)

// Proxy forwards TCP connections to an address.
type Proxy struct {
	listener net.Listener
	upstream atomic.Pointer[string]
	mode     atomic.Int32
	done     chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool // conns holds the open connections to clients and to the server.
}

// NewProxy starts a proxy in front of an address.
func NewProxy(upstream string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &Proxy{listener: listener, done: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.upstream.Store(&upstream)
	go func() {
		defer close(p.done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetAll()
	<-p.done
}

// Set changes the mode, for open and new connections.
func (p *Proxy) Set(m Mode) {
	p.mode.Store(int32(m))
	if m == Cut {
		p.resetAll()
	}
}

// resetAll resets all connections.
func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// forward forwards a client's connection to the server, in both directions.
func (p *Proxy) forward(client net.Conn) {
	defer p.track(client)()
	if Mode(p.mode.Load()) == Cut {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	server, err := net.Dial("tcp", *p.upstream.Load())
	if err != nil {
		return
	}
	defer p.track(server)()
	var directions sync.WaitGroup
	directions.Go(func() { p.forwardOneWay(server, client, false) })
	directions.Go(func() { p.forwardOneWay(client, server, true) })
	directions.Wait()
}

// forwardOneWay forwards one direction according to the mode, and closes or resets the destination as the source was.
func (p *Proxy) forwardOneWay(dst, src net.Conn, fromServer bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := src.Read(buffer)
		for m := Mode(p.mode.Load()); m == Mute || m == MuteBack && fromServer; m = Mode(p.mode.Load()) {
			time.Sleep(mutePollInterval)
		}
		if Mode(p.mode.Load()) == Slow {
			time.Sleep(slowDelay)
		}
		if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
			_ = src.Close()
			return
		}
		if err == io.EOF {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = dst.(*net.TCPConn).SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}

// track adds a connection to those that resetAll resets; release closes and removes it.
func (p *Proxy) track(conn net.Conn) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
		_ = conn.Close()
	}
}
