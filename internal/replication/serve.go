package replication

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"larchrouter/internal/framing"
	"larchrouter/internal/journal"
	"larchrouter/internal/listen"
	"larchrouter/internal/remedy"
)

// Serve starts to answer calls at a listener, until Close. It returns at once.
func (s *ReplicaServer) Serve(listener net.Listener) {
	mux := http.NewServeMux()
	handle(s, mux, CopyPath, s.acceptBatch)
	handle(s, mux, PromisePath, s.promise)
	handle(s, mux, DropPath, s.drop)
	s.listener = listener
	s.server = &http.Server{Handler: framing.Require(framing.CheckVersion, mux, nil), ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	go s.server.Serve(listen.Retrying(listener))
}

// handle registers a handler that decodes a request of at most maxBodyBytes, calls serve, and writes the answer as JSON.
func handle[T any](s *ReplicaServer, mux *http.ServeMux, path string, serve func(context.Context, T) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
		var request T
		body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
		if err == nil {
			err = json.Unmarshal(body, &request)
		}
		status, answer := http.StatusOK, any(nil)
		if err != nil {
			status, answer = http.StatusBadRequest, Problem{Error: "the call cannot be read: " + err.Error(), Stamp: s.currentStamp()}
		} else if answer, err = serve(req.Context(), request); err != nil {
			status, answer = s.problemFor(err)
		}
		data, err := json.Marshal(answer)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		w.Write(data)
	})
}

// problemFor returns the HTTP status and the body that report an error.
func (s *ReplicaServer) problemFor(err error) (status int, problem Problem) {
	problem = Problem{Error: err.Error(), Remedy: remedy.Of(err), Stamp: s.currentStamp()}
	var refused *RefusedError
	switch {
	case errors.As(err, &problem.Fenced), errors.As(err, &problem.MissingRecords):
		return http.StatusConflict, problem
	case errors.As(err, &refused):
		return refused.Status, problem
	case errors.Is(err, journal.ErrFull):
		return http.StatusInsufficientStorage, problem
	}
	return http.StatusInternalServerError, problem
}
