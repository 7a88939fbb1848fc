package hollow

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet"
	"larchrouter/internal/fleet/lease"
	"larchrouter/internal/keeper/api"
)

// Clock is the machine's monotonic clock (CLOCK_MONOTONIC), which all processes share, so that what they say can be put in order.
func Clock() time.Duration {
	var ts syscall.Timespec
	const monotonic = 1
	syscall.Syscall(syscall.SYS_CLOCK_GETTIME, monotonic, uintptr(unsafe.Pointer(&ts)), 0)
	return time.Duration(ts.Nano())
}

// member is a relay's part in the agreement, and nothing else of it.
type member struct {
	number int
	region int
	fleet  int // members
	dir    string
	file   fleet.File
	wan    *WAN
	list   discovery.List
	tell   func(Act)

	mu   sync.Mutex // in place of the relay's loop
	kept *fleet.Member
	last lease.Status
	end  time.Duration // of the lease
	wake *time.Timer   // at that time
	stop context.CancelFunc
	done chan struct{}
}

// start begins a process of the member.
func (m *member) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop != nil {
		return fmt.Errorf("member %d runs already", m.number)
	}
	k := fleet.Open(m.dir, rand.Text()[:16], m.file)
	if err := k.RecordInstance(); err != nil {
		return err
	}
	conns := &http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute, DialContext: m.wan.Dial(m.region),
		MaxIdleConnsPerHost: 2, MaxConnsPerHost: 2}
	c := &api.Client{HTTP: &http.Client{Transport: conns}}
	for _, k := range m.wan.Keepers {
		c.Keepers = append(c.Keepers, k.Front)
	}
	s := &fleet.Session{Client: c, Name: fmt.Sprintf("relay/%d", m.number), Zone: fmt.Sprintf("region-%d", m.region), Seed: uint64(m.number),
		Instance: k.Instance, PreviousInstance: k.PreviousInstance, FleetSize: func() int { return m.fleet }, Now: Clock}
	s.HandleAnswer = func(h fleet.Answer) (have []uint64, w fleet.Reply, ok bool) { return m.hear(k, h) }
	m.kept, m.last, m.end = k, lease.Status{Mode: Gone}, 0
	ctx, stop := context.WithCancel(context.Background())
	m.stop, m.done = stop, make(chan struct{})
	m.look()
	go func() {
		defer close(m.done)
		s.Run(ctx)
		conns.CloseIdleConnections()
	}()
	return nil
}

// kill ends the process of the member, without a word to anybody.
func (m *member) kill() {
	m.mu.Lock()
	if m.stop == nil {
		m.mu.Unlock()
		return
	}
	stop, done := m.stop, m.done
	m.look()
	m.kept, m.stop = nil, nil
	if m.wake != nil {
		m.wake.Stop()
	}
	m.tell(Act{At: Clock(), Member: m.number, Mode: Gone})
	m.mu.Unlock()
	stop()
	<-done
}

// hear takes in an answer of the keepers, as a relay's loop does.
func (m *member) hear(k *fleet.Member, h fleet.Answer) (have []uint64, w fleet.Reply, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kept != k { // it was killed meanwhile
		return nil, fleet.Reply{}, false
	}
	m.look() // what it acted by until now may have ended before
	w, err := k.Receive(Clock(), h.RequestedAt, h.Response)
	m.look()
	return slices.Clone(k.KnownGenerations()), w, err == nil
}

// look has the member act by what it may act by now. The lock is held.
func (m *member) look() {
	if m.kept == nil {
		return
	}
	now := Clock()
	_, changed := m.kept.Refresh(now)
	if acts := m.kept.Status(); changed || m.last.Mode == Gone {
		at := now
		if acts.Mode == lease.Fallback && m.end > 0 { // nothing has gone out by the lease since it ended
			at = min(at, m.end)
		}
		m.last = acts
		m.tell(Act{At: at, Member: m.number, Mode: acts.Mode, Force: acts.Current, Next: acts.Next})
	}
	left := m.kept.LeaseRemaining(now)
	if end := now + left; left > 0 && end != m.end {
		m.end = end
		if m.wake != nil {
			m.wake.Stop()
		}
		m.wake = time.AfterFunc(left, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.look()
		})
	}
}
