package relay

import "net/http"

// newHTTPServer returns a server for the connections of a listener.
func newHTTPServer(handler http.Handler, listener *limitListener) *http.Server {
	return &http.Server{Handler: skipClosedConns(handler), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleConnTimeout,
		MaxHeaderBytes: 16 << 10, ConnState: listener.setConnState, ConnContext: withConn}
}

// handler returns the handler of the clients' address.
func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /up", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /api", r.serveAPI)
	return r.closeWhileStopping(requireContentLength(mux))
}

// closeWhileStopping closes connections after their responses while the relay stops.
func (r *Relay) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.closeIfStopping(w)
		next.ServeHTTP(w, req)
	})
}

// requireContentLength serves only requests whose length is given by Content-Length, as it is by every client. If
// there is a Transfer-Encoding as well, net/http follows it and hides the Content-Length, so what the sender regards
// as the rest of the body would be read as the next request. The connection is closed with the response, because
// nobody knows where the next request begins.
func requireContentLength(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if len(req.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
			http.Error(w, "Transfer-Encoding is not accepted", http.StatusLengthRequired)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// closeIfStopping closes a client's connection with the response that follows once the relay stops or the next
// process has taken over, so that the client connects elsewhere. It is called when the response is written, because
// the request may have been read before.
func (r *Relay) closeIfStopping(w http.ResponseWriter) {
	if r.closeAfterResponse.Load() || r.handedOverAt.Load() > 0 {
		w.Header().Set("Connection", "close")
	}
}
