package relay

import (
	"fmt"
	"larchrouter/internal/framing"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose system call fails with the given errors before it accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return f.Listener.Accept()
}

// Guards against closing the listener because of an error that accept may return at any time (accept(2)): nobody
// could connect any more, and nothing would report it.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	for _, err := range []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
		syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
		syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT, syscall.EIO} {
		t.Run(fmt.Sprint(err), func(t *testing.T) {
			tcpListener, listenErr := net.Listen("tcp", "127.0.0.1:0")
			if listenErr != nil {
				t.Fatal(listenErr)
			}
			limited := newLimitListener(&failingListener{tcpListener, []error{err, err, err}}, 10)
			served := make(chan error, 1)
			server := newHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), framing.CheckLength, limited)
			go func() { served <- server.Serve(limited) }()
			defer server.Close()
			client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, getErr := client.Get("http://" + tcpListener.Addr().String() + "/up")
			if getErr != nil {
				t.Fatal(getErr)
			}
			resp.Body.Close()
			select {
			case err := <-served:
				t.Errorf("the server has stopped: %v", err)
			default:
			}
		})
	}
}
