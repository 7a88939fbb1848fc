package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// scriptedListener returns the given errors from Accept, one per call.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (s *scriptedListener) Accept() (net.Conn, error) {
	err := s.errs[0]
	s.errs = s.errs[1:]
	return nil, err
}

func (s *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a listener that stops at a transient error, or that retries after it was closed or its deadline ended.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	for _, end := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
		s := &scriptedListener{errs: []error{syscall.ENOBUFS, syscall.EPROTO, syscall.ECONNABORTED, syscall.EMFILE, &net.OpError{Op: "accept", Err: end}}}
		if _, err := Retrying(s).Accept(); !errors.Is(err, end) || len(s.errs) > 0 {
			t.Errorf("%v is returned with %d errors left, want %v", err, len(s.errs), end)
		}
	}
}

// Guards against a start that fails because the machine has no descriptor for a moment.
func TestListenWaitsForDescriptor(t *testing.T) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	noDescriptors := limit
	noDescriptors.Cur = 1
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &noDescriptors); err != nil {
		t.Fatal(err)
	}
	restore := time.AfterFunc(50*time.Millisecond, func() { syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) })
	l, err := TCP("127.0.0.1:0")
	restore.Stop()
	if limitErr := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); limitErr != nil {
		t.Fatal(limitErr)
	}
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, err := TCP("192.0.2.1:1"); err == nil || isResourceShortage(err) {
		t.Errorf("listening on an address of another machine: %v", err)
	}
}
