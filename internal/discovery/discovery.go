// Package discovery follows the platform's list of endpoints: the format of the list, the calls that fetch it, the pacing of
// those calls across a fleet, and the lease under which a relay may act on a list.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Source provides a relay with the list of endpoints.
type Source interface {
	// Follow passes each list, full or incremental, to onList in the order of versions, until ctx ends.
	Follow(ctx context.Context, onList func(List))
}

// Server is one entry of the list, an endpoint.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// List is an answer of discovery: the full list, or the entries that changed since the version that the relay has.
type List struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Fleet is what the settings say about how often a relay calls discovery.
type Fleet struct {
	Size            int           // number of relays
	MaxPollInterval time.Duration // a relay that has not called for this long counts as notified of every change
}

// Address is the network address of the platform, at which discovery and the receiver of notices listen. It may change while
// the relay runs, and is safe for concurrent use.
type Address struct {
	mu     sync.Mutex
	addr   string
	valid  context.Context // ends when addr is replaced
	cancel context.CancelFunc
}

// NewAddress returns an Address that is set to addr.
func NewAddress(addr string) *Address {
	a := &Address{}
	a.Set(addr)
	return a
}

// Get returns the address, and a context that ends when the address is replaced.
func (a *Address) Get() (addr string, valid context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.valid
}

// Set replaces the address. Calls that are in flight to the old one are cancelled.
func (a *Address) Set(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
	a.addr = addr
	a.valid, a.cancel = context.WithCancel(context.Background())
}

// Platform is a Source that calls the platform's discovery service.
type Platform struct {
	Client  *http.Client
	Address *Address
	Fleet   func() Fleet // called each time the pace of calls or the lease is determined
	Seed    uint64
	HasList bool  // the relay starts with a full list, from an earlier process or its configuration
	Version int64 // of that list
	// PreviousLease is the lease that the previous process had on the list; nil if it is unknown.
	PreviousLease *Lease
	// LeaseChanged receives the lease each time it may have changed, from the goroutine that runs Follow. It may be nil. A
	// changed list is passed to onList before the lease that goes with it is passed here.
	LeaseChanged func(Lease)
}

// Check returns an error if the list is malformed. A list can end calls and close endpoints, so a malformed one is rejected as
// a whole, and the relay goes on with the list that it has.
func (l *List) Check() error {
	if l.Full && l.Servers == nil {
		return errors.New("the full list has no servers")
	}
	for i, server := range l.Servers {
		if server.ID == "" || server.State != "left" && server.Addr == "" {
			return fmt.Errorf("servers[%d]: id %q or addr %q is missing", i, server.ID, server.Addr)
		}
		if server.State != "active" && server.State != "leaving" && server.State != "left" {
			return fmt.Errorf("servers[%d]: unknown state %q", i, server.State)
		}
	}
	return nil
}
