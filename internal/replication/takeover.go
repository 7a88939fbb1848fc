package replication

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"larchrouter/internal/replication/state"
)

// startGroup finds a group's newest copy and starts to write the group, in a goroutine of its own because replicas may take
// long to answer. predecessor names the writer to take over from in the same epoch, empty for none.
func (o *Owner) startGroup(ctx context.Context, group *state.Group, predecessor string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.starting[group.ID] >= group.Epoch && o.starting[group.ID] != 0 || o.streams[group.ID] != nil {
		return
	}
	o.starting[group.ID] = group.Epoch
	started := *group
	o.background.Go(func() {
		findCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		found, err := FindNewestCopy(findCtx, o.Client, PromiseRequest{Group: started.ID, Epoch: started.Epoch, Writer: o.Instance, Predecessor: predecessor}, started.ReplicaSets())
		var fenced *state.FencedError
		if errors.As(err, &fenced) {
			slog.Warn("another process writes the replication group", "estate", started.ID, "epoch", fenced.Epoch, "remedy", fenced.Remedy())
			o.giveUp(started.ID)
			return
		}
		if err != nil {
			return
		}
		stream := o.Records.StartWriting(started, found)
		o.mu.Lock()
		defer o.mu.Unlock()
		if stream == nil {
			time.AfterFunc(requestInterval, func() { // for lack of space, for example: it is tried again
				o.mu.Lock()
				defer o.mu.Unlock()
				delete(o.starting, started.ID)
			})
			return
		}
		if ctx.Err() != nil {
			stream.Close()
			return
		}
		o.streams[started.ID] = stream
		stream.SetReplicas(started.Epoch, started.Copies, started.Replicas)
	})
}

// maintain keeps a stream's replicas equal to those that the keepers have, and tells the keepers when the replica set is
// complete, when a group that was taken over is empty, or when replicas are to be replaced.
func (o *Owner) maintain(ctx context.Context, group *state.Group, stream *Stream) {
	status := stream.Status()
	if group.Epoch > status.Epoch {
		if o.Records.RecordReplicas(*group) {
			slog.Info("the replication group has a new epoch", "estate", group.ID, "epoch", group.Epoch, "holders", group.Replicas, "sets_before", len(group.EarlierSets))
			stream.SetReplicas(group.Epoch, group.Copies, group.Replicas)
		}
		return
	}
	current := state.GroupEpoch{ID: group.ID, Epoch: group.Epoch, Instance: group.Writer}
	switch {
	case status.SetComplete && len(group.EarlierSets) > 0 && status.Epoch == group.Epoch:
		o.sendEvent(ctx, state.Event{SetComplete: &current})
	case !group.Main && o.Records.IsEmpty(group.ID):
		if o.sendEvent(ctx, state.Event{Close: &current}) {
			stream.Close()
			DropCopies(ctx, o.Client, PromiseRequest{Group: group.ID, Epoch: group.Epoch, Writer: group.Writer}, group.ReplicaSets())
			o.giveUp(group.ID)
		}
	case (len(status.ToReplace) > 0 || status.Replicas <= group.Copies) && o.mayRequest():
		slog.Info("asking the keepers for other replicas", "estate", group.ID, "epoch", group.Epoch, "gone", status.ToReplace, "holders", status.Replicas)
		o.sendEvent(ctx, state.Event{Replace: &state.Replace{GroupEpoch: current, Failed: status.ToReplace}})
	}
}

// Fence stops writing a group because another process writes it.
func (o *Owner) Fence(id uint64) {
	o.mu.Lock()
	delete(o.owned, id)
	o.mu.Unlock()
	o.giveUp(id)
}

// giveUp closes a group's stream and reports the loss to Records.
func (o *Owner) giveUp(id uint64) {
	o.mu.Lock()
	stream := o.streams[id]
	delete(o.streams, id)
	delete(o.starting, id)
	o.mu.Unlock()
	if stream != nil {
		stream.Close()
	}
	o.Records.OwnershipLost(id)
}
