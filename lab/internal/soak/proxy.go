package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a proxy does to the connections that pass it.
type Mode int32

// The modes of a proxy.
const (
	Clear    Mode = iota
	Slow          // Slow delays what passes.
	Cut           // Cut resets connections, old and new.
	Mute          // Mute lets nothing pass and says nothing.
	MuteBack      // MuteBack lets nothing pass on the way back.
)

const (
	proxyDelay  = 60 * time.Millisecond
	proxyBuffer = 4 << 10
	muteLook    = 20 * time.Millisecond // muteLook is the time between two looks at whether a mute link speaks again.
)

// Proxy passes TCP connections on to an address.
type Proxy struct {
	listener net.Listener
	target   atomic.Pointer[string]
	mode     atomic.Int32
	done     chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy starts a proxy before an address.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &Proxy{listener: listener, done: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.target.Store(&target)
	go func() {
		defer close(p.done)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.reset()
	<-p.done
}

// Set changes the mode.
func (p *Proxy) Set(m Mode) {
	p.mode.Store(int32(m))
	if m == Cut {
		p.reset()
	}
}

// reset resets all connections.
func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// pass carries one connection in both directions.
func (p *Proxy) pass(near net.Conn) {
	defer p.hold(near)()
	if Mode(p.mode.Load()) == Cut {
		_ = near.(*net.TCPConn).SetLinger(0)
		return
	}
	far, err := net.Dial("tcp", *p.target.Load())
	if err != nil {
		return
	}
	defer p.hold(far)()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, false) })
	both.Go(func() { p.copy(near, far, true) })
	both.Wait()
}

// copy carries one direction.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		for m := Mode(p.mode.Load()); m == Mute || m == MuteBack && back; m = Mode(p.mode.Load()) {
			time.Sleep(muteLook)
		}
		if Mode(p.mode.Load()) == Slow {
			time.Sleep(proxyDelay)
		}
		if _, werr := to.Write(buffer[:n]); werr != nil {
			_ = from.Close()
			return
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// hold keeps a connection among those that can be reset until release is called.
func (p *Proxy) hold(c net.Conn) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
		_ = c.Close()
	}
}
