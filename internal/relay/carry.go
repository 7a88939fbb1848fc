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
func (r *Relay) carry(ctx context.Context, s *fleet.Session) {
	conf := r.conf.Fleet
	if conf.Listen == "" {
		s.Run(ctx)
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
	h, l, err := r.openHolder(ctx)
	if err != nil {
		slog.Error("no copies are taken", "err", err, "remedy", "free the fleet address or the folder, and restart the relay")
		s.Run(ctx)
		return
	}
	h.Serve(l)
	defer h.Close()
	s.Addr, s.Folder, s.Owned = conf.Address, h.Folder, func() string { return state.Mark(nil) }
	if s.Addr == "" {
		s.Addr = l.Addr().String()
	}
	if c := r.copies; c != nil {
		c.holder.Store(h)
		s.Owned = c.owner.Marked
		go c.owner.Run(ctx)
	}
	go r.sweep(ctx, s.Client, h)
	s.Run(ctx)
}

// openHolder opens the folder of copies and the fleet address, once the process before this one has left them.
func (r *Relay) openHolder(ctx context.Context) (h *estate.Holder, l net.Listener, err error) {
	for end := time.Now().Add(bindIn); ; {
		if l, err = net.Listen("tcp", r.conf.Fleet.Listen); err == nil {
			break
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return nil, nil, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	if h, err = estate.OpenHolder(r.conf.State, int64(r.conf.DiskMB*copiesPart*1e6)); err != nil {
		l.Close()
		return nil, nil, err
	}
	return h, l, nil
}

// sweepEvery is how often copies are looked for that are on record no more.
const sweepEvery = 10 * time.Second

// sweep drops copies that the keepers' log has no use for any more.
func (r *Relay) sweep(ctx context.Context, client *api.Client, h *estate.Holder) {
	for tick := time.NewTicker(sweepEvery); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		cctx, cancel := context.WithTimeout(ctx, sweepEvery/2)
		var held []uint64
		err := client.Call(cctx, http.MethodGet, api.ReplicaGroupsPath(r.conf.Name), nil, &held)
		cancel()
		if err != nil {
			continue
		}
		h.Sweep(held)
	}
}

// begin notes that new messages can be copied.
func (c *copying) begin() {
	select {
	case <-c.begun:
	default:
		close(c.begun)
	}
}

// readyIn is how long a relay that starts waits for holders before it says that clients may come.
const readyIn = 5 * time.Second

// whenReady says that clients may come, once what they hand in can be copied; not much later in any case, for what others
// hold for them is wanted, too.
func (r *Relay) whenReady() {
	if r.copies == nil {
		r.ready.Store(true)
		return
	}
	go func() {
		select {
		case <-r.copies.begun:
		case <-time.After(readyIn):
		case <-r.quit:
			return
		}
		r.ready.Store(true)
	}()
}

// newOwner is what keeps up with the keepers and holders for a relay that copies.
func (r *Relay) newOwner() {
	c := r.copies
	conns := &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn, DialContext: dialer(r.conf.Source, time.Second).DialContext,
		MaxIdleConnsPerHost: 4}
	c.client = &http.Client{Transport: conns}
	keepers := &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn,
		DialContext: dialer(r.conf.Source, time.Second).DialContext, MaxIdleConnsPerHost: 1}}, Keepers: r.conf.Fleet.Keepers}
	c.owner = &estate.Owner{Name: r.conf.Name, Instance: r.kept.Instance, Adopted: c.adopted, Copies: c.conf.Copies, Client: c.client, Books: (*ownBooks)(r),
		Say: func(ctx context.Context, e state.Event) (all []*state.Estate, err error) {
			err = keepers.Call(ctx, http.MethodPost, api.GroupsPath, e, &all)
			return all, err
		}}
}
