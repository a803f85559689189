package link

import (
	"net/textproto"
	"strings"
)

// hopByHopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = HeaderSet("Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host")

// EndToEnd returns the headers without hop-by-hop ones, those that Connection lists, and the excluded ones.
func EndToEnd(header map[string][]string, excluded map[string]bool) map[string][]string {
	h := make(map[string][]string, len(header))
	for name, values := range header {
		if !hopByHopHeaders[name] && !excluded[name] {
			h[name] = values
		}
	}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return h
}

// HeaderSet returns a set of header names in their canonical form.
func HeaderSet(names ...string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[textproto.CanonicalMIMEHeaderKey(n)] = true
	}
	return set
}
