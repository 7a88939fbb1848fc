package relay

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/listen"
	"larchrouter/internal/steady"
)

// The second address is for the operators and their tools. It has a server of its own, apart from
// the clients', and nothing here waits for a caller while it holds what the loop needs.

const (
	adminTimeout  = 2 * time.Second // for a call to come in whole: callers wait 1 s
	maxAdminConns = 24              // connections; the one longest without a call makes room for the next
)

// listenAdmin serves the second address from now on: a process that cannot serve yet says so.
func (r *Relay) listenAdmin(addr string) error {
	tcpListener, err := listen.TCP(addr)
	if err != nil {
		return fmt.Errorf("second address: %w", err)
	}
	limited := newLimitListener(tcpListener, maxAdminConns)
	r.adminListener = limited
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("PUT /endpoints/disable/{id}", r.serveSetDisabled(true))
	mux.HandleFunc("PUT /endpoints/enable/{id}", r.serveSetDisabled(false))
	r.adminServer = newHTTPServer(requireContentLength(mux), limited)
	r.adminServer.ReadTimeout, r.adminServer.WriteTimeout = adminTimeout, adminTimeout
	r.adminServer.SetKeepAlivesEnabled(false)
	r.adminAddr = tcpListener.Addr()
	go r.adminServer.Serve(limited)
	return nil
}

func (r *Relay) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready.Load() || r.draining.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (r *Relay) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(r.metrics.text())
}

// serveByHand takes an endpoint out, or gives it back. The answer comes once it holds.
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
		case <-r.halted:
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		}
	}
}

// errNoHost says that operators named an endpoint that nobody has.
var errUnknownEndpoint = errors.New("no such endpoint")

// errHandedOver says that the next process is the one to ask.
var errHandedOver = errors.New("handed over to the next process")

// isOut tells whether operators took an endpoint out.
func (r *Relay) isManuallyDisabled(id string) bool { return r.journal.Out(id) }

// byHand does what operators ask for an endpoint. Asking twice is as good as once. It is recorded
// first: what they were told outlasts the process.
func (r *Relay) setManuallyDisabled(id string, disable bool) error {
	if r.heir != nil {
		return errHandedOver
	}
	h := r.hosts[id]
	switch {
	case r.isManuallyDisabled(id) == disable && (h != nil || disable):
		return nil
	case h == nil && !r.isManuallyDisabled(id):
		return errUnknownEndpoint
	}
	if err := r.bind([]journal.Record{{Op: journal.OpByHand, ID: id, Ran: disable, At: steady.UnixMilli()}}, 0, nil); err != nil {
		slog.Error("not taken out or given back", "endpoint", id, "err", err)
		return err
	}
	if h != nil {
		h.closed.Store(disable || h.listed != choice.Ready)
	}
	r.events = append(r.events, choice.ByHand{Host: id, Out: disable})
	return nil
}
