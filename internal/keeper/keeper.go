package keeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"larchrouter/internal/framing"
	"larchrouter/internal/keeper/state"
	"larchrouter/internal/listen"
)

// Timeouts and intervals.
const (
	applyTimeout          = 2 * time.Second        // limit for committing a log entry
	sessionChecksPerLease = 8                      // number of checks for expired sessions in the time of one lease
	maxCheckInterval      = 100 * time.Millisecond // longest interval between these checks
)

// Errors of calls that this keeper cannot serve now.
var (
	errNotLeader = &UnavailableError{"another keeper leads, or none", "nothing while most keepers run: the one that leads is asked next; else start those that are out"}
	errNoSession = &UnavailableError{"the session has ended", "nothing: the relay begins another; see its log if it does not"}
)

// UnavailableError is the reason why a keeper cannot serve a call or go on now, with advice to the operator.
type UnavailableError struct {
	What   string
	Advice string
}

func (e *UnavailableError) Error() string { return e.What }

// Remedy returns advice to the operator.
func (e *UnavailableError) Remedy() string { return e.Advice }

// Keeper is a running keeper.
type Keeper struct {
	config       Config
	raft         atomic.Pointer[raft.Raft] // nil while a keeper with an empty folder finds out whether the others have log entries
	stateMachine *stateMachine
	store        store
	network      *raftNetwork
	server       *http.Server
	httpListener net.Listener
	closing      chan struct{}
	goroutines   sync.WaitGroup

	raftStart sync.Mutex // held while raft is started or the keeper closes
	mu        sync.Mutex // guards leases
	leases    *leaseTable
}

// New opens a keeper's folder, listens at its addresses, and starts to join the other keepers in the background.
func New(config Config) (keeper *Keeper, err error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	keeper = &Keeper{config: config, stateMachine: newStateMachine(), closing: make(chan struct{}), leases: newLeaseTable(time.Duration(config.Lease), config.Drift)}
	var cleanups []func() error
	defer func() {
		if err != nil {
			for _, cleanup := range cleanups {
				err = errors.Join(err, cleanup())
			}
		}
	}()
	if keeper.store, err = openStore(config.Dir); err != nil {
		return nil, err
	}
	cleanups = append(cleanups, keeper.store.log.Close)
	var self Peer
	for _, p := range config.allPeers() {
		if p.Name == config.Name {
			self = p
		}
	}
	if keeper.network, err = newRaftNetwork(&config, self); err != nil {
		return nil, err
	}
	cleanups = append(cleanups, keeper.network.Close)
	if keeper.httpListener, err = net.Listen("tcp", config.HTTP); err != nil {
		return nil, fmt.Errorf("http: %w", err)
	}
	cleanups = append(cleanups, keeper.httpListener.Close)
	hasState, err := raft.HasExistingState(keeper.store.log, keeper.store.log, keeper.store.snapshots)
	if err != nil {
		return nil, err
	}
	if hasState || len(config.allPeers()) == 1 {
		if err := keeper.startRaft(!hasState); err != nil {
			return nil, err
		}
	}
	keeper.server = &http.Server{Handler: keeper.handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	framing.Guard(keeper.server, framing.CheckVersion, nil)
	keeper.goroutines.Go(func() { keeper.server.Serve(listen.Retrying(keeper.httpListener)) })
	keeper.goroutines.Go(keeper.joinCluster)
	slog.Info("keeper started", "name", config.Name, "http", keeper.httpListener.Addr(), "raft", keeper.network.TCPListener.Addr(), "peers", len(config.allPeers()), "known", hasState)
	return keeper, nil
}

// startRaft starts raft on the keeper's folder. bootstrap is set if no keeper has a log yet.
func (k *Keeper) startRaft(bootstrap bool) error {
	raftConf := raftConfig(&k.config)
	leadership := make(chan bool, 16)
	raftConf.NotifyCh = leadership
	transport := raft.NewNetworkTransportWithLogger(k.network, 4, 5*time.Second, raftConf.Logger)
	node, err := raft.NewRaft(raftConf, k.stateMachine, k.store.log, k.store.log, k.store.snapshots, transport)
	if err != nil {
		return err
	}
	if bootstrap {
		// A leader may have sent it the list of keepers in the meantime.
		if err := node.BootstrapCluster(raftServers(&k.config)).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			return errors.Join(err, node.Shutdown().Error())
		}
	}
	k.raft.Store(node)
	k.goroutines.Go(func() { k.followLeadership(leadership) })
	return nil
}

// Failed returns a channel that receives an error when the keeper cannot go on and has to be closed.
func (k *Keeper) Failed() <-chan error { return k.stateMachine.failed }

// Addr returns the address for calls of relays and operators.
func (k *Keeper) Addr() string { return k.httpListener.Addr().String() }

// Close stops the keeper. Another can be started on its folder afterwards.
func (k *Keeper) Close() error {
	close(k.closing)
	err := k.server.Close()
	k.raftStart.Lock() // from here on raft has been started, or will not be
	defer k.raftStart.Unlock()
	if r := k.raft.Load(); r != nil {
		err = errors.Join(err, r.Shutdown().Error())
	} else {
		err = errors.Join(err, k.network.Close())
	}
	k.goroutines.Wait()
	return errors.Join(err, k.store.log.Close())
}

// followLeadership follows this keeper's election and loss of leadership. While it is the leader, it ends expired
// sessions and assigns successors to lost owners.
func (k *Keeper) followLeadership(leadership <-chan bool) {
	node := k.raft.Load()
	ticker := time.NewTicker(min(time.Duration(k.config.Lease)/sessionChecksPerLease, maxCheckInterval))
	absent := absentOwners{since: map[string]time.Time{}}
	defer ticker.Stop()
	for {
		select {
		case <-k.closing:
			return
		case elected := <-leadership:
			if !elected {
				k.mu.Lock()
				k.leases.depose()
				k.mu.Unlock()
				slog.Info("lost the leadership")
				continue
			}
			// After the barrier, the state includes all entries that earlier leaders committed.
			if err := node.Barrier(applyTimeout).Error(); err != nil {
				slog.Warn("elected, but cannot apply the log in time; transferring the leadership", "err", err)
				node.LeadershipTransfer()
				continue
			}
			k.mu.Lock()
			k.leases.elect(time.Now())
			k.mu.Unlock()
			slog.Info("leads")
		case <-ticker.C:
			k.endExpiredSessions()
			k.assignSuccessors(&absent, time.Now())
		}
	}
}

// endExpiredSessions commits the end of sessions that have expired.
func (k *Keeper) endExpiredSessions() {
	var sessions []sessionKey
	k.stateMachine.read(func(current *state.State) {
		for _, m := range current.Members {
			sessions = append(sessions, sessionKey{m.Name, m.Instance})
		}
	})
	for _, key := range sessions {
		k.mu.Lock()
		expired := k.leases.expire(key, time.Now())
		k.mu.Unlock()
		if !expired {
			continue
		}
		// Concurrently, since each waits for its log entry to be committed.
		k.goroutines.Go(func() {
			_, err := k.apply(state.Event{Leave: &state.Leave{Name: key.name, Instance: key.instance}})
			slog.Info("session has expired", "member", key.name, "err", err)
			k.mu.Lock()
			defer k.mu.Unlock()
			k.leases.remove(key)
		})
	}
}

// apply commits an event, applies it and returns its result.
func (k *Keeper) apply(event state.Event) (state.Result, error) {
	data, err := json.Marshal(event)
	if err != nil {
		return state.Result{}, err
	}
	node := k.raft.Load()
	if node == nil {
		return state.Result{}, errNotLeader
	}
	future := node.Apply(addChecksum(data), applyTimeout)
	if err := future.Error(); err != nil {
		return state.Result{}, fmt.Errorf("%w: %w", errNotLeader, err)
	}
	result := future.Response().(state.Result)
	return result, result.Err
}
