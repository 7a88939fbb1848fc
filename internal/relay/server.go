package relay

import (
	"io"
	"net/http"
	"time"

	"larchrouter/internal/framing"
)

// newHTTPServer returns a server for the connections of a listener. It serves only requests whose framing check, a
// function of package framing, accepts.
func newHTTPServer(handler http.Handler, check func(*http.Request) error, listener *limitListener) *http.Server {
	server := &http.Server{Handler: handler, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleConnTimeout,
		MaxHeaderBytes: maxHeadBytes, ConnState: listener.setConnState, ConnContext: withConn}
	framing.Guard(server, check, ignoreRest)
	server.Handler = skipClosedConns(server.Handler)
	return server
}

// handler returns the handler of the clients' address.
func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /up", ignoreBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })))
	mux.HandleFunc("POST /api", r.serveAPI)
	return r.closeWhileStopping(closeAfterUnknown(mux))
}

// closeWhileStopping closes connections after their responses while the relay stops.
func (r *Relay) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.closeIfStopping(w)
		next.ServeHTTP(w, req)
	})
}

// closeAfterUnknown closes the connection with the answer to a request that the mux does not know. Clients send no such
// request, so what follows on the connection is not read as one.
func closeAfterUnknown(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if _, pattern := mux.Handler(req); pattern == "" {
			closeAfterMalformed(w, req)
		}
		mux.ServeHTTP(w, req)
	})
}

// ignoreRest has the connection of a request end with the response to it.
func ignoreRest(req *http.Request) { inboundConnOf(req).ignoreRest() }

// ignoreBodies serves requests without waiting for their bodies, which no handler here needs.
func ignoreBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ContentLength != 0 {
			ignoreRest(req)
		}
		next.ServeHTTP(w, req)
	})
}

// bodyTooLargeResponse answers a request whose body exceeds maxBodyBytes.
const bodyTooLargeResponse = "HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// rejectLargeBody answers a request whose body is too large, and ends its connection. It takes the connection from the
// server, which would keep it for half a second as if it still served the request.
func rejectLargeBody(w http.ResponseWriter, req *http.Request) {
	ignoreRest(req)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "body is over 64 KiB", http.StatusRequestEntityTooLarge)
		return
	}
	conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	io.WriteString(conn, bodyTooLargeResponse)
	conn.Close()
}

// closeAfterMalformed closes the connection of a malformed request with the answer to it.
func closeAfterMalformed(w http.ResponseWriter, req *http.Request) {
	inboundConnOf(req).ignoreRest()
	w.Header().Set("Connection", "close")
}

// closeIfStopping closes a client's connection with the response that follows once the relay stops or the next
// process has taken over, so that the client connects elsewhere. It is called when the response is written, because
// the request may have been read before.
func (r *Relay) closeIfStopping(w http.ResponseWriter) {
	if r.closeAfterResponse.Load() || r.handedOverAt.Load() > 0 {
		w.Header().Set("Connection", "close")
	}
}
