package estate

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/listen"
	"larchrouter/internal/remedy"
)

// Serve answers at a listener until Close.
func (h *Holder) Serve(l net.Listener) {
	mux := http.NewServeMux()
	handle(h, mux, CopyPath, h.take)
	handle(h, mux, PromisePath, h.promise)
	handle(h, mux, DropPath, h.drop)
	h.tcp = l
	h.server = &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	go h.server.Serve(listen.Retrying(l))
}

// handle reads a call of bounded size, and writes its answer.
func handle[T any](h *Holder, mux *http.ServeMux, path string, do func(context.Context, T) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
		var in T
		body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, bodyMost))
		if err == nil {
			err = json.Unmarshal(body, &in)
		}
		status, out := http.StatusOK, any(nil)
		if err != nil {
			status, out = http.StatusBadRequest, Problem{Error: "the call cannot be read: " + err.Error(), Stamp: h.now()}
		} else if out, err = do(req.Context(), in); err != nil {
			status, out = h.problem(err)
		}
		data, err := json.Marshal(out)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		w.Write(data)
	})
}

func (h *Holder) problem(err error) (status int, p Problem) {
	p = Problem{Error: err.Error(), Remedy: remedy.Of(err), Stamp: h.now()}
	var refused *Refused
	switch {
	case errors.As(err, &p.Sealed), errors.As(err, &p.Behind):
		return http.StatusConflict, p
	case errors.As(err, &refused):
		return refused.Status, p
	case errors.Is(err, journal.ErrFull):
		return http.StatusInsufficientStorage, p
	}
	return http.StatusInternalServerError, p
}
