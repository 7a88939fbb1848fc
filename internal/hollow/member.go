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
	"larchrouter/internal/fleet/hold"
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
	number    int
	region    int
	fleetSize int // members
	dir       string
	file      fleet.File
	wan       *WAN
	list      discovery.List
	report    func(Transition)

	mu         sync.Mutex // in place of the relay's loop
	state      *fleet.Kept
	acting     hold.Acts
	leaseEnd   time.Duration // of the lease
	leaseTimer *time.Timer   // at that time
	cancel     context.CancelFunc
	done       chan struct{}
}

// start begins a process of the member.
func (m *member) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel != nil {
		return fmt.Errorf("member %d runs already", m.number)
	}
	k := fleet.Open(m.dir, rand.Text()[:16], m.file)
	if err := k.Sign(); err != nil {
		return err
	}
	transport := &http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute, DialContext: m.wan.Dial(m.region),
		MaxIdleConnsPerHost: 2, MaxConnsPerHost: 2}
	client := &api.Client{HTTP: &http.Client{Transport: transport}}
	for _, k := range m.wan.Keepers {
		client.Keepers = append(client.Keepers, k.PublicAddr)
	}
	session := &fleet.Session{Client: client, Name: fmt.Sprintf("relay/%d", m.number), Zone: fmt.Sprintf("region-%d", m.region), Seed: uint64(m.number),
		Instance: k.Instance, Before: k.Before, Fleet: func() int { return m.fleetSize }, Now: Clock}
	session.Hear = func(response fleet.Heard) (generations []uint64, message fleet.Word, ok bool) {
		return m.receive(k, response)
	}
	m.state, m.acting, m.leaseEnd = k, hold.Acts{Mode: Stopped}, 0
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan struct{})
	m.update()
	go func() {
		defer close(m.done)
		session.Run(ctx)
		transport.CloseIdleConnections()
	}()
	return nil
}

// kill ends the process of the member, without a word to anybody.
func (m *member) kill() {
	m.mu.Lock()
	if m.cancel == nil {
		m.mu.Unlock()
		return
	}
	cancel, done := m.cancel, m.done
	m.update()
	m.state, m.cancel = nil, nil
	if m.leaseTimer != nil {
		m.leaseTimer.Stop()
	}
	m.report(Transition{At: Clock(), Member: m.number, Mode: Stopped})
	m.mu.Unlock()
	cancel()
	<-done
}

// hear takes in an answer of the keepers, as a relay's loop does.
func (m *member) receive(state *fleet.Kept, response fleet.Heard) (generations []uint64, message fleet.Word, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != state { // it was killed meanwhile
		return nil, fleet.Word{}, false
	}
	m.update() // what it acted by until now may have ended before
	message, err := state.Hear(Clock(), response.Asked, response.Standing)
	m.update()
	return slices.Clone(state.Have()), message, err == nil
}

// look has the member act by what it may act by now. The lock is held.
func (m *member) update() {
	if m.state == nil {
		return
	}
	now := Clock()
	_, changed := m.state.Look(now)
	if acting := m.state.Acting(); changed || m.acting.Mode == Stopped {
		at := now
		if acting.Mode == hold.Fallback && m.leaseEnd > 0 { // nothing has gone out by the lease since it ended
			at = min(at, m.leaseEnd)
		}
		m.acting = acting
		m.report(Transition{At: at, Member: m.number, Mode: acting.Mode, Force: acting.Force, Next: acting.Next})
	}
	remaining := m.state.Left(now)
	if leaseEnd := now + remaining; remaining > 0 && leaseEnd != m.leaseEnd {
		m.leaseEnd = leaseEnd
		if m.leaseTimer != nil {
			m.leaseTimer.Stop()
		}
		m.leaseTimer = time.AfterFunc(remaining, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.update()
		})
	}
}
