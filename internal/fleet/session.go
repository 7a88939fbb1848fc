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
type Answer struct {
	RequestedAt time.Duration // when the call went out, by the relay's clock
	Standing    api.Standing
}

// Session keeps up a relay's session with the keepers. It shares nothing with the loop: what it hears it hands over,
// and what the loop has to say it is told.
type Session struct {
	Client    *api.Client
	Name      string
	Zone      string
	Version   string
	Seed      uint64
	FleetSize func() int           // relays
	Now       func() time.Duration // the relay's clock
	// Hear hands an answer to the loop, and returns once that has taken it in.
	HandleAnswer func(Answer) (have []uint64, w Reply, ok bool)

	Instance, PreviousInstance string // as Kept has them
	// Addr and Folder are where the relay takes copies of estates, and Owned marks the list of those that it owns as it knows
	// it; empty and nil for a relay that takes none.
	Addr, Folder string
	Owned        func() string

	mu            sync.Mutex
	reply         Reply         // that has yet to be told; a newer one takes its place
	replyReady    chan struct{} // there is one
	leaseDuration time.Duration // as last told
}

// The times of a session. Pauses are by chance and longer in a larger fleet, so that a mass restart, or keepers that
// come back, meet no crowd.
const (
	callTimeout  = 5 * time.Second // beyond what a call may wait
	initialPause = 50 * time.Millisecond
	initialLease = 4 * time.Second // assumed until it is told
)

// pause is the time before a call is made again after one that failed, so many in a row.
func retryPause(random *rand.Rand, failures, fleetSize int, leaseDuration time.Duration) time.Duration {
	mean := initialPause << min(failures, 10)
	if share := 2 * initialPause * time.Duration(fleetSize); mean < share {
		mean = share // all relays together ask no more often than ten times a second
	}
	return time.Duration((0.5 + random.Float64()) * float64(min(mean, leaseDuration/4)))
}

// Run keeps the session up until the context ends. It does not say goodbye: whether another process goes on under
// the same name, it cannot know.
func (s *Session) Run(ctx context.Context) {
	s.replyReady, s.leaseDuration = make(chan struct{}, 1), initialLease
	s.Client.Start(int(s.Seed % 1024))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { s.sendReplies(ctx) })
	random := rand.New(rand.NewPCG(s.Seed, 7))
	sleep := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	var revision uint64
	var known []uint64
	sleep(time.Duration(random.Float64() * float64(min(initialPause*time.Duration(s.FleetSize()), s.leaseDuration/2))))
	for failures := 0; ctx.Err() == nil; {
		wait := s.leaseDuration / 4
		call := api.Session{Name: s.Name, Instance: s.Instance, Before: s.PreviousInstance, Zone: s.Zone, Version: s.Version, Turn: revision,
			WaitMS: time.Duration((0.75 + random.Float64()/2) * float64(wait)).Milliseconds(), Have: known}
		if s.Owned != nil {
			call.Addr, call.Folder, call.Estates = s.Addr, s.Folder, s.Owned()
		}
		callCtx, cancel := context.WithTimeout(ctx, min(2*wait, wait+callTimeout))
		requestedAt := s.Now()
		var standing api.Standing
		err := s.Client.Call(callCtx, http.MethodPost, api.SessionPath, call, &standing)
		cancel()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			var refused *api.Refused
			if errors.As(err, &refused) && refused.Status == http.StatusGone {
				revision = 0 // it begins anew, and is told all again
			}
			slog.Warn("keepers do not answer", "err", err, "in_a_row", failures+1)
			sleep(retryPause(random, failures, s.FleetSize(), s.leaseDuration))
			failures++
			continue
		}
		failures = 0
		if d := time.Duration(standing.LeaseMS) * time.Millisecond; d > 0 {
			s.leaseDuration = d
		}
		var reply Reply
		var ok bool
		if known, reply, ok = s.HandleAnswer(Answer{requestedAt, standing}); ok {
			revision = standing.Turn
		} else {
			revision = 0
			sleep(retryPause(random, 1, s.FleetSize(), s.leaseDuration))
		}
		s.setReply(reply)
		if reply.Leave {
			sleep(s.leaseDuration)
		}
	}
}

// say has a word be told. It takes the place of an older one.
func (s *Session) setReply(reply Reply) {
	s.mu.Lock()
	s.reply = reply
	s.mu.Unlock()
	select {
	case s.replyReady <- struct{}{}:
	default:
	}
}

// tell tells the keepers what the loop has to say, until they have heard it or there is a newer word.
func (s *Session) sendReplies(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 8))
	for failures := 0; ; {
		var retry <-chan time.Time
		if failures > 0 {
			retry = time.After(retryPause(random, failures, 1, initialLease))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.replyReady:
			failures = 0
		case <-retry:
		}
		s.mu.Lock()
		reply := s.reply
		s.mu.Unlock()
		path, body := "", api.Word{Name: s.Name, Instance: s.Instance, Turn: reply.Confirm, Number: reply.Reject, Reason: reply.Reason}
		switch {
		case reply.Leave:
			path = api.LeavePath
		case reply.Reject != 0:
			path = api.RejectPath
		case reply.Confirm != 0:
			path = api.ConfirmPath
		}
		if path == "" {
			failures = 0
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.Client.Call(callCtx, http.MethodPost, path, body, nil)
		cancel()
		var refused *api.Refused
		switch {
		case err == nil:
			failures = 0
		case errors.As(err, &refused): // of a turn that is over: the next answer tells what holds
			failures = 0
			slog.Info("the keepers do not take the word", "err", err)
		default:
			failures++
		}
	}
}
