package platform

import "sync"

// Front knows which relays clients may be dealt to.
type RelayPool struct {
	mu     sync.Mutex
	addrs  map[string]string
	order  []string
	usable map[string]bool
	// leaving are relays that were told to end: they get no new connections, and those that clients have are used.
	leaving   map[string]bool
	lastIndex int
}

// NewFront deals connections out to relays in turn.
func NewRelayPool() *RelayPool {
	return &RelayPool{addrs: map[string]string{}, usable: map[string]bool{}, leaving: map[string]bool{}}
}

// Add names a relay and its address.
func (f *RelayPool) Add(relay, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addrs[relay] == "" {
		f.order = append(f.order, relay)
	}
	f.addrs[relay] = addr
}

// Use says whether a relay gets clients.
func (f *RelayPool) SetUsable(relay string, usable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usable[relay] = usable
	delete(f.leaving, relay)
}

// Leave has a relay get no new connections, while those that are open stay in use.
func (f *RelayPool) SetLeaving(relay string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usable[relay], f.leaving[relay] = false, true
}

// left is a relay that leaves and for which a test holds, with its address.
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

// next is the relay whose turn it is.
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
