// Package discovery follows the list of endpoints: what it looks like, where it comes from, and how a relay of a
// large fleet asks for it without a crowd.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Source tells a relay of the list of endpoints.
type Source interface {
	// Follow passes on each list, whole or changed, in the order of versions, until the context ends.
	Follow(ctx context.Context, onList func(List))
}

// Server is one entry of the list.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// List is an answer of discovery: the whole list, or what has changed.
type List struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Fleet is what the settings say of how often a relay may ask.
type Fleet struct {
	Size            int           // relays
	MaxPollInterval time.Duration // one that has not asked for so long counts as told of what it does not know
}

// At is where discovery and the taker of notices are. It may change while the relay runs.
type Address struct {
	mu     sync.Mutex
	addr   string
	valid  context.Context // ends when the address changes
	cancel context.CancelFunc
}

// NewAt is an address that may change.
func NewAddress(addr string) *Address {
	a := &Address{}
	a.Set(addr)
	return a
}

// Get returns the address, and a context that ends when it no longer holds.
func (a *Address) Get() (addr string, valid context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.valid
}

// Set changes the address; what the old one is asked ends.
func (a *Address) Set(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
	a.addr = addr
	a.valid, a.cancel = context.WithCancel(context.Background())
}

// Platform is the platform's discovery service as a source.
type Platform struct {
	Client  *http.Client
	Address *Address
	Fleet   func() Fleet // asked anew before each call
	Seed    uint64
	HasList bool  // the relay has a whole list to work from
	Version int64 // of that list
	// Before is how the process before this one held the list; nil if nothing is known of that.
	PreviousLease *Lease
	// Renewed is told how the list stands as that changes, from the follower's goroutine; nil if nobody wants to know. News of
	// the list are passed on before it.
	LeaseChanged func(Lease)
}

// Check tells what makes a list unfit to act on. Discovery's word ends calls and closes
// endpoints, so what is malformed leaves the list held as it is.
func (l *List) Check() error {
	if l.Full && l.Servers == nil {
		return errors.New("a whole list without servers")
	}
	for i, server := range l.Servers {
		if server.ID == "" || server.State != "left" && server.Addr == "" {
			return fmt.Errorf("servers[%d]: id is %q and addr %q", i, server.ID, server.Addr)
		}
		if server.State != "active" && server.State != "leaving" && server.State != "left" {
			return fmt.Errorf("servers[%d]: %q is no state", i, server.State)
		}
	}
	return nil
}
