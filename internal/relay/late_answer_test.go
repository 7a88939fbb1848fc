package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// takeOutOn has the relay hold a message that a call is out with.
func (g *noticeRig) takeOutOn(id string) (*message, *call) {
	m := &message{Entry: &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: time.Now().Add(time.Hour).UnixMilli()}}
	c := &call{host: &host{id: "s-1"}, members: []*message{m}}
	m.call = c
	g.inLoop(func() {
		if err := g.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: m.Entry}); err != nil {
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
func (g *noticeRig) counted() ends {
	g.figures.mu.Lock()
	defer g.figures.mu.Unlock()
	return *g.figures.of("payment")
}

// Guards against a client that is told "undeliverable" of what was delivered: the answer of a shared call came after the own
// time of one of its members, but before its notice went out.
func TestNoticeOfWhatWasDeliveredIsWithdrawn(t *testing.T) {
	const silentFor = 5 * time.Second
	p := &memoryPlatform{react: func(_, _ int, now time.Duration) reaction { return reaction{silent: now < silentFor} }}
	inNoticeRig(t, p, func(g *noticeRig) {
		for _, id := range idsOf(noticeBatches) { // as many batches as may be under way at once
			g.end(id)
			time.Sleep(noticeBatches * noticeTurn)
		}
		m, c := g.takeOutOn("delivered")
		g.inLoop(func() { g.ended(c, m, end{outcome: choice.Timeout}, told{}) })
		g.inLoop(func() { g.final(m.ID, undeliverable, 0) })
		want(t, "notices owed", g.left(), noticeBatches+1)
		want(t, "ends counted", g.counted(), ends{servedEnd: 0, failedEnd: 0})
		g.inLoop(func() { g.ended(c, m, end{outcome: choice.Served}, told{}) })
		want(t, "notices owed once it was delivered", g.left(), noticeBatches)
		want(t, "it is on record", g.journal.Entry(m.ID) != nil, false)
		g.inLoop(func() { g.ended(c, m, end{outcome: choice.Served}, told{}) })
		want(t, "ends counted", g.counted(), ends{servedEnd: 1, failedEnd: 0})
		time.Sleep(2 * silentFor)
		want(t, "notices owed in the end", g.left(), 0)
		want(t, "notices of it", p.timesTaken(m.ID), 0)
	})
}

// Guards against the same where the answer comes before the decisions have ended the member.
func TestAnswerBeforeTheDecisionOnAMembersEnd(t *testing.T) {
	p := &memoryPlatform{}
	inNoticeRig(t, p, func(g *noticeRig) {
		m, c := g.takeOutOn("delivered")
		g.inLoop(func() {
			g.ended(c, m, end{outcome: choice.Timeout}, told{})
			g.ended(c, m, end{outcome: choice.Served}, told{})
			g.final(m.ID, undeliverable, 0)
		})
		time.Sleep(time.Second)
		want(t, "notices owed", g.left(), 0)
		want(t, "it is on record", g.journal.Entry(m.ID) != nil, false)
		want(t, "notices of it", p.timesTaken(m.ID), 0)
		want(t, "ends counted", g.counted(), ends{servedEnd: 1, failedEnd: 0})
	})
}

// Guards against a notice that is withdrawn though it has gone out: its message would count twice, and the platform's
// acceptance would be held for that of another notice.
func TestNoticeUnderWayIsNotWithdrawn(t *testing.T) {
	p := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return reaction{after: 300 * time.Millisecond} }}
	inNoticeRig(t, p, func(g *noticeRig) {
		m, c := g.takeOutOn("m")
		g.inLoop(func() { g.ended(c, m, end{outcome: choice.Timeout}, told{}) })
		g.inLoop(func() { g.final(m.ID, undeliverable, 0) })
		time.Sleep(10 * time.Millisecond)
		g.inLoop(func() { g.ended(c, m, end{outcome: choice.Served}, told{}) })
		want(t, "notices owed", g.left(), 1)
		time.Sleep(time.Second)
		want(t, "notices owed once accepted", g.left(), 0)
		want(t, "it is on record", g.journal.Entry(m.ID) != nil, false)
		want(t, "ends counted", g.counted(), ends{servedEnd: 0, failedEnd: 1})
	})
}
