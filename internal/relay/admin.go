package relay

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// The second address is for the operators and their tools. It has a server of its own, apart from
// the clients', and nothing here waits for a caller while it holds what the loop needs.

const (
	adminIn   = 2 * time.Second // for a call to come in whole: callers wait 1 s
	adminMost = 24              // connections; the one longest without a call makes room for the next
)

// listenAdmin serves the second address from now on: a process that cannot serve yet says so.
func (r *Relay) listenAdmin(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("second address: %w", err)
	}
	p := newPeers(l, adminMost)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	r.admin = newServer(framed(mux), p)
	r.admin.ReadTimeout, r.admin.WriteTimeout = adminIn, adminIn
	r.admin.SetKeepAlivesEnabled(false)
	r.adminAt = l.Addr()
	go r.admin.Serve(p)
	return nil
}

func (r *Relay) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (r *Relay) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(r.figures.text())
}
