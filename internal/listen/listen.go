// Package listen keeps a listener in service while its system calls fail. accept(2) may return errors of the network or of the
// connection that it was about to return, or errors for lack of memory or descriptors. All of them are transient, and none means
// that the listener is lost.
package listen

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The bounds of the pauses after failed calls. A pause doubles with each failure in a row.
const (
	minPause = 5 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// retryTimeout is how long TCP retries while the machine has no descriptor or memory for a socket.
const retryTimeout = 3 * time.Second

// TCP listens on a TCP address. It retries for a few seconds while the machine has no descriptor or memory for a socket.
func TCP(addr string) (net.Listener, error) {
	var backoff Backoff
	for startedAt := time.Now(); ; {
		l, err := net.Listen("tcp", addr)
		if err == nil || !isResourceShortage(err) || time.Since(startedAt) > retryTimeout {
			return l, err
		}
		backoff.Wait(nil, err)
	}
}

// isResourceShortage reports whether a call failed because the machine had no descriptor or memory for a socket, or because it was
// interrupted.
func isResourceShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// IsTransient reports whether Accept may succeed after err. That holds for all errors except the closing of the listener and the
// end of a deadline that was set on it.
func IsTransient(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Backoff determines the pauses between failed calls of a listener. The zero value is ready for use. It is not safe for concurrent
// use.
type Backoff struct{ pause time.Duration }

// Wait pauses after a failed call. It logs the first failure in a row.
func (b *Backoff) Wait(addr net.Addr, err error) {
	if b.pause == 0 {
		b.pause = minPause
		slog.Warn("listener call failed; retrying", "addr", addr, "err", err)
	}
	time.Sleep(b.pause)
	b.pause = min(2*b.pause, maxPause)
}

// Reset records a call that succeeded.
func (b *Backoff) Reset() { b.pause = 0 }

// Retrying returns a listener whose Accept retries after transient errors.
func Retrying(l net.Listener) net.Listener { return &retryingListener{Listener: l} }

type retryingListener struct {
	net.Listener
	mu      sync.Mutex // Accept may be called by several goroutines
	backoff Backoff
}

func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if !IsTransient(err) {
			l.mu.Lock()
			l.backoff.Reset()
			l.mu.Unlock()
			return conn, err
		}
		l.mu.Lock()
		l.backoff.Wait(l.Addr(), err)
		l.mu.Unlock()
	}
}
