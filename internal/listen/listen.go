// Package listen keeps a listener in service while its system calls fail. accept(2) may return errors of the network, of the
// connection that it was about to return, or for want of memory or descriptors; all of them pass, and none says that the
// listener is lost.
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

// The pauses after tries that failed: they double, and begin anew once one succeeds.
const (
	minPause = 5 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// startFor is how long TCP tries while the machine lacks what a socket takes.
const retryTimeout = 3 * time.Second

// TCP listens at an address. Where the machine has no descriptor or memory for a socket, it tries again for a moment.
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

// lacking tells whether the machine had no descriptor or memory for a socket.
func isResourceShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// Passes tells whether an error of Accept passes: all but the end of the listener and of a deadline that was set on it.
func IsTransient(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Backoff spaces tries to accept that fail. The zero value is ready; it is not safe for use by several goroutines.
type Backoff struct{ pause time.Duration }

// Wait pauses after a try that failed. The first one in a row is logged.
func (b *Backoff) Wait(addr net.Addr, err error) {
	if b.pause == 0 {
		b.pause = minPause
		slog.Warn("a listener's call failed; trying again", "addr", addr, "err", err)
	}
	time.Sleep(b.pause)
	b.pause = min(2*b.pause, maxPause)
}

// Done takes in a try that succeeded.
func (b *Backoff) Reset() { b.pause = 0 }

// Lasting returns a listener whose Accept tries again after errors that pass.
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
