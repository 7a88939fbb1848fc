package relay

import (
	"context"
	"log/slog"
	"sync"

	"larchrouter/internal/discovery"
)

// noticeAddresses chooses the address to which notices are sent: the platform's, or an alternate one while that does
// not answer. It is safe for concurrent use.
type noticeAddresses struct {
	platform *discovery.Address

	mu           sync.Mutex
	alternate    string // named by a configuration file that was rejected; empty for none
	useAlternate bool
}

// current returns the address to which notices are sent now, and a context that ends when the platform's address is
// replaced.
func (a *noticeAddresses) current() (addr string, valid context.Context) {
	addr, valid = a.platform.Get()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.useAlternate {
		addr = a.alternate
	}
	return addr, valid
}

// setAlternate sets the alternate address; an empty one removes it.
func (a *noticeAddresses) setAlternate(addr string) {
	platformAddr, _ := a.platform.Get()
	if addr == platformAddr {
		addr = ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr != a.alternate {
		a.alternate, a.useAlternate = addr, false
	}
}

// unreachable records that an address gave no answer. If it is the one in use, the other one is used from now on.
func (a *noticeAddresses) unreachable(addr string) {
	current, _ := a.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.alternate == "" || addr != current {
		return
	}
	a.useAlternate = !a.useAlternate
	slog.Warn("no answer to notices; trying the other address", "addr", addr, "alternate", a.alternate)
}
