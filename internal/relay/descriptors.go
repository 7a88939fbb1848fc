package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// A relay has few file descriptors, and any client may occupy some. Each use therefore has its own share, so that
// idle clients leave enough for endpoints, discovery, notices, the journal, the admin address and the next process.

const (
	// Standard streams, the poller, listeners, the journal and its copy, discovery, handover; and notices, whose
	// second attempts may each have one more connection that is being closed.
	reservedDescriptors = 15 + maxNoticeBatches + 2*maxNoticeHedges
	fleetDescriptors    = 24 // keepers, replicas, their streams and directories
	// clientShareDivisor is the part of the descriptors that clients may hold for their requests, in any case.
	clientShareDivisor = 3
	// connectionMemoryDivisor is the part of the memory limit for connections of clients, without their requests.
	connectionMemoryDivisor = 4
	connectionBytes         = 20 << 10 // stack, buffers and state of a connection, at most
)

// connectionLimits returns how many connections clients may have, and how many idle connections to endpoints are
// retained.
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
	clients = min(total/2, (available-idleHostConns)*8/9) // another eighth may be closing
	return max(2, min(clients, max(total/clientShareDivisor, c.connectionsInMemory()))), idleHostConns
}

// connectionsInMemory returns how many connections of clients fit into the memory that they may use.
func (c *Config) connectionsInMemory() int {
	return int(c.memoryPart(connectionMemoryDivisor) / connectionBytes)
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// isDescriptorShortage reports whether an operation failed for lack of a file descriptor.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// newDialFunc returns a function that opens outgoing connections. A lack of descriptors says nothing about the remote
// side, so idle connections are closed and the dial is repeated.
func (r *Relay) newDialFunc(timeout time.Duration) dialFunc {
	dialer := newDialer(r.config.SourceIP, timeout)
	if timeout == 0 {
		timeout = localErrorTimeout
	}
	return r.retryDescriptorShortage(retryLocalErrors(dialer.DialContext, timeout))
}

// localErrorTimeout is how long errors of this machine are retried if no dial timeout is set.
const localErrorTimeout = time.Second

// isLocalError reports whether a connection was not even attempted because this machine lacked an address, a buffer,
// memory or a network (connect(2), socket(2)). Such an error says nothing about the remote side.
func isLocalError(err error) bool {
	for _, e := range []error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH, syscall.ENETDOWN,
		syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EPERM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// retryLocalErrors repeats a dial that fails because of this machine, for as long as a connection may take to be
// established: an endpoint must not be considered down because of such an error.
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

// localRetryDelay is the first delay after an error of this machine; later ones double.
const localRetryDelay = 10 * time.Millisecond

// retryDescriptorShortage repeats a dial that fails for lack of a descriptor, up to 3 times, after closing idle
// connections.
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
