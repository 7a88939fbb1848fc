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

// followerSession is the state of the goroutine that sends to one replica: what was sent, and the replica's clock.
type followerSession struct {
	stream       *Stream
	follower     *state.Follower
	nextToSend   uint64 // number of the first record that was not sent yet
	restart      bool   // a call failed: continue after the last record that the replica confirmed
	clockKnown   bool   // the replica has answered, so clockAheadMs is valid
	clockAheadMs int64  // lower bound of how far its clock is ahead of this one
	clockReadAt  time.Time
	slots        chan struct{} // one element for each batch in flight
}

// follow keeps one replica up to date until the context ends, which it does when the replica leaves the set.
func (s *Stream) follow(ctx context.Context, follower *state.Follower) {
	session := &followerSession{stream: s, follower: follower, slots: make(chan struct{}, maxBatchesInFlight)}
	for pause := minRetryPause; ctx.Err() == nil; {
		s.mu.Lock()
		if follower.HasCopy && follower.Acked < s.queueFirst { // the records that it lacks are no longer queued
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

// drain waits until no batch is in flight.
func (s *followerSession) drain() {
	for range maxBatchesInFlight {
		s.slots <- struct{}{}
	}
	for range maxBatchesInFlight {
		<-s.slots
	}
}

// sendNext starts sending the next batch. It returns false if there is nothing to send.
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

// sendWhole sends a whole copy, and reports success. It learns the replica's clock first, as the copy's times depend on it.
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

// learnClock updates clockAheadMs from a time that a replica's clock showed. The replica read its clock before the answer was
// received here, so the difference between the two is a lower bound of how far its clock is ahead.
func (s *followerSession) learnClock(_, receivedAt, clock int64) {
	s.stream.mu.Lock()
	defer s.stream.mu.Unlock()
	if aheadMs := clock - receivedAt; !s.clockKnown || aheadMs > s.clockAheadMs || time.Since(s.clockReadAt) > clockValidity {
		s.clockAheadMs, s.clockReadAt, s.clockKnown = aheadMs, time.Now(), true
	}
}

// send sends one batch, records the answer, and reports success.
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

// handleFailure records that a replica did not accept what it was sent.
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
		// The batch was in flight while the epoch changed: it is sent again.
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
		slog.Warn("a replica accepts no records", "estate", stream.ID, "holder", s.follower.Name, "err", err, "remedy", remedy.Of(err))
	}
	stream.onProgress()
	if fenced != nil && !closed {
		stream.onFenced(fenced)
	}
}
