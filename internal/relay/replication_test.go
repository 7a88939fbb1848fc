package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
	"larchrouter/internal/replication/state"
)

// newReplicatingRelay returns a relay whose only replica never answers.
func newReplicatingRelay(t *testing.T, short string) (*Relay, *groupStream) {
	t.Helper()
	r := &Relay{startedAt: time.Now().Add(-time.Minute), inbox: make(chan func(), 64), quit: make(chan struct{}),
		messageRecords: messageRecords{journal: openJournal(t), pending: map[string]*message{}, notices: newNoticeSender(nil, nil, nil, nil),
			replication: &replicationState{config: fleet.Config{Copies: 1, OnShortage: short}, streams: map[uint64]*groupStream{}, ready: make(chan struct{}), client: http.DefaultClient}}}
	r.fleetConfig = fleet.Open(t.TempDir(), "w", fleet.File{})
	t.Cleanup(func() { close(r.quit) })
	group := state.Group{ID: 1, Name: "r", Epoch: 1, Owner: "r", Writer: "w", Main: true, Copies: 1, Replicas: []state.Replica{{Name: "gone", Addr: "127.0.0.1:1", Folder: "f"}}}
	if err := r.recordGroup(group, 1); err != nil {
		t.Fatal(err)
	}
	stream := r.newGroupStream(group, 1)
	stream.SetReplicas(group.Epoch, group.Copies, group.Replicas)
	t.Cleanup(stream.Close)
	return r, stream
}

// commitMessage records a message as a step of the loop does.
func commitMessage(t *testing.T, r *Relay, id string, effect choice.Effect) (*message, chan apiResponse) {
	t.Helper()
	request := &apiRequest{ctx: context.Background(), reply: make(chan apiResponse, 1)}
	m := &message{Entry: &journal.Entry{ID: id, Class: "c", Group: 1, Terms: &choice.Terms{Class: choice.Class{Effect: effect}}}, unanswered: []*apiRequest{request}}
	r.pending[id] = m
	if err := r.commitRecords([]journal.Record{{Op: journal.OpAccepted, Entry: m.Entry}}, commitTimeout, func(committed bool) {
		if committed {
			m.answer(apiResponse{status: http.StatusAccepted})
		} else {
			r.endUncommitted(m)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return m, request.reply
}

// Guards against a message that is accepted although no replica has it. Its client gets no answer until the record is
// committed or has timed out. It is then told to retry, or, where the message must not run twice, that its fate is
// unknown, and the record is removed.
func TestNothingIsAcceptedWithoutCopies(t *testing.T) {
	r, _ := newReplicatingRelay(t, fleet.ShortageRefuse)
	_, keyed := commitMessage(t, r, "m1", choice.Keyed)
	_, once := commitMessage(t, r, "m2", choice.Unsafe)
	r.checkCommits()
	if len(keyed)+len(once) > 0 {
		t.Fatal("a client is answered before its message is committed")
	}
	r.startedAt = r.startedAt.Add(-commitTimeout) // commitTimeout has passed
	r.checkCommits()
	if a := <-keyed; a.status != http.StatusServiceUnavailable || a.retryAfter <= 0 {
		t.Errorf("answer to a message that may be retried: %+v", a)
	}
	if a := <-once; a.status != http.StatusInternalServerError {
		t.Errorf("answer to a message that must not run twice: %+v", a)
	}
	r.flush()
	if len(r.pending) > 0 || r.journal.Len() > 0 {
		t.Errorf("%d pending, %d on record", len(r.pending), r.journal.Len())
	}
	if r.replication.accepts(r.now()) {
		t.Error("it accepts more")
	}
	if n := r.replicationFigures(); n.underReplicated != 1 || n.messagesAtRisk != 0 {
		t.Errorf("figures are %+v", n)
	}
}

// Guards against a relay that refuses messages although it is configured to rely on its own disk, or that relies on
// it without reporting the risk.
func TestOwnDiskModeAcceptsAndReportsRisk(t *testing.T) {
	r, _ := newReplicatingRelay(t, fleet.ShortageOwnDisk)
	_, reply := commitMessage(t, r, "m1", choice.Unsafe)
	r.checkCommits()
	r.startedAt = r.startedAt.Add(-commitTimeout)
	r.checkCommits()
	if a := <-reply; a.status != http.StatusAccepted || !r.replication.accepts(r.now()) {
		t.Errorf("answered %+v", a)
	}
	if n := r.replicationFigures(); n.underReplicated != 1 || n.messagesAtRisk != 1 {
		t.Errorf("figures are %+v, want one message at risk", n)
	}
}

// Guards against a call that is sent although its record is not committed, or was committed too late for a successor
// to know of it.
func TestCallsWaitForCommittedRecords(t *testing.T) {
	r, stream := newReplicatingRelay(t, fleet.ShortageRefuse)
	m, _ := commitMessage(t, r, "m1", choice.Keyed)
	for name, recordedAt := range map[string]time.Time{"not committed": time.Now(), "too late": time.Now().Add(-callStartTimeout)} {
		r.events = nil
		c := &call{host: &host{id: "h"}, members: []*message{m}, sends: []choice.Send{{ID: "m1", Host: "h", Timeout: time.Minute}}}
		r.startRecorded(c, recordedAt, name == "too late")
		if len(r.events) != 1 || r.events[0].(choice.Result).Outcome != choice.NotSent || m.call != nil {
			t.Errorf("%s: %+v", name, r.events)
		}
	}
	// A message of another relay's group is neither answered as accepted nor sent or ended here.
	go func() {
		for {
			select {
			case f := <-r.inbox:
				f()
			case <-r.quit:
				return
			}
		}
	}()
	(*groupRecords)(r).OwnershipLost(stream.ID)
	checked := make(chan struct{})
	r.post(func() {
		defer close(checked)
		if !m.ended || !m.transferred || len(r.pending) > 0 || r.journal.Len() > 0 || r.replication.main != 0 || r.replication.accepts(r.now()) {
			t.Errorf("after the group became another relay's: %+v, %d pending, %d on record, main %d", m, len(r.pending), r.journal.Len(), r.replication.main)
		}
	})
	<-checked
}

// Guards against a client that is told to retry while replicas may still have its message: a successor would deliver
// it as well.
func TestWithdrawalWaitsForCopies(t *testing.T) {
	r, _ := newReplicatingRelay(t, fleet.ShortageRefuse)
	m, _ := commitMessage(t, r, "m1", choice.Keyed)
	results := make(chan bool, 1)
	want(t, "it is withdrawn", r.withdraw(m.ID, func(committed bool) { results <- committed }), true)
	r.checkCommits()
	want(t, "results before the timeout", len(results), 0)
	r.startedAt = r.startedAt.Add(-commitTimeout) // commitTimeout has passed
	r.checkCommits()
	want(t, "it is committed", receive(t, results, "word"), false)
	r.flush()
	want(t, "messages on record", r.journal.Len(), 0)
	for effect, status := range map[choice.Effect]int{choice.Keyed: http.StatusServiceUnavailable, choice.Unsafe: http.StatusInternalServerError} {
		e := &journal.Entry{Terms: &choice.Terms{Class: choice.Class{Effect: effect}}}
		want(t, "status of an uncommitted withdrawal", withdrawnLocally(e).status, status)
	}
}

// Guards against a second attempt at a message of another relay's group right after a restart. The first attempt, of
// the group's previous owner, may still be in flight, whatever this relay's journal says.
func TestRestartWaitsForAttemptsOfPreviousOwner(t *testing.T) {
	for name, atOnce := range map[string]bool{"r": true, "another": false} {
		r, original := newReplicatingRelay(t, fleet.ShortageRefuse)
		delete(r.replication.streams, original.ID)
		r.settings.Store(&activeSettings{})
		now := time.Now().UnixMilli()
		e := &journal.Entry{ID: "m1", Class: "c", Dest: 7, Group: 1, Due: now + time.Minute.Milliseconds(), Terms: &choice.Terms{Class: choice.Class{Effect: choice.Safe}}}
		if err := r.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: e}, journal.Record{Op: journal.OpTry, ID: "m1", At: now, WaitMs: 30_000}); err != nil {
			t.Fatal(err)
		}
		r.config.Name = "r"
		stream, err := r.beginGroup(state.Group{ID: 1, Name: name, Epoch: 2, Owner: "r", Writer: "w2", Main: true, Copies: 1}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stream.Close)
		want(t, "messages pending", len(r.pending), 1)
		want(t, "group of "+name+": the Chooser has the message at once", len(r.events) == 1, atOnce)
	}
}
