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

// Books are what whoever owns the journal does for its estates. Each call may wait until that has been done.
type Records interface {
	// Begin has an estate written from now on. Found is what holders have; nil if they have nothing. It returns the stream,
	// or nil if the estate cannot be taken up now.
	StartWriting(group state.Group, found *FoundCopy) *Stream
	// Mark notes an estate's present sets of holders, before its records go to them.
	RecordReplicas(group state.Group) bool
	// Lost has an estate be another's: nothing of it is sent, ended or told any more.
	OwnershipLost(id uint64)
	// Empty tells whether nothing is left of an inherited estate; the caller ends it then.
	IsEmpty(id uint64) bool
	// Known are the estates that the folder tells of, from an earlier process.
	StoredGroups() []state.Group
}

// Owner keeps up with which estates a relay owns, has them taken up, and has holders replaced that do not take copies.
type Owner struct {
	Name          string
	Instance      string
	AdoptedWriter string // the writer that this process goes on as, after a hand-over; empty for none
	Copies        int
	Client        *http.Client
	Records       Records
	// Say brings a word to the keepers, and returns what the relay owns then.
	SendEvent func(context.Context, state.Event) ([]*state.Group, error)

	mu          sync.Mutex
	owned       map[uint64]*state.Group // as the keepers say; nil until they have
	streams     map[uint64]*Stream
	starting    map[uint64]uint64 // epochs that are being taken up
	opened      bool
	lastRequest time.Time
	wake        chan struct{}
	background  sync.WaitGroup
}

// aloneAfter is how long a relay that starts waits for the keepers before it goes on by what its folder says.
const keeperTimeout = 1500 * time.Millisecond

// askEvery bounds how often holders are replaced.
const requestInterval = 500 * time.Millisecond

// Run keeps up until the context ends.
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
			if noAnswer { // none answers: holders can tell whether the folder's word still holds
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

// init makes what the zero value lacks. The lock is held.
func (o *Owner) init() {
	if o.streams == nil {
		o.streams, o.starting, o.wake = map[uint64]*Stream{}, map[uint64]uint64{}, make(chan struct{}, 1)
	}
}

// Adopt goes on with a stream that the process before this one wrote.
func (o *Owner) AdoptStream(stream *Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.init()
	o.streams[stream.ID] = stream
}

// writes tells whether this process is the writer of an estate.
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

// Hear takes in what the keepers say that the relay owns.
func (o *Owner) UpdateOwned(groups []*state.Group) {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := map[uint64]*state.Group{}
	for _, group := range groups {
		if group == nil {
			continue
		}
		if previous := o.owned[group.ID]; previous != nil && previous.Epoch > group.Epoch {
			group = previous // an answer that was overtaken
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

// Marked is the mark of what was heard last.
func (o *Owner) Fingerprint() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var groups []*state.Group
	for _, id := range slices.Sorted(maps.Keys(o.owned)) {
		groups = append(groups, o.owned[id])
	}
	return state.Fingerprint(groups)
}

// round does what is due.
func (o *Owner) runRound(ctx context.Context) {
	o.mu.Lock()
	owned, streams := maps.Clone(o.owned), maps.Clone(o.streams)
	opened := o.opened
	o.mu.Unlock()
	writesMain := false // there is a main estate that this process writes
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

// due bounds how often the keepers are asked.
func (o *Owner) mayRequest() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.lastRequest) < requestInterval {
		return false
	}
	o.lastRequest = time.Now()
	return true
}

// say brings a word to the keepers and hears their answer.
func (o *Owner) sendEvent(ctx context.Context, event state.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	groups, err := o.SendEvent(ctx, event)
	if err != nil {
		var refused *api.Refused
		if !errors.As(err, &refused) || refused.Status != http.StatusConflict {
			slog.Warn("the keepers do not take a word on estates", "err", err, "remedy", remedy.Of(err))
		} else {
			slog.Info("the keepers refuse a word on estates", "err", err)
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
