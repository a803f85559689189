package link

import (
	"net"
	"syscall"
)

// HasInput reports whether a connection has received bytes, its end or an error that nobody has read yet. It waits for
// nothing, not even for a Read in progress, and reports false for connections without a file descriptor.
func HasInput(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	hasInput := true
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasInput = errno != syscall.EAGAIN
	})
	return err != nil || hasInput
}
