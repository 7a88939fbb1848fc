package rules

import (
	"slices"

	"larchrouter/internal/lab/history"
)

// What is remembered of messages, calls and processes. Times are in microseconds on the run's clock.

// messageState is the state of a message submitted under one id.
type messageState struct {
	history.Event // the RequestSent event
	class         *history.Class
	dueAt         int64
	orphan        bool  // its relay's machine was lost, so another relay has to end it
	extendedUntil int64 // for an orphan: the latest time at which its end is due
	acceptedAt    int64 // when its client received 200 or 202; 0 for never
	refused       bool  // its client received a rejection
	clientLeft    bool  // its client did not wait for the answer
	calls         []*callState
	deliveredAt   int64 // when an endpoint first answered 200, at the front; 0 for never
	notice        history.Event
	endedAt       int64
	request       *requestState
	events        []history.Event
}

// answersCrossedClose reports whether every answer that delivered the message was written while the relay was closing
// the connection.
func (m *messageState) answersCrossedClose() bool {
	for _, call := range m.calls {
		if call.status == 200 && !call.answerCrossedClose {
			return false
		}
	}
	return true
}

// callState is the state of one call; each message in it is an attempt.
type callState struct {
	history.Event
	endedAt int64 // when it was answered or given up, at the front; 0 while it is in flight
	status  int   // 0 for a call that was given up
	zone    string
	pairs   []*callPair
	// answerCrossedClose says that the relay gave the connection up as the answer arrived, and may not have read it.
	answerCrossedClose bool
}

// callPair is two calls with the same message, the first of which was not known to have ended when the second arrived.
type callPair struct {
	messageID      string
	earlier, later *callState
}

// mayHaveRun reports whether the call's messages may have taken effect.
func (c *callState) mayHaveRun() bool {
	switch c.status {
	case 400, 410, 413, 429, 503, 504:
		return false
	}
	return true
}

// requestState is what a client wants delivered, under all ids that it submits it with.
type requestState struct {
	submittedAt int64
	class       *history.Class
	tenant      string
	idCount     int
	refused     bool
	failed      bool
	deliveredAt int64
}

// relayState is the state of a relay, across all of its processes.
type relayState struct {
	machineLost bool            // the machine was lost with its disk
	groups      map[string]bool // its replication groups, by the names of their metrics
	downSince   int64           // when it was told to end, ended or was stopped; 0 while it runs
	crashed     bool            // it is down and nobody asked for that
	killedAt    int64           // when it was last ended by SIGKILL; 0 for never
	readyAt     int64           // when the current process became ready
	resumedAt   int64           // when it last resumed after a restart or a pause; 0 for never
	// continuedAt is when it last continued after a pause; 0 for never.
	continuedAt  int64
	starts       int
	lastListCall int64 // when the last call for the list arrived
	// pendingListCalls are the calls for the list without an answer, oldest first.
	pendingListCalls     []pendingListCall
	lastListCallFailed   bool             // whether the last call for the list failed
	unreportedCalls      []unreportedCall // made since the last call for the list ended
	lastAnsweredListCall int64            // when the newest answered call arrived
	reportedAt           map[string]int64 // when each endpoint was reported to it as draining or removed
	disabledAt           map[string]int64
	waits                map[int][]timeSpan
	listVersion          int64
	counters             map[string]*metricBounds // by metric, for a process that has run since the start
	lastUsage            history.Event
}

// timeSpan is a span of time in microseconds.
type timeSpan struct{ from, until int64 }

// metricBounds gives the range in which a metric must lie: the lower bound and the upper bound of its count.
type metricBounds struct {
	least, most tally
	maybeUnread int // part of least whose answers were written as the relay closed the connection
}

// tally is a count whose values during the last seconds are known exactly.
type tally struct {
	total  int
	recent []int64
}

func (t *tally) add(at int64) {
	t.total++
	t.recent = append(t.recent, at)
	if recent := len(t.recent); recent > 64 && t.recent[recent/2] < at-2*metricsLag {
		t.recent = slices.Delete(t.recent, 0, recent/2)
	}
}

// countAt returns the count at a recent time.
func (t *tally) countAt(at int64) int {
	count := t.total
	for i := len(t.recent) - 1; i >= 0 && t.recent[i] > at; i-- {
		count--
	}
	return count
}
