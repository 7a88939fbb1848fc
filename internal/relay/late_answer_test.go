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
	m := &message{Entry: &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: time.Now().Add(time.Hour).UnixMilli()}}
	c := &call{host: &host{id: "s-1"}, members: []*message{m}}
	m.call = c
	g.inLoop(func() {
		if err := g.journal.Append(journal.Record{Op: journal.OpTaken, Entry: m.Entry}); err != nil {
			g.t.Error(err)
		}
		g.held[id] = m
	})
	return m, c
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
	p := &memoryPlatform{react: func(_, _ int, now time.Duration) reaction { return reaction{silent: now < silentFor} }}
	inNoticeRig(t, p, func(g *noticeRig) {
		for _, id := range makeIDs(maxNoticeBatches) { // as many batches as may be under way at once
			g.end(id)
			time.Sleep(maxNoticeBatches * noticeStagger)
		}
		m, c := g.addInFlight("delivered")
		g.inLoop(func() { g.attemptEnded(c, m, memberResult{outcome: choice.Timeout}, hostFeedback{}) })
		g.inLoop(func() { g.endUndelivered(m.ID, undeliverable, 0) })
		want(t, "notices owed", g.pending(), maxNoticeBatches+1)
		want(t, "ends counted", g.endCounts(), ends{servedEnd: 0, failedEnd: 0})
		g.inLoop(func() { g.attemptEnded(c, m, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "notices owed once it was delivered", g.pending(), maxNoticeBatches)
		want(t, "it is on record", g.journal.Entry(m.ID) != nil, false)
		g.inLoop(func() { g.attemptEnded(c, m, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "ends counted", g.endCounts(), ends{servedEnd: 1, failedEnd: 0})
		time.Sleep(2 * silentFor)
		want(t, "notices owed in the end", g.pending(), 0)
		want(t, "notices of it", p.timesAccepted(m.ID), 0)
	})
}

// Guards against the same where the answer comes before the decisions have ended the member.
func TestLateAnswerBeforeChooserEndsMember(t *testing.T) {
	p := &memoryPlatform{}
	inNoticeRig(t, p, func(g *noticeRig) {
		m, c := g.addInFlight("delivered")
		g.inLoop(func() {
			g.attemptEnded(c, m, memberResult{outcome: choice.Timeout}, hostFeedback{})
			g.attemptEnded(c, m, memberResult{outcome: choice.Served}, hostFeedback{})
			g.endUndelivered(m.ID, undeliverable, 0)
		})
		time.Sleep(time.Second)
		want(t, "notices owed", g.pending(), 0)
		want(t, "it is on record", g.journal.Entry(m.ID) != nil, false)
		want(t, "notices of it", p.timesAccepted(m.ID), 0)
		want(t, "ends counted", g.endCounts(), ends{servedEnd: 1, failedEnd: 0})
	})
}

// Guards against a notice that is withdrawn though it has gone out: its message would count twice, and the platform's
// acceptance would be held for that of another notice.
func TestNoticeInFlightIsNotWithdrawn(t *testing.T) {
	p := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return reaction{delay: 300 * time.Millisecond} }}
	inNoticeRig(t, p, func(g *noticeRig) {
		m, c := g.addInFlight("m")
		g.inLoop(func() { g.attemptEnded(c, m, memberResult{outcome: choice.Timeout}, hostFeedback{}) })
		g.inLoop(func() { g.endUndelivered(m.ID, undeliverable, 0) })
		time.Sleep(10 * time.Millisecond)
		g.inLoop(func() { g.attemptEnded(c, m, memberResult{outcome: choice.Served}, hostFeedback{}) })
		want(t, "notices owed", g.pending(), 1)
		time.Sleep(time.Second)
		want(t, "notices owed once accepted", g.pending(), 0)
		want(t, "it is on record", g.journal.Entry(m.ID) != nil, false)
		want(t, "ends counted", g.endCounts(), ends{servedEnd: 0, failedEnd: 1})
	})
}
