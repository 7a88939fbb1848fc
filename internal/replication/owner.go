package replication

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/remedy"
	"larchrouter/internal/replication/state"
)

// Records is what the owner of the journal does for its replication groups. Each call may block until it has been done.
type Records interface {
	// StartWriting makes this process the group's writer. found is the newest copy at the replicas, nil if they have none.
	// It returns the group's stream, or nil if the group cannot be taken over now.
	StartWriting(group state.Group, found *FoundCopy) *Stream
	// RecordReplicas stores the group's current replica sets before its records are sent to them, and reports success.
	RecordReplicas(group state.Group) bool
	// OwnershipLost says that another process writes the group: no message of it is sent, ended or reported any more.
	OwnershipLost(id uint64)
	// IsEmpty reports whether a group that was taken over has no pending messages left; the caller closes it then.
	IsEmpty(id uint64) bool
	// StoredGroups returns the groups that an earlier process stored in the folder.
	StoredGroups() []state.Group
}

// Owner follows which replication groups a relay owns according to the keepers, starts to write them, and asks the keepers
// to replace replicas that do not accept copies. Its methods are safe for concurrent use.
type Owner struct {
	Name          string // name of the relay
	Instance      string // name of this process
	AdoptedWriter string // the writer name that this process continues after a hand-over; empty for none
	Copies        int    // number of replicas that must have a record for it to be committed
	Client        *http.Client
	Records       Records
	// SendEvent sends an event to the keepers, and returns the groups that the relay owns after it.
	SendEvent func(context.Context, state.Event) ([]*state.Group, error)

	mu          sync.Mutex
	owned       map[uint64]*state.Group // by id, as the keepers reported them; nil until they have
	streams     map[uint64]*Stream
	starting    map[uint64]uint64 // by group id: the epoch that is being started
	opened      bool
	lastRequest time.Time
	wake        chan struct{}
	background  sync.WaitGroup
}

// keeperTimeout is how long a starting relay waits for the keepers before it resumes the groups that its folder names.
const keeperTimeout = 1500 * time.Millisecond

// requestInterval is the least time between two requests to the keepers to open groups or to replace replicas.
const requestInterval = 500 * time.Millisecond

// Run maintains the owned groups until the context ends, then closes their streams.
func (o *Owner) Run(ctx context.Context) {
	o.mu.Lock()
	o.init()
	wake := o.wake
	o.mu.Unlock()
	startedAt := time.Now()
	storedGroups := o.Records.StoredGroups()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	defer o.background.Wait()
	defer o.close()
	for ctx.Err() == nil {
		o.runRound(ctx)
		if len(storedGroups) > 0 && time.Since(startedAt) > keeperTimeout {
			o.mu.Lock()
			noAnswer := o.owned == nil
			o.mu.Unlock()
			if noAnswer { // No keeper answers: the replicas' promises show whether the folder's information is still valid.
				for i := range storedGroups {
					o.startGroup(ctx, &storedGroups[i], storedGroups[i].Writer)
				}
			}
			storedGroups = nil
		}
		select {
		case <-ctx.Done():
		case <-wake:
		case <-ticker.C:
		}
	}
}

// init makes the maps and channels that the zero value lacks. The caller holds the lock.
func (o *Owner) init() {
	if o.streams == nil {
		o.streams, o.starting, o.wake = map[uint64]*Stream{}, map[uint64]uint64{}, make(chan struct{}, 1)
	}
}

// AdoptStream continues a stream that the previous process of this relay wrote.
func (o *Owner) AdoptStream(stream *Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.init()
	o.streams[stream.ID] = stream
}

// isWriter reports whether this process is the writer of a group.
func (o *Owner) isWriter(group *state.Group) bool {
	return group.Writer == o.Instance || o.AdoptedWriter != "" && group.Writer == o.AdoptedWriter
}

func (o *Owner) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.streams {
		s.Close()
	}
}

// UpdateOwned sets the groups that the relay owns according to the keepers.
func (o *Owner) UpdateOwned(groups []*state.Group) {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := map[uint64]*state.Group{}
	for _, group := range groups {
		if group == nil {
			continue
		}
		if previous := o.owned[group.ID]; previous != nil && previous.Epoch > group.Epoch {
			group = previous // a newer answer arrived before this one
		}
		owned[group.ID] = group
	}
	o.owned = owned
	if o.wake != nil {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// Fingerprint returns the fingerprint of the owned groups that the keepers reported last; see state.Fingerprint.
func (o *Owner) Fingerprint() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var groups []*state.Group
	for _, id := range slices.Sorted(maps.Keys(o.owned)) {
		groups = append(groups, o.owned[id])
	}
	return state.Fingerprint(groups)
}

// runRound starts, maintains or gives up each group according to the keepers' last report.
func (o *Owner) runRound(ctx context.Context) {
	o.mu.Lock()
	owned, streams := maps.Clone(o.owned), maps.Clone(o.streams)
	opened := o.opened
	o.mu.Unlock()
	writesMain := false // there is a main group that this process writes
	for _, group := range owned {
		writesMain = writesMain || group.Main && o.isWriter(group)
	}
	otherWriter := slices.ContainsFunc(slices.Collect(maps.Values(owned)), func(group *state.Group) bool { return !o.isWriter(group) })
	if owned != nil && (!writesMain || otherWriter || !opened && o.AdoptedWriter == "") && o.mayRequest() {
		o.sendEvent(ctx, state.Event{Open: &state.Open{Name: o.Name, Instance: o.Instance, Copies: o.Copies}})
		return
	}
	for id, group := range owned {
		stream := streams[id]
		switch {
		case !o.isWriter(group):
		case stream == nil:
			o.startGroup(ctx, group, "")
		default:
			o.maintain(ctx, group, stream)
		}
	}
	for id := range streams {
		if group := owned[id]; owned != nil && group == nil {
			o.giveUp(id)
		}
	}
}

// mayRequest reports whether requestInterval has passed since the last request, and if so starts the next interval.
func (o *Owner) mayRequest() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.lastRequest) < requestInterval {
		return false
	}
	o.lastRequest = time.Now()
	return true
}

// sendEvent sends an event to the keepers, applies their answer, and reports success.
func (o *Owner) sendEvent(ctx context.Context, event state.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	groups, err := o.SendEvent(ctx, event)
	if err != nil {
		var refused *api.RefusedError
		if !errors.As(err, &refused) || refused.Status != http.StatusConflict {
			slog.Warn("the keepers did not accept an event on a replication group", "err", err, "remedy", remedy.Of(err))
		} else {
			slog.Info("the keepers refused an event on a replication group", "err", err)
		}
		return false
	}
	if event.Open != nil {
		o.mu.Lock()
		o.opened = true
		o.mu.Unlock()
	}
	o.UpdateOwned(groups)
	return true
}
