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
	ownDescriptors   = 15 + noticeBatches + 2*noticeHedges
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
	d := dialer(r.conf.Source, timeout)
	return r.roomy(d.DialContext)
}

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
