package rules

import (
	"slices"

	"larchrouter/internal/lab/history"
)

// What is remembered of messages, calls and processes.

// msg is a message under one id.
type messageState struct {
	history.Event // Hand
	class         *history.Class
	dueAt         int64
	orphan        bool  // its relay's machine was lost, so another one has to end it
	extendedUntil int64 // by when its end is due at the latest, if it is one
	acceptedAt    int64 // its client heard 200 or 202; 0 if not
	refused       bool  // its client heard so
	clientLeft    bool  // its client did not wait
	calls         []*callState
	deliveredAt   int64 // the first 200 at the front
	notice        history.Event
	endedAt       int64
	request       *requestState
	events        []history.Event
}

// crossed tells whether every answer that delivered the message crossed the end of its connection.
func (m *messageState) answersCrossedClose() bool {
	for _, call := range m.calls {
		if call.status == 200 && !call.answerCrossedClose {
			return false
		}
	}
	return true
}

// call is one call, of which each message in it is an attempt.
type callState struct {
	history.Event
	endedAt int64 // answered or given up, at the front; 0 while it is out
	status  int   // 0 for one that was given up
	zone    string
	pairs   []*callPair
	// crossed says that the relay gave the connection up as the answer came, and may not have read it.
	answerCrossedClose bool
}

// twins are two calls with one message of which the first was not known to be over as the second came.
type callPair struct {
	messageID      string
	earlier, later *callState
}

// mayRun tells whether the call's messages may have taken effect.
func (c *callState) mayHaveRun() bool {
	switch c.status {
	case 400, 410, 413, 429, 503, 504:
		return false
	}
	return true
}

// want is what a client wants delivered, whatever ids it hands it in under.
type requestState struct {
	submittedAt int64
	class       *history.Class
	tenant      string
	idCount     int
	refused     bool
	failed      bool
	deliveredAt int64
}

// process is what is known of a relay.
type relayState struct {
	machineLost bool            // its machine has gone with its disk
	groups      map[string]bool // that it has, by the names of their figures
	downSince   int64           // since when it is to end or has ended; 0 while it runs
	crashed     bool            // it is down and nobody asked for that
	killedAt    int64           // when it was last ended by SIGKILL; 0 for never
	readyAt     int64           // since when the process of now can serve
	resumedAt   int64           // when it last went on after a restart or a pause; 0 for never
	// continued is when it last went on after a pause; 0 for never.
	continuedAt  int64
	starts       int
	lastListCall int64 // last call for the list
	// listCalls are the calls for the list without an answer, the oldest first.
	pendingListCalls     []pendingListCall
	lastListCallFailed   bool             // the last call for the list failed
	unreportedCalls      []unreportedCall // since the last call for the list that was over
	lastAnsweredListCall int64            // when the newest call that was answered came
	reportedAt           map[string]int64 // when it was told that an endpoint drains or is gone
	disabledAt           map[string]int64
	waits                map[int][]timeSpan
	listVersion          int64
	counters             map[string]*metricBounds // figures of a process that has run from the start
	lastUsage            history.Event
}

type timeSpan struct{ from, until int64 }

// counter counts what a figure should tell: what it must have and what it may have.
type metricBounds struct {
	least, most tally
	maybeUnread int // of must: what was told as the relay closed the connection
}

// tally is a count of which the last seconds are known exactly.
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

// at is the count at a time not long ago.
func (t *tally) countAt(at int64) int {
	count := t.total
	for i := len(t.recent) - 1; i >= 0 && t.recent[i] > at; i-- {
		count--
	}
	return count
}
