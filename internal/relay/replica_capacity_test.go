package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
	"larchrouter/internal/replication"
	"larchrouter/internal/replication/state"
)

// These tests guard against notices that are sent late because copies are full while their replicas are well. On a
// relay whose machine did not fail, six notices were 0.2 to 1.5 s too late while it was short of replicas for 4 and 6 s.
// The replicas logged "refuses (507): journal: disk budget used up": a copy had a sixteenth of a relay's disk, of
// which 128 KiB were reserved, so it was full with 19 messages of 600 bytes, while the owner accepted over a
// thousand. A full copy accepts no ends either, since they follow the records that it has no space for. After 2 s
// other replicas got the whole copy, and were full with the next message. A notice that was due waited for a
// replica's acknowledgement all that time.

// newRelayWithReplicas returns a relay that copies to a number of replicas, all of them well and with as much disk as
// it has itself.
func newRelayWithReplicas(t *testing.T, replicas int, diskMB float64) (*Relay, *groupStream) {
	t.Helper()
	journal, err := journal.Open(t.TempDir(), int64(diskMB*replicaDiskShare*1e6))
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{startedAt: time.Now().Add(-time.Minute), inbox: make(chan func(), 1024), quit: make(chan struct{}), config: Config{DiskMB: diskMB},
		messageRecords: messageRecords{journal: journal, pending: map[string]*message{}, notices: newNoticeSender(nil, nil, nil, nil),
			replication: &replicationState{config: fleet.Config{Copies: replicas - 1}, streams: map[uint64]*groupStream{}, ready: make(chan struct{}), client: &http.Client{}}}}
	r.fleetConfig = fleet.Open(t.TempDir(), "w", fleet.File{})
	r.destWaits = map[int]*hostWait{7: {}}
	r.settings.Store(&activeSettings{})
	t.Cleanup(func() { close(r.quit) })
	group := state.Group{ID: 1, Name: "r", Epoch: 1, Owner: "r", Writer: "w", Main: true, Copies: replicas - 1}
	for i := range replicas {
		replica, err := replication.OpenReplicaServer(t.TempDir(), int64(diskMB*replicaDiskShare*1e6))
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		replica.Serve(listener)
		t.Cleanup(replica.Close)
		group.Replicas = append(group.Replicas, state.Replica{Name: fmt.Sprint("holder-", i), Addr: listener.Addr().String(), Folder: replica.Folder})
	}
	if err := r.recordGroup(group, 1); err != nil {
		t.Fatal(err)
	}
	stream := r.newGroupStream(group, 1)
	stream.SetReplicas(group.Epoch, group.Copies, group.Replicas)
	t.Cleanup(stream.Close)
	return r, stream
}

// runLoopUntil runs turns of the loop until a condition holds.
func (r *Relay) runLoopUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.After(20 * time.Second); !holds(); {
		select {
		case f := <-r.inbox:
			f()
			r.flush()
			r.acceptNew()
		case <-deadline:
			t.Fatalf("timeout while waiting for: %s", what)
		}
	}
}

// submitMessage submits a message and returns the channel of its answer.
func submitMessage(r *Relay, id string, bodySize int) chan apiResponse {
	in := &apiRequest{ctx: context.Background(), reply: make(chan apiResponse, 1), due: r.now() + time.Hour, entry: &journal.Entry{ID: id, Class: "c", Dest: 7,
		Due: time.Now().Add(time.Hour).UnixMilli(), Body: make([]byte, bodySize), Terms: &choice.Terms{Class: choice.Class{Effect: choice.Safe}}}}
	r.submit(in)
	r.acceptNew()
	return in.reply
}

// Guards against a relay that accepts more than its replicas have space for. All of them would refuse it, together
// with the ends that it has to record, though none has failed.
func TestRelayAcceptsWhatReplicasHaveSpaceFor(t *testing.T) {
	for _, bodySize := range []int{10, 600, 5000} {
		t.Run(fmt.Sprint(bodySize), func(t *testing.T) {
			r, stream := newRelayWithReplicas(t, 3, 3)
			r.runLoopUntil(t, "enough replicas", func() bool { return stream.shortSince == 0 })
			for round := range 3 {
				var accepted []string
				for i := 0; ; i++ {
					id := fmt.Sprintf("m%d-%d", round, i)
					reply := submitMessage(r, id, bodySize)
					r.runLoopUntil(t, "an answer", func() bool { return len(reply) > 0 })
					if a := <-reply; a.status != http.StatusAccepted {
						break
					}
					accepted = append(accepted, id)
				}
				if len(accepted) < 5 {
					t.Fatalf("only %d messages of %d bytes are accepted", len(accepted), bodySize)
				}
				r.checkCommits()
				want(t, "uncommitted records", stream.commitWaiters.Len(), 0)
				want(t, "time without enough replicas", stream.shortSince, 0)
				// All accepted messages end; the replicas have space for that in any case.
				for _, id := range accepted {
					r.record(journal.Record{Op: journal.OpTry, ID: id, At: time.Now().UnixMilli(), WaitMs: 100})
					r.finish(r.pending[id], outcomeServed)
				}
				r.flush()
				end := stream.Next()
				r.runLoopUntil(t, "the ends are committed", func() bool { return stream.Status().Committed >= end })
			}
		})
	}
}

// Guards against a due notice that waits for a replica's acknowledgement. It would be late for no benefit, since a
// successor may no longer deliver the message by then. A notice that is not due yet does wait: a successor could
// deliver a message that its client sends again.
func TestDueNoticeDoesNotWaitForReplicas(t *testing.T) {
	r, _ := newReplicatingRelay(t, fleet.ShortageRefuse)
	due := time.Now().Add(300 * time.Millisecond)
	for id, deadline := range map[string]time.Time{"due": due, "not due": due.Add(time.Hour)} {
		m := &message{Entry: &journal.Entry{ID: id, Class: "c", Group: 1, Due: deadline.UnixMilli()}}
		if err := r.commitRecords([]journal.Record{{Op: journal.OpAccepted, Entry: m.Entry}}, 0, nil); err != nil {
			t.Fatal(err)
		}
		r.pending[id] = m
		r.endWithNotice(m, notice{ID: id, Status: undeliverable})
	}
	r.flush()
	r.checkCommits()
	queued := func() int { r.notices.mu.Lock(); defer r.notices.mu.Unlock(); return len(r.notices.queue) }
	want(t, "notices before they are committed or due", queued(), 0)
	r.runLoopUntil(t, "a notice", func() bool { return queued() > 0 })
	if late := time.Since(due); late < 0 || late > 250*time.Millisecond {
		t.Errorf("it is sent %v after its message's deadline", late)
	}
	want(t, "notices", queued(), 1)
	want(t, "ID of the notice that is due", r.notices.queue[0].ID, "due")
	want(t, "pending notices", r.pendingNotices, 2)
}

// Guards against a notice that is sent before it is on record: the next start would deliver the message. The notice
// waits until it is recorded, and is sent once.
func TestUnrecordedDueNoticeWaits(t *testing.T) {
	r, _ := newReplicatingRelay(t, fleet.ShortageRefuse)
	m := &message{Entry: &journal.Entry{ID: "due", Class: "c", Group: 1, Due: time.Now().Add(-time.Second).UnixMilli()}}
	if err := r.commitRecords([]journal.Record{{Op: journal.OpAccepted, Entry: m.Entry}}, 0, nil); err != nil {
		t.Fatal(err)
	}
	r.pending["due"] = m
	r.endWithNotice(m, notice{ID: "due", Status: undeliverable})
	r.journal.StopWriting(errors.New("the disk is full"))
	for range 3 {
		r.flush()
		r.checkCommits()
	}
	want(t, "notices sent before they are on record", len(r.notices.queue), 0)
	if err := r.journal.Compact(); err != nil { // makes the journal writable again
		t.Fatal(err)
	}
	r.flush()
	r.checkCommits()
	want(t, "notices sent", len(r.notices.queue), 1)
	want(t, "pending notices", r.pendingNotices, 1)
}
