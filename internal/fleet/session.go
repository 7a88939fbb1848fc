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

// Answer is an answer of the keepers to a session call.
type Answer struct {
	RequestedAt time.Duration // when the call was sent, by the relay's clock
	Response    api.SessionResponse
}

// Session maintains a relay's session with the keepers. It shares no state with the relay's loop: it passes each answer to
// HandleAnswer and sends the reply that this returns. The exported fields must be set before Run.
type Session struct {
	Client    *api.Client
	Name      string
	Zone      string
	Version   string
	Seed      uint64
	FleetSize func() int           // number of relays
	Now       func() time.Duration // the relay's clock
	// HandleAnswer passes an answer to the loop and returns once the loop has processed it: the generations whose documents the
	// relay has, the reply to send, and whether the answer was accepted.
	HandleAnswer func(Answer) (known []uint64, reply Reply, ok bool)

	Instance, PreviousInstance string // as in Member
	// Addr and Folder are the address and the folder in which the relay receives copies of replication groups' records. Owned
	// returns a fingerprint that identifies the list of the groups that the relay owns, as it knows it. They are empty and nil for a
	// relay that receives no copies.
	Addr, Folder string
	Owned        func() string

	mu            sync.Mutex
	reply         Reply         // to be sent; a newer one replaces it
	replyReady    chan struct{} // signals that reply was replaced
	leaseDuration time.Duration // as last granted by the keepers
}

// The times of a session. Pauses are random, and longer in a larger fleet, so that the calls of all relays do not arrive together
// after a mass restart or when keepers return.
const (
	callTimeout  = 5 * time.Second // in addition to the time that a call may wait for a change
	initialPause = 50 * time.Millisecond
	initialLease = 4 * time.Second // assumed until the keepers grant one
)

// retryPause returns a random pause before a failed call is repeated, which doubles with each failure in a row up to a quarter
// of the lease.
func retryPause(random *rand.Rand, failures, fleetSize int, leaseDuration time.Duration) time.Duration {
	mean := initialPause << min(failures, 10)
	if share := 2 * initialPause * time.Duration(fleetSize); mean < share {
		mean = share // all relays together call at most ten times a second
	}
	return time.Duration((0.5 + random.Float64()) * float64(min(mean, leaseDuration/4)))
}

// Run maintains the session until ctx ends. It does not end the session at the keepers, as it cannot know whether another process
// continues it under the same name.
func (s *Session) Run(ctx context.Context) {
	s.replyReady, s.leaseDuration = make(chan struct{}, 1), initialLease
	s.Client.StartAt(int(s.Seed % 1024))
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
		call := api.Session{Name: s.Name, Instance: s.Instance, Predecessor: s.PreviousInstance, Zone: s.Zone, Version: s.Version, Revision: revision,
			WaitMS: time.Duration((0.75 + random.Float64()/2) * float64(wait)).Milliseconds(), KnownGenerations: known}
		if s.Owned != nil {
			call.Addr, call.Folder, call.GroupsFingerprint = s.Addr, s.Folder, s.Owned()
		}
		callCtx, cancel := context.WithTimeout(ctx, min(2*wait, wait+callTimeout))
		requestedAt := s.Now()
		var response api.SessionResponse
		err := s.Client.Call(callCtx, http.MethodPost, api.SessionPath, call, &response)
		cancel()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			var refused *api.RefusedError
			if errors.As(err, &refused) && refused.Status == http.StatusGone {
				revision = 0 // the keepers no longer know the session: begin a new one, whose first answer has the whole state
			}
			slog.Warn("session call to the keepers failed", "err", err, "in_a_row", failures+1)
			sleep(retryPause(random, failures, s.FleetSize(), s.leaseDuration))
			failures++
			continue
		}
		failures = 0
		if d := time.Duration(response.LeaseMS) * time.Millisecond; d > 0 {
			s.leaseDuration = d
		}
		var reply Reply
		var ok bool
		if known, reply, ok = s.HandleAnswer(Answer{requestedAt, response}); ok {
			revision = response.Revision
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

// setReply has a reply sent, in place of an older one that has not been sent yet.
func (s *Session) setReply(reply Reply) {
	s.mu.Lock()
	s.reply = reply
	s.mu.Unlock()
	select {
	case s.replyReady <- struct{}{}:
	default:
	}
}

// sendReplies sends each reply to the keepers, and repeats it until they have answered or there is a newer one. It returns when ctx
// ends.
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
		path, body := "", api.MemberReport{Name: s.Name, Instance: s.Instance, Revision: reply.Confirm, Number: reply.Reject, Reason: reply.Reason}
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
		var refused *api.RefusedError
		switch {
		case err == nil:
			failures = 0
		case errors.As(err, &refused): // the reply is to an earlier revision: the next answer of the session has the present one
			failures = 0
			slog.Info("the keepers rejected a reply", "err", err)
		default:
			failures++
		}
	}
}
