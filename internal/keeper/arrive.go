package keeper

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"larchrouter/internal/keeper/api"
)

// A keeper whose folder is empty may be there for the first time, or may have lost its memory. In the latter case it
// must not vote: it could help one that has not heard of what was agreed on to lead, and that would be lost. So it
// first asks all others. If none has ever heard of anything, they begin together. Else the one that leads takes its
// vote away, it learns all, and gets its vote back. If none leads it waits: most keepers' memory is gone, and an
// operator has to say what to go on from.

const (
	arriveEvery = 200 * time.Millisecond
	nearly      = 64 // entries by which one that gets its vote back may be behind
)

// fresh tells whether this keeper has never heard of anything that was agreed on. The first entry of a log only says who
// the keepers are.
func (k *Keeper) fresh() bool {
	r := k.raft.Load()
	return r == nil || r.LastIndex() <= 1
}

// arrive has a keeper take part, and get its vote back if it has lost it.
func (k *Keeper) arrive() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k.done.Go(func() {
		select {
		case <-k.quit:
		case <-ctx.Done():
		}
		cancel()
	})
	var d net.Dialer
	if k.conf.Source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(k.conf.Source)}
	}
	conns := &http.Transport{DisableKeepAlives: true, DialContext: d.DialContext}
	others := &api.Client{HTTP: &http.Client{Transport: conns}}
	for _, p := range k.conf.peers() {
		if p.Name != k.conf.Name {
			others.Keepers = append(others.Keepers, p.HTTP)
		}
	}
	last := ""
	tick := time.NewTicker(arriveEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		waits := k.arriving(ctx, others)
		if waits != last && waits != "" {
			slog.Info("keeper waits", "for", waits)
		}
		last = waits
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// arriving takes the next step, and tells what is waited for; nothing while the keeper has its vote. That may yet be
// taken away by an entry of the log that it has still to hear of, so it goes on looking.
func (k *Keeper) arriving(ctx context.Context, others *api.Client) (waits string) {
	ctx, cancel := context.WithTimeout(ctx, applyIn)
	defer cancel()
	if r := k.raft.Load(); r != nil {
		f := r.GetConfiguration()
		if f.Error() != nil {
			return "the log"
		}
		self := slices.IndexFunc(f.Configuration().Servers, func(s raft.Server) bool { return string(s.ID) == k.conf.Name })
		if self >= 0 && f.Configuration().Servers[self].Suffrage == raft.Voter {
			return ""
		}
		if err := others.Call(ctx, http.MethodPost, api.PromotePath, api.Keeper{Name: k.conf.Name, Applied: r.AppliedIndex()}, nil); err != nil {
			return "its vote: " + err.Error()
		}
		return "the word of its vote"
	}
	fresh, known := 0, false
	for _, addr := range others.Keepers {
		var st api.Status
		if err := others.Ask(ctx, addr, http.MethodGet, api.StatusPath, nil, &st); err != nil {
			continue
		}
		if st.Fresh {
			fresh++
		} else {
			known = true
		}
	}
	k.joining.Lock()
	defer k.joining.Unlock()
	select {
	case <-k.quit:
		return ""
	default:
	}
	switch {
	case known:
		if err := others.Call(ctx, http.MethodPost, api.RejoinPath, api.Keeper{Name: k.conf.Name}, nil); err != nil {
			return "a keeper that leads, for this one's folder is empty and others know of what was agreed on: " + err.Error()
		}
		slog.Info("has no vote until it knows all again")
	case fresh < len(others.Keepers):
		return "all others: this one's folder is empty, and it cannot know whether theirs are"
	}
	if err := k.join(!known); err != nil {
		slog.Error("cannot take part", "err", err)
		return "itself"
	}
	return "its vote"
}

// rejoin takes the vote of a keeper away that has lost its memory.
func (k *Keeper) rejoin(body []byte) error {
	var c api.Keeper
	if err := k.keeperCall(body, &c); err != nil {
		return err
	}
	slog.Warn("a keeper has lost its memory, and has no vote until it knows all again", "keeper", c.Name)
	return k.voted(k.raft.Load().DemoteVoter(raft.ServerID(c.Name), 0, applyIn))
}

// promote gives a keeper its vote that knows all again.
func (k *Keeper) promote(body []byte) error {
	var c api.Keeper
	if err := k.keeperCall(body, &c); err != nil {
		return err
	}
	r := k.raft.Load()
	if c.Applied+nearly < r.AppliedIndex() || c.Applied == 0 {
		return refuse(http.StatusConflict, "it knows %d entries of %d", c.Applied, r.AppliedIndex())
	}
	for _, p := range k.conf.peers() {
		if p.Name == c.Name {
			slog.Info("a keeper has its vote", "keeper", c.Name)
			return k.voted(r.AddVoter(raft.ServerID(c.Name), raft.ServerAddress(p.Raft), 0, applyIn))
		}
	}
	return nil
}

// keeperCall reads a call of another keeper, which only the one that leads answers.
func (k *Keeper) keeperCall(body []byte, c *api.Keeper) error {
	if err := decode(body, c); err != nil {
		return err
	}
	if !k.verified() { // others may have held the one that calls to lead, and named it to itself
		return errNotLeader
	}
	if !slices.ContainsFunc(k.conf.peers(), func(p Peer) bool { return p.Name == c.Name }) || c.Name == k.conf.Name {
		return refuse(http.StatusBadRequest, "%q is no other keeper", c.Name)
	}
	return nil
}

// voted waits for a change of votes.
func (k *Keeper) voted(f raft.IndexFuture) error {
	if err := f.Error(); err != nil {
		return errors.Join(errNotLeader, err)
	}
	return nil
}
