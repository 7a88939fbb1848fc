package estate

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/estate/state"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/remedy"
)

// Books are what whoever owns the journal does for its estates. Each call may wait until that has been done.
type Books interface {
	// Begin has an estate written from now on. Found is what holders have; nil if they have nothing. It returns the stream,
	// or nil if the estate cannot be taken up now.
	Begin(e state.Estate, found *Found) *Stream
	// Mark notes an estate's present sets of holders, before its records go to them.
	Mark(e state.Estate) bool
	// Lost has an estate be another's: nothing of it is sent, ended or told any more.
	Lost(id uint64)
	// Empty tells whether nothing is left of an inherited estate; the caller ends it then.
	Empty(id uint64) bool
	// Known are the estates that the folder tells of, from an earlier process.
	Known() []state.Estate
}

// Owner keeps up with which estates a relay owns, has them taken up, and has holders replaced that do not take copies.
type Owner struct {
	Name     string
	Instance string
	Adopted  string // the writer that this process goes on as, after a hand-over; empty for none
	Copies   int
	Client   *http.Client
	Books    Books
	// Say brings a word to the keepers, and returns what the relay owns then.
	Say func(context.Context, state.Event) ([]*state.Estate, error)

	mu      sync.Mutex
	heard   map[uint64]*state.Estate // as the keepers say; nil until they have
	streams map[uint64]*Stream
	begins  map[uint64]uint64 // epochs that are being taken up
	opened  bool
	lastAsk time.Time
	poke    chan struct{}
	done    sync.WaitGroup
}

// aloneAfter is how long a relay that starts waits for the keepers before it goes on by what its folder says.
const aloneAfter = 1500 * time.Millisecond

// askEvery bounds how often holders are replaced.
const askEvery = 500 * time.Millisecond

// Run keeps up until the context ends.
func (o *Owner) Run(ctx context.Context) {
	o.mu.Lock()
	o.init()
	poke := o.poke
	o.mu.Unlock()
	began := time.Now()
	known := o.Books.Known()
	tick := time.NewTicker(roundIn)
	defer tick.Stop()
	defer o.done.Wait()
	defer o.close()
	for ctx.Err() == nil {
		o.round(ctx)
		if len(known) > 0 && time.Since(began) > aloneAfter {
			o.mu.Lock()
			alone := o.heard == nil
			o.mu.Unlock()
			if alone { // none answers: holders can tell whether the folder's word still holds
				for i := range known {
					o.begin(ctx, &known[i], known[i].Writer)
				}
			}
			known = nil
		}
		select {
		case <-ctx.Done():
		case <-poke:
		case <-tick.C:
		}
	}
}

// init makes what the zero value lacks. The lock is held.
func (o *Owner) init() {
	if o.streams == nil {
		o.streams, o.begins, o.poke = map[uint64]*Stream{}, map[uint64]uint64{}, make(chan struct{}, 1)
	}
}

// Adopt goes on with a stream that the process before this one wrote.
func (o *Owner) Adopt(s *Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.init()
	o.streams[s.ID] = s
}

// writes tells whether this process is the writer of an estate.
func (o *Owner) writes(e *state.Estate) bool {
	return e.Writer == o.Instance || o.Adopted != "" && e.Writer == o.Adopted
}

func (o *Owner) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.streams {
		s.Close()
	}
}

// Hear takes in what the keepers say that the relay owns.
func (o *Owner) Hear(all []*state.Estate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := map[uint64]*state.Estate{}
	for _, e := range all {
		if e == nil {
			continue
		}
		if old := o.heard[e.ID]; old != nil && old.Epoch > e.Epoch {
			e = old // an answer that was overtaken
		}
		next[e.ID] = e
	}
	o.heard = next
	if o.poke != nil {
		select {
		case o.poke <- struct{}{}:
		default:
		}
	}
}

// Marked is the mark of what was heard last.
func (o *Owner) Marked() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*state.Estate
	for _, id := range slices.Sorted(maps.Keys(o.heard)) {
		all = append(all, o.heard[id])
	}
	return state.Mark(all)
}

// round does what is due.
func (o *Owner) round(ctx context.Context) {
	o.mu.Lock()
	heard, streams := maps.Clone(o.heard), maps.Clone(o.streams)
	opened := o.opened
	o.mu.Unlock()
	mine := false // there is a main estate that this process writes
	for _, e := range heard {
		mine = mine || e.Main && o.writes(e)
	}
	stale := slices.ContainsFunc(slices.Collect(maps.Values(heard)), func(e *state.Estate) bool { return !o.writes(e) })
	if heard != nil && (!mine || stale || !opened && o.Adopted == "") && o.due() {
		o.say(ctx, state.Event{Open: &state.Open{Name: o.Name, Instance: o.Instance, Copies: o.Copies}})
		return
	}
	for id, e := range heard {
		s := streams[id]
		switch {
		case !o.writes(e):
		case s == nil:
			o.begin(ctx, e, "")
		default:
			o.mind(ctx, e, s)
		}
	}
	for id := range streams {
		if e := heard[id]; heard != nil && e == nil {
			o.lose(id)
		}
	}
}

// due bounds how often the keepers are asked.
func (o *Owner) due() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.lastAsk) < askEvery {
		return false
	}
	o.lastAsk = time.Now()
	return true
}

// say brings a word to the keepers and hears their answer.
func (o *Owner) say(ctx context.Context, e state.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callIn)
	defer cancel()
	all, err := o.Say(ctx, e)
	if err != nil {
		var no *api.RefusedError
		if !errors.As(err, &no) || no.Status != http.StatusConflict {
			slog.Warn("the keepers do not take a word on estates", "err", err, "remedy", remedy.Of(err))
		} else {
			slog.Info("the keepers refuse a word on estates", "err", err)
		}
		return false
	}
	if e.Open != nil {
		o.mu.Lock()
		o.opened = true
		o.mu.Unlock()
	}
	o.Hear(all)
	return true
}
