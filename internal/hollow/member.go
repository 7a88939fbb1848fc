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

// Clock returns the time on the machine's monotonic clock (CLOCK_MONOTONIC). All processes share that clock, so that their
// reports can be put in order.
func Clock() time.Duration {
	var ts syscall.Timespec
	const monotonic = 1
	syscall.Syscall(syscall.SYS_CLOCK_GETTIME, monotonic, uintptr(unsafe.Pointer(&ts)), 0)
	return time.Duration(ts.Nano())
}

// member is the part of a relay that takes part in agreeing on the configuration, without its message paths.
type member struct {
	number    int
	region    int
	fleetSize int        // number of members in the whole fleet
	dir       string     // of its stored state
	file      fleet.File // its own settings file
	wan       *WAN
	list      discovery.List
	report    func(Transition) // called with each transition, with mu locked

	mu         sync.Mutex // serializes what the relay's loop does one after another
	state      *fleet.Member
	acting     lease.Status
	leaseEnd   time.Duration // on Clock; 0 without a lease so far
	leaseTimer *time.Timer   // calls update at leaseEnd
	cancel     context.CancelFunc
	done       chan struct{}
}

// start starts the member's simulated process; it fails if the member already runs or its state cannot be stored.
func (m *member) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel != nil {
		return fmt.Errorf("member %d is already running", m.number)
	}
	k := fleet.Open(m.dir, rand.Text()[:16], m.file)
	if err := k.RecordInstance(); err != nil {
		return err
	}
	transport := &http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute, DialContext: m.wan.Dial(m.region),
		MaxIdleConnsPerHost: 2, MaxConnsPerHost: 2}
	client := &api.Client{HTTP: &http.Client{Transport: transport}}
	for _, k := range m.wan.Keepers {
		client.Keepers = append(client.Keepers, k.PublicAddr)
	}
	session := &fleet.Session{Client: client, Name: fmt.Sprintf("relay/%d", m.number), Zone: fmt.Sprintf("region-%d", m.region), Seed: uint64(m.number),
		Instance: k.Instance, PreviousInstance: k.PreviousInstance, FleetSize: func() int { return m.fleetSize }, Now: Clock}
	session.HandleAnswer = func(response fleet.Answer) (generations []uint64, message fleet.Reply, ok bool) {
		return m.receive(k, response)
	}
	m.state, m.acting, m.leaseEnd = k, lease.Status{Mode: Stopped}, 0
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

// kill ends the member's simulated process without leaving its session.
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

// receive applies a keeper's response, as a relay's loop does, and returns the generations that the member has and the message
// to the keepers. It returns false if the response cannot be applied or belongs to a process that was killed.
func (m *member) receive(state *fleet.Member, response fleet.Answer) (generations []uint64, message fleet.Reply, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != state { // the process was killed in the meantime
		return nil, fleet.Reply{}, false
	}
	m.update() // the lease may have expired before this response
	message, err := state.Receive(Clock(), response.RequestedAt, response.Response)
	m.update()
	return slices.Clone(state.KnownGenerations()), message, err == nil
}

// update sets by what the member acts now and reports a change of that. The caller holds mu.
func (m *member) update() {
	if m.state == nil {
		return
	}
	now := Clock()
	_, changed := m.state.Refresh(now)
	if acting := m.state.Status(); changed || m.acting.Mode == Stopped {
		at := now
		if acting.Mode == lease.Fallback && m.leaseEnd > 0 { // nothing was sent under the lease after it expired
			at = min(at, m.leaseEnd)
		}
		m.acting = acting
		m.report(Transition{At: at, Member: m.number, Mode: acting.Mode, Force: acting.Current, Next: acting.Next})
	}
	remaining := m.state.LeaseRemaining(now)
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
