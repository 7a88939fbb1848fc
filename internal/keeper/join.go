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

// A keeper with an empty folder is either new or has lost its log. In the latter case it must not vote: its vote could
// elect a keeper that lacks committed entries, and those would be lost. So it first asks all other keepers. If all of
// them answer and none has any entries, they bootstrap the cluster together. If one has entries, the leader takes the
// vote of the keeper with the empty folder away; that one catches up and gets its vote back. If there is no leader, it
// waits: most keepers have lost their logs, and an operator has to choose the folder to recover from.

const (
	joinRetryInterval = 200 * time.Millisecond
	promotionMaxLag   = 64 // number of log entries by which a keeper may be behind when it gets its vote back
)

// logIsEmpty reports whether this keeper's log has no entry but the first, which only lists the keepers.
func (k *Keeper) logIsEmpty() bool {
	r := k.raft.Load()
	return r == nil || r.LastIndex() <= 1
}

// joinCluster starts raft if that has not been done, and regains the keeper's vote if it has lost it. It runs until the
// keeper is closed.
func (k *Keeper) joinCluster() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k.goroutines.Go(func() {
		select {
		case <-k.closing:
		case <-ctx.Done():
		}
		cancel()
	})
	var dialer net.Dialer
	if k.config.Source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(k.config.Source)}
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
	others := &api.Client{HTTP: &http.Client{Transport: transport}}
	for _, p := range k.config.allPeers() {
		if p.Name != k.config.Name {
			others.Keepers = append(others.Keepers, p.HTTP)
		}
	}
	lastWaitingFor := ""
	ticker := time.NewTicker(joinRetryInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		waitingFor := k.joinStep(ctx, others)
		if waitingFor != lastWaitingFor && waitingFor != "" {
			slog.Info("keeper is waiting", "for", waitingFor)
		}
		lastWaitingFor = waitingFor
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// joinStep takes the next step towards joining, and returns what the keeper is waiting for, or "" while it has its vote.
// Log entries that it has yet to receive may take the vote away, so the caller goes on calling it.
func (k *Keeper) joinStep(ctx context.Context, others *api.Client) (waitingFor string) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if r := k.raft.Load(); r != nil {
		future := r.GetConfiguration()
		if future.Error() != nil {
			return "the configuration of the cluster in its log"
		}
		selfIndex := slices.IndexFunc(future.Configuration().Servers, func(s raft.Server) bool { return string(s.ID) == k.config.Name })
		if selfIndex >= 0 && future.Configuration().Servers[selfIndex].Suffrage == raft.Voter {
			return ""
		}
		if err := others.Call(ctx, http.MethodPost, api.PromotePath, api.RejoiningKeeper{Name: k.config.Name, Applied: r.AppliedIndex()}, nil); err != nil {
			return "its vote: " + err.Error()
		}
		return "the log entry that gives it its vote"
	}
	emptyPeers, stateExists := 0, false
	for _, addr := range others.Keepers {
		var status api.Status
		if err := others.CallKeeper(ctx, addr, http.MethodGet, api.StatusPath, nil, &status); err != nil {
			continue
		}
		if status.Empty {
			emptyPeers++
		} else {
			stateExists = true
		}
	}
	k.raftStart.Lock()
	defer k.raftStart.Unlock()
	select {
	case <-k.closing:
		return ""
	default:
	}
	switch {
	case stateExists:
		if err := others.Call(ctx, http.MethodPost, api.RejoinPath, api.RejoiningKeeper{Name: k.config.Name}, nil); err != nil {
			return "a leader, since this keeper's folder is empty and other keepers have log entries: " + err.Error()
		}
		slog.Info("keeper with an empty folder has no vote until it has caught up")
	case emptyPeers < len(others.Keepers):
		return "answers of all other keepers, since this keeper's folder is empty and it cannot know whether theirs are"
	}
	if err := k.startRaft(!stateExists); err != nil {
		slog.Error("cannot start raft", "err", err)
		return "itself"
	}
	return "its vote"
}

// rejoin takes the vote of a keeper away that has lost its log.
func (k *Keeper) rejoin(body []byte) error {
	var rejoining api.RejoiningKeeper
	if err := k.decodePeerRequest(body, &rejoining); err != nil {
		return err
	}
	slog.Warn("a keeper has lost its log; it has no vote until it has caught up", "keeper", rejoining.Name)
	return k.awaitConfigurationChange(k.raft.Load().DemoteVoter(raft.ServerID(rejoining.Name), 0, applyTimeout))
}

// promote gives a keeper that has caught up its vote back.
func (k *Keeper) promote(body []byte) error {
	var rejoining api.RejoiningKeeper
	if err := k.decodePeerRequest(body, &rejoining); err != nil {
		return err
	}
	r := k.raft.Load()
	if rejoining.Applied+promotionMaxLag < r.AppliedIndex() || rejoining.Applied == 0 {
		return refuse(http.StatusConflict, "it knows %d entries of %d", rejoining.Applied, r.AppliedIndex())
	}
	for _, p := range k.config.allPeers() {
		if p.Name == rejoining.Name {
			slog.Info("a keeper has caught up and gets its vote back", "keeper", rejoining.Name)
			return k.awaitConfigurationChange(r.AddVoter(raft.ServerID(rejoining.Name), raft.ServerAddress(p.Raft), 0, applyTimeout))
		}
	}
	return nil
}

// decodePeerRequest decodes a call of another keeper, which only the leader answers.
func (k *Keeper) decodePeerRequest(body []byte, rejoining *api.RejoiningKeeper) error {
	if err := decode(body, rejoining); err != nil {
		return err
	}
	if !k.isVerifiedLeader() { // the caller may itself be what other keepers took for the leader, so that the call came back to it
		return errNotLeader
	}
	if !slices.ContainsFunc(k.config.allPeers(), func(p Peer) bool { return p.Name == rejoining.Name }) || rejoining.Name == k.config.Name {
		return refuse(http.StatusBadRequest, "%q is no other keeper", rejoining.Name)
	}
	return nil
}

// awaitConfigurationChange waits until a change of the voting keepers is committed.
func (k *Keeper) awaitConfigurationChange(future raft.IndexFuture) error {
	if err := future.Error(); err != nil {
		return errors.Join(errNotLeader, err)
	}
	return nil
}
