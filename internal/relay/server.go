package relay

import "net/http"

// newServer serves what comes on p.
func newServer(h http.Handler, p *peers) *http.Server {
	return &http.Server{Handler: served(h), ReadTimeout: requestIn, WriteTimeout: requestIn, IdleTimeout: idleIn,
		MaxHeaderBytes: 16 << 10, ConnState: p.note, ConnContext: withPeer}
}

func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /up", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /api", r.serveAPI)
	return r.leaving(framed(mux))
}

// leaving ends connections with their answers while the relay stops.
func (r *Relay) leaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.leave(w)
		next.ServeHTTP(w, req)
	})
}

// framed lets through only requests whose length Content-Length tells, as every client's
// does. Where a Transfer-Encoding stands beside it, net/http follows that and hides the
// other: what the sender's side holds to be the rest of the body would be read as the next
// request. The connection ends with the answer, for nobody knows where the next one begins.
func framed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if len(req.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
			http.Error(w, "Transfer-Encoding is not accepted", http.StatusLengthRequired)
			return
		}
		next.ServeHTTP(w, req)
	})
}

// leave ends a client's connection with the answer that follows, once the relay stops or the next process has taken
// over: the client's next one comes elsewhere. It is asked as the answer goes out, for a request may have been read before.
func (r *Relay) leave(w http.ResponseWriter) {
	if r.closing.Load() || r.handedOverAt.Load() > 0 {
		w.Header().Set("Connection", "close")
	}
}
