package replication

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"larchrouter/internal/framing"
	"larchrouter/internal/journal"
	"larchrouter/internal/listen"
	"larchrouter/internal/remedy"
)

const (
	defaultBodyMemory = 2 * maxBodyBytes
	// maxReplicaConns is how many connections other relays may have: some for each group whose copy is stored here.
	maxReplicaConns = 64
)

// LimitBodies sets how many bytes the bodies of all calls may take together. It must precede Serve.
func (s *ReplicaServer) LimitBodies(bytes int64) {
	s.bodyBytes, s.bodies = bytes, semaphore.NewWeighted(bytes)
}

// Serve starts to answer calls at a listener, until Close. It returns at once.
func (s *ReplicaServer) Serve(listener net.Listener) {
	mux := http.NewServeMux()
	handle(s, mux, CopyPath, s.acceptBatch)
	handle(s, mux, PromisePath, s.promise)
	handle(s, mux, DropPath, s.drop)
	s.listener = listener
	s.server = &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	framing.Guard(s.server, framing.CheckVersion, nil)
	go s.server.Serve(listen.Limited(listen.Retrying(listener), maxReplicaConns))
}

// handle registers a handler that decodes a request of at most maxBodyBytes, calls serve, and writes the answer as JSON.
func handle[T any](s *ReplicaServer, mux *http.ServeMux, path string, serve func(context.Context, T) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
		var request T
		status, answer := http.StatusOK, any(nil)
		if err := s.readCall(w, req, &request); err != nil {
			status, answer = s.problemFor(err)
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

// errReplicaBusy refuses a call because the bodies of others take the memory for them.
var errReplicaBusy = &RefusedError{"this relay", http.StatusServiceUnavailable, "the calls of others take its memory", "nothing: the caller tries again"}

// readCall reads and decodes the body of a call.
func (s *ReplicaServer) readCall(w http.ResponseWriter, req *http.Request, request any) error {
	limit := min(maxBodyBytes, s.bodyBytes)
	size := req.ContentLength
	if size < 0 || size > limit { // of unknown length, or rejected once it exceeds the limit
		size = limit
	}
	if !s.bodies.TryAcquire(size) {
		return errReplicaBusy
	}
	defer s.bodies.Release(size)
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	if err == nil {
		err = json.Unmarshal(body, request)
	}
	if err != nil {
		return &RefusedError{"this relay", http.StatusBadRequest, "the call cannot be read: " + err.Error(), "correct the call"}
	}
	return nil
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
