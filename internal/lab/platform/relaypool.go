package platform

import "sync"

// RelayPool tracks the relays that clients may use.
type RelayPool struct {
	mu     sync.Mutex
	addrs  map[string]string
	order  []string
	usable map[string]bool
	// leaving holds the relays that have been told to stop: they get no new connections, but existing ones stay in use.
	leaving   map[string]bool
	lastIndex int
}

// NewRelayPool returns an empty pool, which assigns relays round robin.
func NewRelayPool() *RelayPool {
	return &RelayPool{addrs: map[string]string{}, usable: map[string]bool{}, leaving: map[string]bool{}}
}

// Add adds a relay, or sets its address. SetUsable makes it available to clients.
func (f *RelayPool) Add(relay, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addrs[relay] == "" {
		f.order = append(f.order, relay)
	}
	f.addrs[relay] = addr
}

// SetUsable sets whether clients may connect to a relay, and ends its leaving.
func (f *RelayPool) SetUsable(relay string, usable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usable[relay] = usable
	delete(f.leaving, relay)
}

// SetLeaving excludes a relay from new connections, while open ones stay in use.
func (f *RelayPool) SetLeaving(relay string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usable[relay], f.leaving[relay] = false, true
}

// leavingRelay returns the first leaving relay for which matches returns true, and its address; empty strings if there is none.
func (f *RelayPool) leavingRelay(matches func(relay string) bool) (relay, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.order {
		if f.leaving[r] && matches(r) {
			return r, f.addrs[r]
		}
	}
	return "", ""
}

// next returns the next usable relay in turn, and its address; empty strings if there is none.
func (f *RelayPool) next() (relay, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.order {
		f.lastIndex++
		if r := f.order[f.lastIndex%len(f.order)]; f.usable[r] {
			return r, f.addrs[r]
		}
	}
	return "", ""
}
