// Package framing rejects HTTP requests whose end this side and the sender may see in different places. What the sender
// regards as part of a body would otherwise be read as the next request of the connection.
package framing

import (
	"fmt"
	"net/http"
)

// Error reports a request that was rejected for its framing.
type Error struct {
	Status int // of the answer
	Reason string
}

func (e *Error) Error() string { return e.Reason }

// Remedy returns what an operator can do about the error.
func (e *Error) Remedy() string {
	return "have the sender use HTTP/1.1 and give the length of the body by Content-Length"
}

// CheckVersion returns an *Error for a request that is not of HTTP/1.1. In earlier versions net/http ignores a
// Transfer-Encoding.
func CheckVersion(req *http.Request) error {
	if req.ProtoMajor != 1 || req.ProtoMinor != 1 {
		return &Error{http.StatusHTTPVersionNotSupported, fmt.Sprintf("%s is not accepted, only HTTP/1.1", req.Proto)}
	}
	return nil
}

// Check returns an *Error also for a request with a Transfer-Encoding, beside which net/http ignores a Content-Length. It
// rejects a Content-Length that is malformed, or given twice with different values, itself.
func Check(req *http.Request) error {
	if err := CheckVersion(req); err != nil {
		return err
	}
	if len(req.TransferEncoding) > 0 {
		return &Error{http.StatusLengthRequired, "Transfer-Encoding is not accepted"}
	}
	return nil
}

// CheckLength returns an *Error also for a request that may have a body and does not give its length.
func CheckLength(req *http.Request) error {
	if err := Check(req); err != nil {
		return err
	}
	if req.Method != http.MethodGet && req.Method != http.MethodHead && req.Header.Get("Content-Length") == "" {
		return &Error{http.StatusLengthRequired, "Content-Length is missing"}
	}
	return nil
}

// Guard has a server, which must not have started, serve only requests that check accepts, which is one of the functions
// above. It closes the connection with the answer to any other, because nobody knows where the next request begins;
// onReject, which may be nil, is called before. Guard covers each request that the server reads: net/http would answer
// "OPTIONS *" by itself, without the server's handler, and go on with the connection. A connection also ends with the
// answer to an accepted request that has a Transfer-Encoding.
func Guard(server *http.Server, check func(*http.Request) error, onReject func(*http.Request)) {
	server.DisableGeneralOptionsHandler = true
	server.Handler = require(check, server.Handler, onReject)
}

// require returns a handler that passes on the requests that check accepts.
func require(check func(*http.Request) error, next http.Handler, onReject func(*http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		err := check(req)
		if err == nil {
			if len(req.TransferEncoding) > 0 { // net/http does not tell whether there was a Content-Length as well
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, req)
			return
		}
		if onReject != nil {
			onReject(req)
		}
		status := http.StatusBadRequest
		if rejected, ok := err.(*Error); ok {
			status = rejected.Status
		}
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), status)
	})
}
