package conns

import (
	"bramleywharf.example/entry/link"
	"github.com/apex/log"
)

// noteEnd reports the connection's end, once, if the error of a read or write shows that the caller or the kernel has
// ended it.
func (c *conn) noteEnd(err error) {
	if err == nil {
		return
	}
	end := link.EndOf(err)
	if end != nil && c.onEnd != nil && c.ended.CompareAndSwap(false, true) {
		c.onEnd(c.request.Load(), end, err)
	}
}

// recordEnd counts a connection that the caller or the kernel has ended. It logs the latter if the connection carried a
// request, whose handler takes it for one whose caller has disconnected.
func (s *Server) recordEnd(request *string, end link.End, err error) {
	s.ends.Count(end)
	if _, isKernel := end.(link.KernelEnded); !isKernel || request == nil {
		return
	}
	s.log.WithFields(log.Fields{"request": *request, "cause": end.Cause()}).WithError(err).
		Info("connection of a request was ended by the kernel")
}
