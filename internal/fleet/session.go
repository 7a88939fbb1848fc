package fleet

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/keeper/api"
)

// Heard is an answer of the keepers, for the loop.
type Heard struct {
	Asked    time.Duration // when the call went out, by the relay's clock
	Standing api.SessionResponse
}

// Session keeps up a relay's session with the keepers. It shares nothing with the loop: what it hears it hands over,
// and what the loop has to say it is told.
type Session struct {
	Client  *api.Client
	Name    string
	Zone    string
	Version string
	Seed    uint64
	Fleet   func() int           // relays
	Now     func() time.Duration // the relay's clock
	// Hear hands an answer to the loop, and returns once that has taken it in.
	Hear func(Heard) (have []uint64, w Word, ok bool)

	Instance, Before string // as Kept has them
	// Addr and Folder are where the relay takes copies of estates, and Owned marks the list of those that it owns as it knows
	// it; empty and nil for a relay that takes none.
	Addr, Folder string
	Owned        func() string

	mu    sync.Mutex
	word  Word          // that has yet to be told; a newer one takes its place
	told  chan struct{} // there is one
	lease time.Duration // as last told
}

// The times of a session. Pauses are by chance and longer in a larger fleet, so that a mass restart, or keepers that
// come back, meet no crowd.
const (
	callIn     = 5 * time.Second // beyond what a call may wait
	firstPause = 50 * time.Millisecond
	firstLease = 4 * time.Second // assumed until it is told
)

// pause is the time before a call is made again after one that failed, so many in a row.
func pause(r *rand.Rand, failed, fleet int, lease time.Duration) time.Duration {
	mean := firstPause << min(failed, 10)
	if share := 2 * firstPause * time.Duration(fleet); mean < share {
		mean = share // all relays together ask no more often than ten times a second
	}
	return time.Duration((0.5 + r.Float64()) * float64(min(mean, lease/4)))
}

// Run keeps the session up until the context ends. It does not say goodbye: whether another process goes on under
// the same name, it cannot know.
func (s *Session) Run(ctx context.Context) {
	s.told, s.lease = make(chan struct{}, 1), firstLease
	s.Client.StartAt(int(s.Seed % 1024))
	var both sync.WaitGroup
	defer both.Wait()
	both.Go(func() { s.tell(ctx) })
	r := rand.New(rand.NewPCG(s.Seed, 7))
	rest := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	var turn uint64
	var have []uint64
	rest(time.Duration(r.Float64() * float64(min(firstPause*time.Duration(s.Fleet()), s.lease/2))))
	for failed := 0; ctx.Err() == nil; {
		wait := s.lease / 4
		call := api.Session{Name: s.Name, Instance: s.Instance, Predecessor: s.Before, Zone: s.Zone, Version: s.Version, Revision: turn,
			WaitMS: time.Duration((0.75 + r.Float64()/2) * float64(wait)).Milliseconds(), KnownGenerations: have}
		if s.Owned != nil {
			call.Addr, call.Folder, call.GroupsMark = s.Addr, s.Folder, s.Owned()
		}
		cctx, cancel := context.WithTimeout(ctx, min(2*wait, wait+callIn))
		asked := s.Now()
		var standing api.SessionResponse
		err := s.Client.Call(cctx, http.MethodPost, api.SessionPath, call, &standing)
		cancel()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			var no *api.RefusedError
			if errors.As(err, &no) && no.Status == http.StatusGone {
				turn = 0 // it begins anew, and is told all again
			}
			slog.Warn("keepers do not answer", "err", err, "in_a_row", failed+1)
			rest(pause(r, failed, s.Fleet(), s.lease))
			failed++
			continue
		}
		failed = 0
		if d := time.Duration(standing.LeaseMS) * time.Millisecond; d > 0 {
			s.lease = d
		}
		var w Word
		var ok bool
		if have, w, ok = s.Hear(Heard{asked, standing}); ok {
			turn = standing.Revision
		} else {
			turn = 0
			rest(pause(r, 1, s.Fleet(), s.lease))
		}
		s.say(w)
		if w.Leave {
			rest(s.lease)
		}
	}
}

// say has a word be told. It takes the place of an older one.
func (s *Session) say(w Word) {
	s.mu.Lock()
	s.word = w
	s.mu.Unlock()
	select {
	case s.told <- struct{}{}:
	default:
	}
}

// tell tells the keepers what the loop has to say, until they have heard it or there is a newer word.
func (s *Session) tell(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Seed, 8))
	for failed := 0; ; {
		var again <-chan time.Time
		if failed > 0 {
			again = time.After(pause(r, failed, 1, firstLease))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.told:
			failed = 0
		case <-again:
		}
		s.mu.Lock()
		w := s.word
		s.mu.Unlock()
		path, word := "", api.MemberReport{Name: s.Name, Instance: s.Instance, Revision: w.Confirm, Number: w.Reject, Reason: w.Reason}
		switch {
		case w.Leave:
			path = api.LeavePath
		case w.Reject != 0:
			path = api.RejectPath
		case w.Confirm != 0:
			path = api.ConfirmPath
		}
		if path == "" {
			failed = 0
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, callIn)
		err := s.Client.Call(cctx, http.MethodPost, path, word, nil)
		cancel()
		var no *api.RefusedError
		switch {
		case err == nil:
			failed = 0
		case errors.As(err, &no): // of a turn that is over: the next answer tells what holds
			failed = 0
			slog.Info("the keepers do not take the word", "err", err)
		default:
			failed++
		}
	}
}
