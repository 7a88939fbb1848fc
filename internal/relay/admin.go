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
	adminIn   = 2 * time.Second // for a call to come in whole: callers wait 1 s
	adminMost = 24              // connections; the one longest without a call makes room for the next
)

// listenAdmin serves the second address from now on: a process that cannot serve yet says so.
func (r *Relay) listenAdmin(addr string) error {
	l, err := listen.TCP(addr)
	if err != nil {
		return fmt.Errorf("second address: %w", err)
	}
	p := newPeers(l, adminMost)
	r.adminPeers = p
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("PUT /endpoints/disable/{id}", r.serveByHand(true))
	mux.HandleFunc("PUT /endpoints/enable/{id}", r.serveByHand(false))
	r.admin = newServer(framed(mux), p)
	r.admin.ReadTimeout, r.admin.WriteTimeout = adminIn, adminIn
	r.admin.SetKeepAlivesEnabled(false)
	r.adminAt = l.Addr()
	go r.admin.Serve(p)
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
	w.Write(r.figures.text())
}

// serveByHand takes an endpoint out, or gives it back. The answer comes once it holds.
func (r *Relay) serveByHand(out bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		reply := make(chan error, 1)
		r.post(func() { reply <- r.byHand(req.PathValue("id"), out) })
		select {
		case err := <-reply:
			switch {
			case errors.Is(err, errNoHost):
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
var errNoHost = errors.New("no such endpoint")

// errHandedOver says that the next process is the one to ask.
var errHandedOver = errors.New("handed over to the next process")

// isOut tells whether operators took an endpoint out.
func (r *Relay) isOut(id string) bool { return r.journal.Disabled(id) }

// byHand does what operators ask for an endpoint. Asking twice is as good as once. It is recorded
// first: what they were told outlasts the process.
func (r *Relay) byHand(id string, out bool) error {
	if r.heir != nil {
		return errHandedOver
	}
	h := r.hosts[id]
	switch {
	case r.isOut(id) == out && (h != nil || out):
		return nil
	case h == nil && !r.isOut(id):
		return errNoHost
	}
	if err := r.bind([]journal.Record{{Op: journal.OpDisabled, ID: id, Flag: out, At: steady.UnixMilli()}}, 0, nil); err != nil {
		slog.Error("not taken out or given back", "endpoint", id, "err", err)
		return err
	}
	if h != nil {
		h.closed.Store(out || h.listed != choice.Ready)
	}
	r.events = append(r.events, choice.ByHand{Host: id, Out: out})
	return nil
}
