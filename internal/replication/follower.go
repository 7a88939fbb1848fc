package replication

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"larchrouter/internal/remedy"
	"larchrouter/internal/replication/state"
	"larchrouter/internal/steady"
)

// tie is what one holder's goroutine knows beside the Follower: what was sent to it, and its clock.
type followerSession struct {
	stream       *Stream
	follower     *state.Follower
	nextToSend   uint64 // first record not sent yet
	restart      bool   // something failed: go on from what it has
	clockKnown   bool   // it has answered, so something is known of its clock
	clockAheadMs int64  // by which its clock shows more than this one, milliseconds, at the least
	clockReadAt  time.Time
	slots        chan struct{}
}

// follow keeps one holder up to date until it is none any more.
func (s *Stream) follow(ctx context.Context, follower *state.Follower) {
	session := &followerSession{stream: s, follower: follower, slots: make(chan struct{}, maxBatchesInFlight)}
	for pause := minRetryPause; ctx.Err() == nil; {
		s.mu.Lock()
		if follower.HasCopy && follower.Acked < s.queueFirst { // what it lacks is no longer kept
			follower.HasCopy = false
		}
		hasCopy, restart, wake := follower.HasCopy, session.restart, s.wake
		s.mu.Unlock()
		switch {
		case restart:
			session.drain()
			s.mu.Lock()
			session.nextToSend, session.restart = follower.Acked, false
			s.mu.Unlock()
			sleep(ctx, pause)
			pause = min(2*pause, maxRetryPause)
		case !hasCopy:
			session.drain()
			if session.sendWhole(ctx) {
				pause = minRetryPause
			}
		case !session.sendNext(ctx):
			select {
			case <-wake:
			case <-ctx.Done():
			}
		default:
			pause = minRetryPause
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// drain waits until nothing is on its way.
func (s *followerSession) drain() {
	for range maxBatchesInFlight {
		s.slots <- struct{}{}
	}
	for range maxBatchesInFlight {
		<-s.slots
	}
}

// next sends the records that follow, and tells whether there were any.
func (s *followerSession) sendNext(ctx context.Context) bool {
	stream := s.stream
	stream.mu.Lock()
	if s.nextToSend < s.follower.Acked {
		s.nextToSend = s.follower.Acked
	}
	if s.nextToSend < stream.queueFirst || s.nextToSend >= stream.progress.Next {
		trimmed := s.nextToSend < stream.queueFirst
		s.restart = trimmed
		stream.mu.Unlock()
		return trimmed
	}
	batch := Batch{Group: stream.ID, Epoch: stream.progress.Epoch, Writer: stream.writerName, First: s.nextToSend}
	for i, size := int(s.nextToSend-stream.queueFirst), 0; i < len(stream.queue) && (size == 0 || size+stream.sizes[i] <= stream.MaxBatchBytes); i++ {
		batch.Records = append(batch.Records, stream.queue[i].Shifted(s.clockAheadMs))
		size += stream.sizes[i]
	}
	s.nextToSend += uint64(len(batch.Records))
	stream.mu.Unlock()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	go func() {
		defer func() { <-s.slots }()
		s.send(ctx, batch)
	}()
	return true
}

// fill sends all that there is.
func (s *followerSession) sendWhole(ctx context.Context) bool {
	stream := s.stream
	if !s.clockKnown {
		stream.mu.Lock()
		request := PromiseRequest{Group: stream.ID, Epoch: stream.progress.Epoch, Writer: stream.writerName}
		stream.mu.Unlock()
		var answer PromiseResponse
		sentAt, receivedAt, err := call(ctx, stream.client, s.follower.Replica, PromisePath, request, &answer, unixMilli)
		if err != nil {
			s.handleFailure(ctx, err)
			return false
		}
		s.learnClock(sentAt, receivedAt, answer.Clock)
	}
	records, next, ok := stream.wholeCopy(ctx)
	if !ok {
		sleep(ctx, minRetryPause)
		return false
	}
	for i := range records {
		records[i] = records[i].Shifted(s.clockAheadMs)
	}
	stream.mu.Lock()
	epoch := stream.progress.Epoch
	stream.mu.Unlock()
	return s.send(ctx, Batch{Group: stream.ID, Epoch: epoch, Writer: stream.writerName, First: next, Whole: true, Records: records})
}

func unixMilli() int64 { return steady.UnixMilli() }

// learn takes in what a holder's clock showed: at the latest then it was as late there as as it shows, so it is ahead by so
// much at the least.
func (s *followerSession) learnClock(_, receivedAt, clock int64) {
	s.stream.mu.Lock()
	defer s.stream.mu.Unlock()
	if aheadMs := clock - receivedAt; !s.clockKnown || aheadMs > s.clockAheadMs || time.Since(s.clockReadAt) > clockValidity {
		s.clockAheadMs, s.clockReadAt, s.clockKnown = aheadMs, time.Now(), true
	}
}

// send makes one call, and takes its answer in.
func (s *followerSession) send(ctx context.Context, batch Batch) bool {
	var answer BatchResponse
	sentAt, receivedAt, err := call(ctx, s.stream.client, s.follower.Replica, CopyPath, batch, &answer, unixMilli)
	if err != nil {
		s.handleFailure(ctx, err)
		return false
	}
	s.learnClock(sentAt, receivedAt, answer.Clock)
	stream := s.stream
	stream.mu.Lock()
	stream.progress.RecordAck(s.follower, answer.Next, batch.Whole, stream.elapsed())
	stream.trim()
	stream.mu.Unlock()
	stream.onProgress()
	return true
}

// failed takes in that a holder did not take what it was sent.
func (s *followerSession) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	stream := s.stream
	var fenced *state.FencedError
	var missing *state.MissingRecordsError
	var folderLost *FolderLostError
	stream.mu.Lock()
	firstFailure := s.follower.FailingSince == state.Never
	s.restart = true
	switch {
	case errors.As(err, &fenced) && fenced.Writer == stream.writerName:
		// It was on its way as the epoch became another: it goes once more.
		stream.mu.Unlock()
		return
	case errors.As(err, &missing):
		s.follower.HasCopy, s.follower.Acked = missing.Whole, min(s.follower.Acked, missing.Next)
		stream.mu.Unlock()
		return
	}
	stream.progress.RecordFailure(s.follower, stream.elapsed(), errors.As(err, &folderLost))
	closed := stream.closed
	stream.mu.Unlock()
	if firstFailure {
		slog.Warn("a holder takes no records", "estate", stream.ID, "holder", s.follower.Name, "err", err, "remedy", remedy.Of(err))
	}
	stream.onProgress()
	if fenced != nil && !closed {
		stream.onFenced(fenced)
	}
}
