package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"larchrouter/internal/estate"
	"larchrouter/internal/estate/state"
	"larchrouter/internal/fleet"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/remedy"
)

// carry takes copies of others, and keeps up with this relay's own, until the context ends. Without a holder's address it only
// keeps up the session.
func (r *Relay) runReplication(ctx context.Context, session *fleet.Session) {
	fleetConfig := r.conf.Fleet
	if fleetConfig.Listen == "" {
		session.Run(ctx)
		return
	}
	signed := make(chan error, 1)
	r.post(func() { signed <- r.kept.Sign() })
	select {
	case err := <-signed:
		if err != nil {
			slog.Error("the folder does not name this process", "err", err, "remedy", remedy.Of(err))
		}
	case <-r.quit:
		return
	}
	replica, listener, err := r.openReplica(ctx)
	if err != nil {
		slog.Error("no copies are taken", "err", err, "remedy", "free the fleet address or the folder, and restart the relay")
		session.Run(ctx)
		return
	}
	replica.Serve(listener)
	defer replica.Close()
	session.Addr, session.Folder, session.Owned = fleetConfig.Address, replica.Folder, func() string { return state.Mark(nil) }
	if session.Addr == "" {
		session.Addr = listener.Addr().String()
	}
	if c := r.replication; c != nil {
		c.replica.Store(replica)
		session.Owned = c.owner.Marked
		go c.owner.Run(ctx)
	}
	go r.sweepReplica(ctx, session.Client, replica)
	session.Run(ctx)
}

// openHolder opens the folder of copies and the fleet address, once the process before this one has left them.
func (r *Relay) openReplica(ctx context.Context) (replica *estate.Holder, listener net.Listener, err error) {
	for deadline := time.Now().Add(fleetListenTimeout); ; {
		if listener, err = net.Listen("tcp", r.conf.Fleet.Listen); err == nil {
			break
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return nil, nil, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	if replica, err = estate.OpenHolder(r.conf.State, int64(r.conf.DiskMB*replicaDiskShare*1e6)); err != nil {
		listener.Close()
		return nil, nil, err
	}
	return replica, listener, nil
}

// sweepEvery is how often copies are looked for that are on record no more.
const replicaSweepInterval = 10 * time.Second

// sweep drops copies that the keepers' log has no use for any more.
func (r *Relay) sweepReplica(ctx context.Context, client *api.Client, replica *estate.Holder) {
	for tick := time.NewTicker(replicaSweepInterval); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, replicaSweepInterval/2)
		var recorded []uint64
		err := client.Call(callCtx, http.MethodGet, api.HeldPath(r.conf.Name), nil, &recorded)
		cancel()
		if err != nil {
			continue
		}
		replica.Sweep(recorded)
	}
}

// begin notes that new messages can be copied.
func (c *replication) markReady() {
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

// readyIn is how long a relay that starts waits for holders before it says that clients may come.
const replicationReadyTimeout = 5 * time.Second

// whenReady says that clients may come, once what they hand in can be copied; not much later in any case, for what others
// hold for them is wanted, too.
func (r *Relay) reportReady() {
	if r.replication == nil {
		r.ready.Store(true)
		return
	}
	go func() {
		select {
		case <-r.replication.ready:
		case <-time.After(replicationReadyTimeout):
		case <-r.quit:
			return
		}
		r.ready.Store(true)
	}()
}

// newOwner is what keeps up with the keepers and holders for a relay that copies.
func (r *Relay) newGroupOwner() {
	c := r.replication
	transport := &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn, DialContext: dialer(r.conf.Source, time.Second).DialContext,
		MaxIdleConnsPerHost: 4}
	c.client = &http.Client{Transport: transport}
	keeperClient := &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn,
		DialContext: dialer(r.conf.Source, time.Second).DialContext, MaxIdleConnsPerHost: 1}}, Keepers: r.conf.Fleet.Keepers}
	c.owner = &estate.Owner{Name: r.conf.Name, Instance: r.kept.Instance, Adopted: c.adoptedWriter, Copies: c.conf.Copies, Client: c.client, Books: (*groupRecords)(r),
		Say: func(ctx context.Context, event state.Event) (owned []*state.Estate, err error) {
			err = keeperClient.Call(ctx, http.MethodPost, api.EstatesPath, event, &owned)
			return owned, err
		}}
}
