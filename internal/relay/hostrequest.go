package relay

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"
)

// hostRequest is one request to a host, as far as its connection knows it: what has gone out of it, and what has come of its
// answer.
type hostRequest struct {
	unread        *bytes.Reader // what is left of it to hand to the library; of whoever writes the connection
	fullyWritten  atomic.Bool   // all of the request may have been written
	answerStarted atomic.Bool   // bytes of its answer have come, whether or not it has gone out whole
	onWritten     func()        // called once it has been written
	// admit is asked right before the first byte of the request is written; leave is called once that is done. Nil lets all begin.
	admit          func() (leave func(), err error)
	statusLine     []byte      // the start of the answer, up to its first line; of whoever reads the connection
	statusLineRead bool        // that has come
	delivered      atomic.Bool // and says 200
	answerTimer    atomic.Pointer[time.Timer]
	cancel         func() // the rest of the answer
}

const (
	maxStatusLine = 256 // bytes of a first line
	// headIn is for the rest of an answer's head to come once its first line says all that counts, drainIn for the rest
	// of its body: then the connection is given up, and the slot with it.
	headTimeout  = time.Second
	drainTimeout = 100 * time.Millisecond
)

func newHostRequest(body []byte, onWritten func()) *hostRequest {
	return &hostRequest{unread: bytes.NewReader(body), onWritten: onWritten}
}

// reader is the body for net/http, which cannot rewind it: a request that bears an Idempotency-Key would be sent again by the
// library after a broken connection if its body were http.NoBody or had GetBody. The library does not know that it lies in memory
// either, and so writes the head first: a connection that breaks at that shows for certain that the call never ran.
func (r *hostRequest) requestBody() io.ReadCloser { return opaqueReader{r.unread} }

// requestBody hides what kind of reader a body is.
type opaqueReader struct{ io.Reader }

// Close does nothing.
func (opaqueReader) Close() error { return nil }

// neverRan tells whether a request that failed surely did not run: its last byte did not go out, and its endpoint has not begun
// to answer it. An answer that cannot be read counts as one to a request that may have run, whenever it comes.
func (r *hostRequest) neverRan() bool { return !r.fullyWritten.Load() && !r.answerStarted.Load() }

// heard takes in what has come of the answer: a message is delivered when a first line with 200 has been written here,
// whatever becomes of the rest.
func (r *hostRequest) answerReceived(p []byte) {
	r.answerStarted.Store(true)
	if r.statusLineRead {
		return
	}
	r.statusLine = append(r.statusLine, p[:min(len(p), maxStatusLine-len(r.statusLine))]...)
	line, _, ok := bytes.Cut(r.statusLine, []byte("\n"))
	if r.statusLineRead = ok || len(r.statusLine) >= maxStatusLine; !ok {
		return
	}
	r.statusLine = nil
	if fields := bytes.Fields(line); len(fields) > 1 && bytes.HasPrefix(fields[0], []byte("HTTP/1.")) && string(fields[1]) == "200" {
		r.delivered.Store(true)
		if r.cancel != nil {
			r.answerTimer.Store(time.AfterFunc(headTimeout, r.cancel))
		}
	}
}
