package relay

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/framing"
	"larchrouter/internal/journal"
	"larchrouter/internal/listen"
	"larchrouter/internal/steady"
)

// The admin address serves operators and their tools. It has its own server, separate from the clients' one, and no
// handler here waits for a caller while holding anything that the loop needs.

const (
	adminTimeout  = 2 * time.Second // for a whole request and its response; callers wait 1 s
	maxAdminConns = 24              // beyond that, the one that has gone longest without a request is closed
)

// listenAdmin starts to serve the admin address, so that a process that is not ready yet can report that.
func (r *Relay) listenAdmin(addr string) error {
	tcpListener, err := listen.TCP(addr)
	if err != nil {
		return fmt.Errorf("admin address: %w", err)
	}
	limited := newLimitListener(tcpListener, maxAdminConns)
	limited.setMemoryLimit(r.config.memoryPart(adminMemoryDivisor))
	r.adminListener = limited
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("PUT /endpoints/disable/{id}", r.serveSetDisabled(true))
	mux.HandleFunc("PUT /endpoints/enable/{id}", r.serveSetDisabled(false))
	r.adminServer = newHTTPServer(ignoreBodies(mux), framing.Check, limited) // one call per connection, so a missing length does no harm
	r.adminServer.ReadTimeout, r.adminServer.WriteTimeout = adminTimeout, adminTimeout
	r.adminServer.SetKeepAlivesEnabled(false)
	r.adminAddr = tcpListener.Addr()
	go r.adminServer.Serve(limited)
	return nil
}

// serveReady responds 200 while clients may connect, and 503 otherwise.
func (r *Relay) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready.Load() || r.draining.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// serveMetrics responds with the metrics as text.
func (r *Relay) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(r.metrics.text())
}

// serveSetDisabled returns the handler that disables or enables an endpoint for operators. It responds once the
// change is in effect.
func (r *Relay) serveSetDisabled(disable bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		reply := make(chan error, 1)
		r.post(func() { reply <- r.setManuallyDisabled(req.PathValue("id"), disable) })
		select {
		case err := <-reply:
			switch {
			case errors.Is(err, errUnknownEndpoint):
				http.Error(w, err.Error(), http.StatusNotFound)
			case err != nil:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			default:
				fmt.Fprintln(w, "done")
			}
		case <-r.loopEnded:
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		}
	}
}

// errUnknownEndpoint means that operators named an endpoint that is neither on the list nor disabled.
var errUnknownEndpoint = errors.New("no such endpoint")

// errHandedOver means that the request has to go to the next process.
var errHandedOver = errors.New("handed over to the next process")

// isManuallyDisabled reports whether operators disabled an endpoint.
func (r *Relay) isManuallyDisabled(id string) bool { return r.journal.Disabled(id) }

// setManuallyDisabled disables or enables an endpoint on behalf of operators. It is idempotent. The change is
// recorded before it takes effect, because what operators were told has to survive the process. It runs in the loop.
func (r *Relay) setManuallyDisabled(id string, disable bool) error {
	if r.nextProcess != nil {
		return errHandedOver
	}
	h := r.hosts[id]
	switch {
	case r.isManuallyDisabled(id) == disable && (h != nil || disable):
		return nil
	case h == nil && !r.isManuallyDisabled(id):
		return errUnknownEndpoint
	}
	if err := r.commitRecords([]journal.Record{{Op: journal.OpDisabled, ID: id, Flag: disable, At: steady.UnixMilli()}}, 0, nil); err != nil {
		slog.Error("endpoint not disabled or enabled", "endpoint", id, "err", err)
		return err
	}
	if h != nil {
		h.closed.Store(disable || h.state != choice.Ready)
	}
	r.events = append(r.events, choice.ManualChange{Host: id, Disabled: disable})
	return nil
}
