package scene

import (
	"net"
	"sync"
)

// Door is the way of one instance to the store. While it is shut, connections stay open and no byte passes, as in a
// partition.
type Door struct {
	address  string
	upstream string
	mu       sync.Mutex
	isShut   bool
	opened   chan struct{} // opened closes when the door opens again.
}

// newDoor returns an open door to a store.
func newDoor(upstream string) (*Door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{address: listener.Addr().String(), upstream: upstream, opened: make(chan struct{})}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go d.carry(c)
		}
	}()
	return d, nil
}

// Shut stops all bytes until Open is called.
func (d *Door) Shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isShut, d.opened = true, make(chan struct{})
}

// Open lets the bytes pass again.
func (d *Door) Open() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isShut {
		d.isShut = false
		close(d.opened)
	}
}

// await returns once the door is open.
func (d *Door) await() {
	d.mu.Lock()
	isShut, opened := d.isShut, d.opened
	d.mu.Unlock()
	if isShut {
		<-opened
	}
}

// carry passes the bytes of one connection in both directions.
func (d *Door) carry(near net.Conn) {
	d.await()
	far, err := net.Dial("tcp", d.upstream)
	if err != nil {
		_ = near.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			d.await()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go pass(far, near)
	pass(near, far)
}
