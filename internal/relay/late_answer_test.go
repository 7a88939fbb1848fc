package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// takeOutOn has the relay hold a message that a call is out with.
func (g *noticeRig) addInFlight(id string) (*message, *call) {
	msg := &message{Entry: &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: time.Now().Add(time.Hour).UnixMilli()}}
	hostCall := &call{host: &host{id: "s-1"}, members: []*message{msg}}
	msg.call = hostCall
	g.inLoop(func() {
		if err := g.journal.Append(journal.Record{Op: journal.OpTaken, Entry: msg.Entry}); err != nil {
			g.t.Error(err)
		}
		g.held[id] = msg
	})
	return msg, hostCall
}

// inLoop has the loop do something, and waits for that turn to end.
func (g *noticeRig) inLoop(f func()) {
	g.post(f)
	synctest.Wait()
}

// counted are the ends of messages of the class that takeOutOn uses.
func (g *noticeRig) endCounts() ends {
	g.figures.mu.Lock()
	defer g.figures.mu.Unlock()
	return *g.figures.of("payment")
}

// Guards against a client that is told "undeliverable" of what was delivered: the answer of a shared call came after the own
// time of one of its members, but before its notice went out.
func TestNoticeOfLateDeliveryIsWithdrawn(t *testing.T) {
	const silentFor = 5 * time.Second
	platform := &memoryPlatform{react: func(_, _ int, now time.Duration) reaction { return reaction{silent: now < silentFor} }}
	inNoticeRig(t, platform, func(rig *noticeRig) {
		for _, id := range makeIDs(maxNoticeBatches) { // as many batches as may be under way at once
			rig.end(id)
			time.Sleep(maxNoticeBatches * noticeStagger)
		}
		msg, call := rig.addInFlight("delivered")
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Timeout}, hostFeedback{}) })
		rig.inLoop(func() { rig.endUndelivered(msg.ID, undeliverable, 0) })
		want(t, "notices owed", rig.pending(), maxNoticeBatches+1)
		want(t, "ends counted", rig.endCounts(), ends{servedEnd: 0, failedEnd: 0})
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "notices owed once it was delivered", rig.pending(), maxNoticeBatches)
		want(t, "it is on record", rig.journal.Entry(msg.ID) != nil, false)
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "ends counted", rig.endCounts(), ends{servedEnd: 1, failedEnd: 0})
		time.Sleep(2 * silentFor)
		want(t, "notices owed in the end", rig.pending(), 0)
		want(t, "notices of it", platform.timesAccepted(msg.ID), 0)
	})
}

// Guards against the same where the answer comes before the decisions have ended the member.
func TestLateAnswerBeforeChooserEndsMember(t *testing.T) {
	platform := &memoryPlatform{}
	inNoticeRig(t, platform, func(rig *noticeRig) {
		msg, call := rig.addInFlight("delivered")
		rig.inLoop(func() {
			rig.attemptEnded(call, msg, memberResult{outcome: choice.Timeout}, hostFeedback{})
			rig.attemptEnded(call, msg, memberResult{outcome: choice.Served}, hostFeedback{})
			rig.endUndelivered(msg.ID, undeliverable, 0)
		})
		time.Sleep(time.Second)
		want(t, "notices owed", rig.pending(), 0)
		want(t, "it is on record", rig.journal.Entry(msg.ID) != nil, false)
		want(t, "notices of it", platform.timesAccepted(msg.ID), 0)
		want(t, "ends counted", rig.endCounts(), ends{servedEnd: 1, failedEnd: 0})
	})
}

// Guards against a notice that is withdrawn though it has gone out: its message would count twice, and the platform's
// acceptance would be held for that of another notice.
func TestNoticeInFlightIsNotWithdrawn(t *testing.T) {
	platform := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return reaction{delay: 300 * time.Millisecond} }}
	inNoticeRig(t, platform, func(rig *noticeRig) {
		msg, call := rig.addInFlight("m")
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Timeout}, hostFeedback{}) })
		rig.inLoop(func() { rig.endUndelivered(msg.ID, undeliverable, 0) })
		time.Sleep(10 * time.Millisecond)
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "notices owed", rig.pending(), 1)
		time.Sleep(time.Second)
		want(t, "notices owed once accepted", rig.pending(), 0)
		want(t, "it is on record", rig.journal.Entry(msg.ID) != nil, false)
		want(t, "ends counted", rig.endCounts(), ends{servedEnd: 0, failedEnd: 1})
	})
}
