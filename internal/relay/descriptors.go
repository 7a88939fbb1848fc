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
	ownDescriptors   = 15 + maxNoticeBatches + 2*maxNoticeHedges
	fleetDescriptors = 24 // keepers, holders, their streams and folders
)

// parts is how many connections clients may have, and how many to endpoints are kept while they rest.
func (c *Config) parts(workers int) (clients, kept int) {
	all, own := c.Sockets, ownDescriptors
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur > 0 && limit.Cur < uint64(all) {
		all = int(limit.Cur)
	}
	if c.Admin != "" {
		own += adminMost + adminMost/8
	}
	if c.Fleet != nil {
		own += fleetDescriptors
	}
	rest := max(all-own-workers, all/4)
	kept = max(1, min(all/4, rest/3))
	return max(2, min(all/2, (rest-kept)*8/9)), kept // an eighth more may be on its way out
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// outOf tells whether there was no descriptor.
func outOf(err error) bool { return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) }

// dial opens connections that go out. Without a descriptor it says nothing of the other side: those that rest make room.
func (r *Relay) dial(timeout time.Duration) dialFunc {
	d := dialer(r.config.Source, timeout)
	if timeout == 0 {
		timeout = localFor
	}
	return r.roomy(patient(d.DialContext, timeout))
}

// localFor is for how long an error of this machine is lived through where no time is set for a connection to come up.
const localFor = time.Second

// ofThisMachine tells whether a connection was not even tried for, for want of an address, a buffer, memory or a network of this
// machine's (connect(2), socket(2)): that says nothing of the other side.
func ofThisMachine(err error) bool {
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
func patient(dial dialFunc, most time.Duration) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		begin := time.Now()
		for pause := localPause; ; pause = min(2*pause, most/4) {
			conn, err := dial(ctx, network, addr)
			if !ofThisMachine(err) || time.Since(begin)+pause > most {
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
const localPause = 10 * time.Millisecond

func (r *Relay) roomy(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		for tries := 0; outOf(err) && tries < 3 && ctx.Err() == nil; tries++ {
			r.listener.short(err)
			conn, err = dial(ctx, network, addr)
		}
		return conn, err
	}
}
