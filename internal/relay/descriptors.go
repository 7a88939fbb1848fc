package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// The descriptors of a relay are few, and whoever likes may hold some: each use has a part of its own, so that idle clients
// leave enough for endpoints, discovery, notices, the journal, the second address and the next process.

const (
	// Standard streams, the poller, listeners, journal and its copy, discovery, hand-over; and notices, whose second attempts
	// may have one more on its way out.
	reservedDescriptors = 15 + noticeBatches + 2*noticeHedges
	fleetDescriptors    = 24 // keepers, holders, their streams and folders
)

// parts is how many connections clients may have, and how many to endpoints are kept while they rest.
func (c *Config) connectionLimits(workers int) (clients, idleHostConns int) {
	total, reserved := c.Sockets, reservedDescriptors
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur > 0 && limit.Cur < uint64(total) {
		total = int(limit.Cur)
	}
	if c.AdminAddr != "" {
		reserved += maxAdminConns + maxAdminConns/8
	}
	if c.Fleet != nil {
		reserved += fleetDescriptors
	}
	available := max(total-reserved-workers, total/4)
	idleHostConns = max(1, min(total/4, available/3))
	return max(2, min(total/2, (available-idleHostConns)*8/9)), idleHostConns // an eighth more may be on its way out
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// outOf tells whether there was no descriptor.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// dial opens connections that go out. Without a descriptor it says nothing of the other side: those that rest make room.
func (r *Relay) newDialFunc(timeout time.Duration) dialFunc {
	dialer := newDialer(r.conf.SourceIP, timeout)
	if timeout == 0 {
		timeout = localErrorTimeout
	}
	return r.retryDescriptorShortage(retryLocalErrors(dialer.DialContext, timeout))
}

// localFor is for how long an error of this machine is lived through where no time is set for a connection to come up.
const localErrorTimeout = time.Second

// ofThisMachine tells whether a connection was not even tried for, for want of an address, a buffer, memory or a network of this
// machine's (connect(2), socket(2)): that says nothing of the other side.
func isLocalError(err error) bool {
	for _, e := range []error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH, syscall.ENETDOWN,
		syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EPERM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// patient tries again while this machine cannot make a connection, for as long as one may take to come up: an endpoint must
// not be taken for down for it.
func retryLocalErrors(dial dialFunc, timeout time.Duration) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		start := time.Now()
		for pause := localRetryDelay; ; pause = min(2*pause, timeout/4) {
			conn, err := dial(ctx, network, addr)
			if !isLocalError(err) || time.Since(start)+pause > timeout {
				return conn, err
			}
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return nil, err
			}
		}
	}
}

// localPause is the first pause after an error of this machine.
const localRetryDelay = 10 * time.Millisecond

func (r *Relay) retryDescriptorShortage(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		for tries := 0; isDescriptorShortage(err) && tries < 3 && ctx.Err() == nil; tries++ {
			r.clientListener.onDescriptorShortage(err)
			conn, err = dial(ctx, network, addr)
		}
		return conn, err
	}
}
