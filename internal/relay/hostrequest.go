package relay

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"
)

// hostRequest is the state of one request to a host, as its connection sees it: what was written of it, and what was
// received of its answer.
type hostRequest struct {
	unread        *bytes.Reader // the part of the body that net/http has not read yet; used only by the goroutine that writes the connection
	fullyWritten  atomic.Bool   // the whole request may have been written
	answerStarted atomic.Bool   // part of the answer has arrived, whether or not the request was fully written
	onWritten     func()        // called once the request is fully written
	// admit is called right before the first byte of the request is written, and leave once that write is done. If
	// admit is nil, every request may start.
	admit          func() (leave func(), err error)
	statusLine     []byte                     // the start of the answer, up to the end of its status line; used only by the goroutine that reads the connection
	statusLineRead bool                       // the status line is complete, or too long
	delivered      atomic.Bool                // the status line has status 200
	answerTimer    atomic.Pointer[time.Timer] // calls cancel after headTimeout
	cancel         func()                     // cancels reading the rest of the answer
}

const (
	maxStatusLine = 256 // size limit of a status line in bytes
	// headTimeout is the time within which the rest of an answer's header must arrive after its status line, which says
	// all that matters. drainTimeout is the same for the rest of the body. After that the connection is closed, and the
	// call slot is free again.
	headTimeout  = time.Second
	drainTimeout = 100 * time.Millisecond
)

func newHostRequest(body []byte, onWritten func()) *hostRequest {
	return &hostRequest{unread: bytes.NewReader(body), onWritten: onWritten}
}

// requestBody returns the body for net/http, in a form that net/http cannot rewind. If the body were http.NoBody or had
// GetBody, net/http would resend a request that has an Idempotency-Key after its connection broke. As net/http does not
// know that the body is in memory, it also writes the header first: a connection that breaks during that write shows
// for certain that the call did not run.
func (r *hostRequest) requestBody() io.ReadCloser { return opaqueReader{r.unread} }

// opaqueReader hides the concrete type of a body's reader.
type opaqueReader struct{ io.Reader }

// Close implements io.Closer and does nothing.
func (opaqueReader) Close() error { return nil }

// neverRan reports whether a failed request certainly did not run: its last byte was not written, and its endpoint has
// not started to answer. If an answer arrived that cannot be parsed, the request may have run, no matter when the
// answer came.
func (r *hostRequest) neverRan() bool { return !r.fullyWritten.Load() && !r.answerStarted.Load() }

// answerReceived processes the next bytes of the answer. A message is delivered once a status line with 200 has been
// received, whatever becomes of the rest.
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
