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

	"larchrouter/internal/keeper/state"
	"larchrouter/internal/listen"
)

// The times of a keeper.
const (
	applyIn   = 2 * time.Second // for an entry to be agreed on
	endsEvery = 8               // looks for sessions that are over, in a lease
	lookEvery = 100 * time.Millisecond
)

// What a keeper cannot do.
var (
	errNotLeader = &Unable{"another keeper leads, or none", "nothing while most keepers run: the one that leads is asked next; else start those that are out"}
	errNoSession = &Unable{"the session has ended", "nothing: the relay begins another; see its log if it does not"}
)

// Unable is something that a keeper cannot do now.
type Unable struct {
	What   string
	Advice string
}

func (u *Unable) Error() string { return u.What }

// Remedy says what an operator can do.
func (u *Unable) Remedy() string { return u.Advice }

// Keeper is one that runs.
type Keeper struct {
	conf    Config
	raft    atomic.Pointer[raft.Raft] // nil while a keeper without memory finds out whether the others have any
	machine *machine
	store   store
	wire    *wire
	server  *http.Server
	http    net.Listener
	quit    chan struct{}
	done    sync.WaitGroup

	joining sync.Mutex
	mu      sync.Mutex
	leases  *leases
}

// New opens a keeper's folder and addresses, and joins the others.
func New(conf Config) (k *Keeper, err error) {
	if err := conf.Check(); err != nil {
		return nil, err
	}
	k = &Keeper{conf: conf, machine: newMachine(), quit: make(chan struct{}), leases: newLeases(time.Duration(conf.Lease), conf.Drift)}
	var undo []func() error
	defer func() {
		if err != nil {
			for _, f := range undo {
				err = errors.Join(err, f())
			}
		}
	}()
	if k.store, err = openStore(conf.Dir); err != nil {
		return nil, err
	}
	undo = append(undo, k.store.log.Close)
	var self Peer
	for _, p := range conf.peers() {
		if p.Name == conf.Name {
			self = p
		}
	}
	if k.wire, err = newWire(&conf, self); err != nil {
		return nil, err
	}
	undo = append(undo, k.wire.Close)
	if k.http, err = net.Listen("tcp", conf.HTTP); err != nil {
		return nil, fmt.Errorf("http: %w", err)
	}
	undo = append(undo, k.http.Close)
	known, err := raft.HasExistingState(k.store.log, k.store.log, k.store.snapshots)
	if err != nil {
		return nil, err
	}
	if known || len(conf.peers()) == 1 {
		if err := k.join(!known); err != nil {
			return nil, err
		}
	}
	k.server = &http.Server{Handler: k.handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	k.done.Go(func() { k.server.Serve(listen.Retrying(k.http)) })
	k.done.Go(k.arrive)
	slog.Info("keeper up", "name", conf.Name, "http", k.http.Addr(), "raft", k.wire.TCPListener.Addr(), "peers", len(conf.peers()), "known", known)
	return k, nil
}

// join has the keeper take part in the log. First says that there is none yet.
func (k *Keeper) join(first bool) error {
	rc := raftConfig(&k.conf)
	leads := make(chan bool, 16)
	rc.NotifyCh = leads
	transport := raft.NewNetworkTransportWithLogger(k.wire, 4, 5*time.Second, rc.Logger)
	r, err := raft.NewRaft(rc, k.machine, k.store.log, k.store.log, k.store.snapshots, transport)
	if err != nil {
		return err
	}
	if first {
		// One that leads already may have told it who the keepers are, in the meantime.
		if err := r.BootstrapCluster(servers(&k.conf)).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			return errors.Join(err, r.Shutdown().Error())
		}
	}
	k.raft.Store(r)
	k.done.Go(func() { k.lead(leads) })
	return nil
}

// Failed tells why the keeper cannot go on, if that is so: it has to be closed.
func (k *Keeper) Failed() <-chan error { return k.machine.failed }

// Addr is where relays and operators call.
func (k *Keeper) Addr() string { return k.http.Addr().String() }

// Close ends the keeper; its folder has what it needs to go on.
func (k *Keeper) Close() error {
	close(k.quit)
	err := k.server.Close()
	k.joining.Lock() // it joins no more, or has joined
	defer k.joining.Unlock()
	if r := k.raft.Load(); r != nil {
		err = errors.Join(err, r.Shutdown().Error())
	} else {
		err = errors.Join(err, k.wire.Close())
	}
	k.done.Wait()
	return errors.Join(err, k.store.log.Close())
}

// lead follows who leads, and ends sessions that have run out while this keeper does.
func (k *Keeper) lead(leads <-chan bool) {
	r := k.raft.Load()
	tick := time.NewTicker(min(time.Duration(k.conf.Lease)/endsEvery, lookEvery))
	gone := away{since: map[string]time.Time{}}
	defer tick.Stop()
	for {
		select {
		case <-k.quit:
			return
		case leads := <-leads:
			if !leads {
				k.mu.Lock()
				k.leases.depose()
				k.mu.Unlock()
				slog.Info("leads no more")
				continue
			}
			// All that the leader before had agreed on is in the state from here on.
			if err := r.Barrier(applyIn).Error(); err != nil {
				slog.Warn("elected, and cannot lead", "err", err)
				r.LeadershipTransfer()
				continue
			}
			k.mu.Lock()
			k.leases.elect(time.Now())
			k.mu.Unlock()
			slog.Info("leads")
		case <-tick.C:
			k.endSessions()
			k.nameHeirs(&gone, time.Now())
		}
	}
}

// endSessions records the end of those that have run out.
func (k *Keeper) endSessions() {
	var all []session
	k.machine.read(func(s *state.State) {
		for _, m := range s.Members {
			all = append(all, session{m.Name, m.Instance})
		}
	})
	for _, s := range all {
		k.mu.Lock()
		over := k.leases.end(s, time.Now())
		k.mu.Unlock()
		if !over {
			continue
		}
		// Several at a time: each waits for the log by itself.
		k.done.Go(func() {
			_, err := k.apply(state.Event{Leave: &state.Leave{Name: s.name, Instance: s.instance}})
			slog.Info("session has run out", "member", s.name, "err", err)
			k.mu.Lock()
			defer k.mu.Unlock()
			k.leases.ended(s)
		})
	}
}

// apply has an event agreed on, and tells what it led to.
func (k *Keeper) apply(e state.Event) (state.Result, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return state.Result{}, err
	}
	r := k.raft.Load()
	if r == nil {
		return state.Result{}, errNotLeader
	}
	f := r.Apply(framed(data), applyIn)
	if err := f.Error(); err != nil {
		return state.Result{}, fmt.Errorf("%w: %w", errNotLeader, err)
	}
	res := f.Response().(state.Result)
	return res, res.Err
}
