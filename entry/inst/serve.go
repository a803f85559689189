package inst

import (
	"fmt"
	"net"
	"net/http"

	"bramleywharf.example/core/quota"
	"bramleywharf.example/entry/link"
	"github.com/VictoriaMetrics/metrics"
)

// serveAux starts an auxiliary server, which runs until the instance has drained.
func (i *Instance) serveAux(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: auxHeaderTimeout}
	i.mu.Lock()
	i.auxServers = append(i.auxServers, server)
	i.mu.Unlock()
	return i.serve(server, address)
}

// readinessHandler answers the platform's readiness probe: 200 when ready, 503 otherwise.
func (i *Instance) readinessHandler() http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !i.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// serve listens on an address and serves it in the background.
func (i *Instance) serve(server interface{ Serve(net.Listener) error }, address string) error {
	listener, err := link.CallerBounds().Listen(address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			i.reportFailure(fmt.Errorf("serve %s: %w", address, err))
		}
	}()
	return nil
}

// boundMemory gives each request an account of the budget, from which its bodies take their memory until it has ended.
func boundMemory(budget *quota.Budget, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := budget.Open()
		defer account.Close()
		next.ServeHTTP(w, r.WithContext(quota.NewContext(r.Context(), account)))
	})
}

// metricsHandler answers with all metrics in the Prometheus text format.
func metricsHandler(set *metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}
}
