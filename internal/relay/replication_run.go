package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"larchrouter/internal/clientconn"
	"larchrouter/internal/fleet"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/remedy"
	"larchrouter/internal/replication"
	"larchrouter/internal/replication/state"
)

// runReplication serves a replica for other relays, and keeps this relay's own replication groups up to date, until
// the context ends. Without a fleet address it only keeps up the session with the keepers.
func (r *Relay) runReplication(ctx context.Context, session *fleet.Session) {
	fleetConfig := r.config.Fleet
	if fleetConfig.Listen == "" {
		session.Run(ctx)
		return
	}
	signed := make(chan error, 1)
	r.post(func() { signed <- r.fleetConfig.RecordInstance() })
	select {
	case err := <-signed:
		if err != nil {
			slog.Error("cannot record this process in the state directory", "err", err, "remedy", remedy.Of(err))
		}
	case <-r.quit:
		return
	}
	replica, listener, err := r.openReplica(ctx)
	if err != nil {
		slog.Error("no replica is served for other relays", "err", err, "remedy", "free the fleet address or the folder, and restart the relay")
		session.Run(ctx)
		return
	}
	replica.LimitBodies(r.config.memoryPart(replicaMemoryDivisor))
	replica.Serve(listener)
	defer replica.Close()
	session.Addr, session.Folder, session.Owned = fleetConfig.Address, replica.Folder, func() string { return state.Fingerprint(nil) }
	if session.Addr == "" {
		session.Addr = listener.Addr().String()
	}
	if rep := r.replication; rep != nil {
		rep.replica.Store(replica)
		session.Owned = rep.owner.Fingerprint
		go rep.owner.Run(ctx)
	}
	go r.sweepReplica(ctx, session.Client, replica)
	session.Run(ctx)
}

// openReplica opens the directory of copies and the fleet address, once the previous process has closed them.
func (r *Relay) openReplica(ctx context.Context) (replica *replication.ReplicaServer, listener net.Listener, err error) {
	for deadline := time.Now().Add(fleetListenTimeout); ; {
		if listener, err = net.Listen("tcp", r.config.Fleet.Listen); err == nil {
			break
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return nil, nil, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	if replica, err = replication.OpenReplicaServer(r.config.StateDir, int64(r.config.DiskMB*replicaDiskShare*1e6)); err != nil {
		listener.Close()
		return nil, nil, err
	}
	return replica, listener, nil
}

// replicaSweepInterval is how often the replica looks for copies that are no longer on record with the keepers.
const replicaSweepInterval = 10 * time.Second

// sweepReplica drops copies that the keepers no longer list.
func (r *Relay) sweepReplica(ctx context.Context, client *api.Client, replica *replication.ReplicaServer) {
	for tick := time.NewTicker(replicaSweepInterval); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, replicaSweepInterval/2)
		var recorded []uint64
		err := client.Call(callCtx, http.MethodGet, api.ReplicaGroupsPath(r.config.Name), nil, &recorded)
		cancel()
		if err != nil {
			continue
		}
		replica.Sweep(recorded)
	}
}

// markReady records that new messages can be replicated.
func (rep *replicationState) markReady() {
	select {
	case <-rep.ready:
	default:
		close(rep.ready)
	}
}

// replicationReadyTimeout bounds how long a starting relay waits for replicas before it reports that clients may
// connect.
const replicationReadyTimeout = 5 * time.Second

// reportReady sets ready once new messages can be replicated. It waits no longer than replicationReadyTimeout,
// because the messages that other relays already store for clients are needed as well.
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

// newGroupOwner creates the owner that keeps a replicating relay up to date with the keepers and replicas.
func (r *Relay) newGroupOwner() {
	rep := r.replication
	transport := clientconn.NewTransport(&http.Transport{DisableCompression: true, IdleConnTimeout: idleConnTimeout, DialContext: newDialer(r.config.SourceIP, time.Second).DialContext,
		MaxIdleConnsPerHost: 4})
	rep.client = &http.Client{Transport: transport}
	keeperClient := r.newGroupKeeperClient()
	rep.owner = &replication.Owner{Name: r.config.Name, Instance: r.fleetConfig.Instance, AdoptedWriter: rep.adoptedWriter, Copies: rep.config.Copies, Client: rep.client, Records: (*groupRecords)(r),
		SendEvent: func(ctx context.Context, event state.Event) (owned []*state.Group, err error) {
			err = keeperClient.Call(ctx, http.MethodPost, api.GroupsPath, event, &owned)
			return owned, err
		}}
}

// newGroupKeeperClient returns the client for calls to the keepers about replication groups.
func (r *Relay) newGroupKeeperClient() *api.Client {
	transport := clientconn.NewTransport(&http.Transport{DisableCompression: true, IdleConnTimeout: idleConnTimeout,
		DialContext: newDialer(r.config.SourceIP, time.Second).DialContext, MaxIdleConnsPerHost: 1})
	return &api.Client{HTTP: &http.Client{Transport: transport}, Keepers: r.config.Fleet.Keepers}
}
