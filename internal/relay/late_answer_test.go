package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// addInFlight adds a pending message to the relay, with a call in flight.
func (g *noticeRig) addInFlight(id string) (*message, *call) {
	msg := &message{Entry: &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: time.Now().Add(time.Hour).UnixMilli()}}
	hostCall := &call{host: &host{id: "s-1"}, members: []*message{msg}}
	msg.call = hostCall
	g.inLoop(func() {
		if err := g.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: msg.Entry}); err != nil {
			g.t.Error(err)
		}
		g.pending[id] = msg
	})
	return msg, hostCall
}

// inLoop runs a function in the loop, and waits for the end of that turn.
func (g *noticeRig) inLoop(f func()) {
	g.post(f)
	synctest.Wait()
}

// endCounts returns how messages of the class that addInFlight uses have ended.
func (g *noticeRig) endCounts() outcomeCounts {
	g.metrics.mu.Lock()
	defer g.metrics.mu.Unlock()
	return *g.metrics.countsOf("payment")
}

// Guards against a client that is told "undeliverable" of a delivered message: the answer of a shared call came after
// the deadline of one of its members, but before that member's notice was sent.
func TestNoticeOfLateDeliveryIsWithdrawn(t *testing.T) {
	const silentFor = 5 * time.Second
	platform := &memoryPlatform{react: func(_, _ int, now time.Duration) reaction { return reaction{silent: now < silentFor} }}
	inNoticeRig(t, platform, func(rig *noticeRig) {
		for _, id := range makeIDs(maxNoticeBatches) { // as many batches as may be in flight at once
			rig.end(id)
			time.Sleep(maxNoticeBatches * noticeStagger)
		}
		msg, call := rig.addInFlight("delivered")
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Timeout}, hostFeedback{}) })
		rig.inLoop(func() { rig.endUndelivered(msg.ID, undeliverable, 0) })
		want(t, "pending notices", rig.undeliveredNotices(), maxNoticeBatches+1)
		want(t, "counted ends", rig.endCounts(), outcomeCounts{outcomeServed: 0, outcomeFailed: 0})
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "pending notices after the delivery", rig.undeliveredNotices(), maxNoticeBatches)
		want(t, "message is still in the journal", rig.journal.Entry(msg.ID) != nil, false)
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "counted ends", rig.endCounts(), outcomeCounts{outcomeServed: 1, outcomeFailed: 0})
		time.Sleep(2 * silentFor)
		want(t, "pending notices in the end", rig.undeliveredNotices(), 0)
		want(t, "accepted notices of the message", platform.timesAccepted(msg.ID), 0)
	})
}

// Guards against the same if the answer comes before the Chooser has ended the member.
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
		want(t, "pending notices", rig.undeliveredNotices(), 0)
		want(t, "message is still in the journal", rig.journal.Entry(msg.ID) != nil, false)
		want(t, "accepted notices of the message", platform.timesAccepted(msg.ID), 0)
		want(t, "counted ends", rig.endCounts(), outcomeCounts{outcomeServed: 1, outcomeFailed: 0})
	})
}

// Guards against withdrawing a notice that was already sent: its message would be counted twice, and the platform's
// acceptance would be taken for that of another notice.
func TestNoticeInFlightIsNotWithdrawn(t *testing.T) {
	platform := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return reaction{delay: 300 * time.Millisecond} }}
	inNoticeRig(t, platform, func(rig *noticeRig) {
		msg, call := rig.addInFlight("m")
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Timeout}, hostFeedback{}) })
		rig.inLoop(func() { rig.endUndelivered(msg.ID, undeliverable, 0) })
		time.Sleep(10 * time.Millisecond)
		rig.inLoop(func() { rig.attemptEnded(call, msg, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "pending notices", rig.undeliveredNotices(), 1)
		time.Sleep(time.Second)
		want(t, "pending notices after the acceptance", rig.undeliveredNotices(), 0)
		want(t, "message is still in the journal", rig.journal.Entry(msg.ID) != nil, false)
		want(t, "counted ends", rig.endCounts(), outcomeCounts{outcomeServed: 0, outcomeFailed: 1})
	})
}
