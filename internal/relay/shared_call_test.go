package relay

import (
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/fleet"
	"larchrouter/internal/replication/state"
)

// Guards against a successor that sends a message while the previous owner's call with it is out, because the call lasts as
// long as the longest time-out of its messages and only the message's own was recorded.
func TestSuccessorWaitsForWholeSharedCall(t *testing.T) {
	r, original := newReplicatingRelay(t, fleet.ShortageRefuse)
	r.settings.Store(&activeSettings{})
	due := time.Now().Add(time.Minute)
	r.hosts = map[string]*host{"h": {id: "h", dest: 7, maxPerCall: 10}}
	var sends []choice.Send
	for id, timeout := range map[string]time.Duration{"long": 30 * time.Second, "short": 100 * time.Millisecond} {
		recordAccepted(t, r, id, choice.Class{Effect: choice.Safe}, due).Dest = 7
		sends = append(sends, choice.Send{ID: id, Host: "h", Timeout: timeout})
	}
	r.dispatch(sends)
	want(t, "timeout of the message itself, for later attempts", r.journal.Entry("short").TimeoutMs, 100)
	r.pending, r.events = map[string]*message{}, nil
	delete(r.replication.streams, original.ID)
	r.config.Name = "successor"
	stream, err := r.beginGroup(state.Group{ID: 1, Name: "r", Epoch: 2, Owner: "successor", Writer: "w2", Copies: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	for wait := time.After(100*time.Millisecond + 2*callStartTimeout); wait != nil; {
		select {
		case f := <-r.inbox:
			f()
		case <-wait:
			wait = nil
		}
	}
	want(t, "messages that the Chooser has", len(r.events), 0)
	want(t, "messages that wait", len(r.pending), 2)
}
