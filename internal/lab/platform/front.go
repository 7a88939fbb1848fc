package platform

import "sync"

// Front knows which relays clients may be dealt to.
type Front struct {
	mu     sync.Mutex
	addrs  map[string]string
	order  []string
	usable map[string]bool
	turn   int
}

// NewFront deals connections out to relays in turn.
func NewFront() *Front { return &Front{addrs: map[string]string{}, usable: map[string]bool{}} }

// Add names a relay and its address.
func (f *Front) Add(relay, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addrs[relay] == "" {
		f.order = append(f.order, relay)
	}
	f.addrs[relay] = addr
}

// Use says whether a relay gets clients.
func (f *Front) Use(relay string, use bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usable[relay] = use
}

// next is the relay whose turn it is.
func (f *Front) next() (relay, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.order {
		f.turn++
		if r := f.order[f.turn%len(f.order)]; f.usable[r] {
			return r, f.addrs[r]
		}
	}
	return "", ""
}
