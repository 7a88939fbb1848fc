package relay

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/backlog"
	"larchrouter/internal/backlog/state"
	"larchrouter/internal/discovery"
)

// Guards against one destination that is unavailable for long and takes the capacity of others, and against loss,
// duplication or corruption of its waiting messages once it is back.
func TestUnavailableDestinationDoesNotBlockOthers(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false), endpoint.server(8, true))
	r, _ := startBacklogRelay(t, p, backlogOptions{})
	ids := submitAccepted(t, r, numberedMessages(300, 7, "down", testMessage{})...)
	pending, stored := pendingAndStored(t, r)
	if pending > 8 || pending+stored != 300 {
		t.Fatalf("%d pending and %d on disk, of 300 with a window of 8", pending, stored)
	}
	awaitMetrics(t, r, "svc.in_flight=300", fmt.Sprintf("svc.backlog.messages=%d", stored))
	for n := range 5 {
		ids := submitAccepted(t, r, numberedMessages(40, 8, fmt.Sprint("up", n), testMessage{})...)
		endpoint.awaitMessages(t, (n+1)*len(ids))
	}
	if _, now := pendingAndStored(t, r); now < stored {
		t.Errorf("%d were loaded for an unavailable destination", stored-now)
	}
	endpoint.mu.Lock()
	endpoint.received = nil
	endpoint.mu.Unlock()
	p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
	endpoint.expectOnce(t, ids...)
	awaitMetrics(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
}

// Guards against many unavailable destinations with a few messages each that together block an available one, and
// against loss or duplication when all of them return at once.
func TestThousandUnavailableDestinationsRecover(t *testing.T) {
	const dests = 1000
	endpoint := newRecordingEndpoint(t)
	servers := []discovery.Server{endpoint.server(9000, true)}
	for d := range dests {
		servers = append(servers, endpoint.server(d, false))
	}
	p := newFakePlatform(t, servers...)
	r, _ := startBacklogRelay(t, p, backlogOptions{window: state.Load{Messages: 64, Bytes: 1 << 20}})
	var messages []testMessage
	for n := range 3 {
		for d := range dests {
			messages = append(messages, testMessage{id: fmt.Sprintf("d%d.%d", d, n), dest: d})
		}
	}
	ids := submitAccepted(t, r, messages...)
	pending, stored := pendingAndStored(t, r)
	if pending > dests+64 || pending+stored != len(ids) {
		t.Fatalf("%d pending and %d on disk, of %d", pending, stored, len(ids))
	}
	up := submitAccepted(t, r, numberedMessages(200, 9000, "up", testMessage{})...)
	endpoint.expectOnce(t, up...)
	endpoint.mu.Lock()
	endpoint.received = nil
	endpoint.mu.Unlock()
	for i := range servers {
		servers[i].State = "active"
	}
	p.publish(2, true, servers...)
	endpoint.expectOnce(t, ids...)
}

// Guards against messages on disk that expire without a notice or with two, and against thousands that expire
// together and block what can still be delivered.
func TestManyMessagesExpireTogether(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false), endpoint.server(8, true))
	p.notices = make(chan notice, 10000)
	r, _ := startBacklogRelay(t, p, backlogOptions{})
	staying := submitAccepted(t, r, numberedMessages(10, 7, "stay", testMessage{})...) // so that nothing is loaded because capacity is free
	ids := submitAccepted(t, r, numberedMessages(4000, 7, "late", testMessage{timeLeft: 3 * time.Second})...)
	served := submitAccepted(t, r, numberedMessages(50, 8, "up", testMessage{})...)
	ends := p.collectNotices(t, 1)
	served = append(served, submitAccepted(t, r, numberedMessages(50, 8, "more", testMessage{})...)...)
	endpoint.expectOnce(t, served...)
	for id, status := range p.collectNotices(t, len(ids)-1) {
		ends[id] = status
	}
	for _, id := range ids {
		if ends[id] != deferred {
			t.Fatalf("%s ended as %q", id, ends[id])
		}
	}
	awaitMetrics(t, r, fmt.Sprintf("svc.in_flight=%d", len(staying)))
	want(t, "further notices", len(p.notices), 0)
}

// Guards against a message that is stored a second time or lost when its client sends it again, and against one that
// stays although its client disconnected unanswered.
func TestDuplicatesAndWithdrawalsOnDisk(t *testing.T) {
	r, faulty, endpoint, p, ids := startFaultyRelay(t, "status-update")
	last := ids[len(ids)-1]
	submitAccepted(t, r, testMessage{id: last, dest: 7}, testMessage{id: last, dest: 7})
	submitAccepted(t, r, testMessage{id: "twice", dest: 7}, testMessage{id: "twice", dest: 7}) // most likely in one turn of the loop
	ids = append(ids, "twice")
	awaitMetrics(t, r, "svc.in_flight=31")
	submitAndLeave := func(id string) int {
		req := httptest.NewRequest("POST", "/api", strings.NewReader("body of "+id))
		for k, v := range map[string]string{"X-Request-Id": id, "X-Class": "status-update", "X-Deadline-Ms": "60000", "X-Addressing": "dest=7"} {
			req.Header.Set(k, v)
		}
		clientContext := &leavingContext{Context: t.Context()}
		clientContext.checksLeft.Store(1)
		w, done := httptest.NewRecorder(), make(chan bool)
		go func() { r.serveAPI(w, req.WithContext(clientContext)); close(done) }()
		receive(t, done, "answer")
		return w.Code
	}
	want(t, "a client that leaves", submitAndLeave("left"), 503)
	awaitMetrics(t, r, "svc.in_flight=31")
	submitAndLeave(last) // sent twice before, so it is not withdrawn
	awaitMetrics(t, r, "svc.in_flight=31")
	runInLoop(t, r, func() { faulty.outErr = errDisk })
	want(t, "a client that leaves a message that cannot be removed", submitAndLeave("stays"), 202)
	runInLoop(t, r, func() { faulty.outErr, faulty.findErr = nil, errDisk })
	want(t, "status while the store cannot be searched", submit(t, r, testMessage{id: last, dest: 7})[0].status, 503)
	runInLoop(t, r, func() { faulty.findErr = nil })
	p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
	endpoint.expectOnce(t, append(ids, "stays")...)
	submitAccepted(t, r, testMessage{id: last, dest: 7}) // has ended by now
	awaitMetrics(t, r, "svc.in_flight=0")
	want(t, "messages that arrived", len(endpoint.awaitMessages(t, 32)), 32)
}

// Guards against a message that may have run already but is sent as if it were new where a second run does harm, and
// against one that cannot be decoded and never ends.
func TestDoubtfulAndUnreadableStoredMessages(t *testing.T) {
	for class, status := range map[string]string{"payment": undeliverable, "job-order": undeliverable, "status-update": ""} {
		r, faulty, endpoint, p, ids := startFaultyRelay(t, class)
		pending, _ := pendingAndStored(t, r)
		runInLoop(t, r, func() { faulty.markDoubtful = true })
		if status == "" {
			runInLoop(t, r, func() {
				faulty.store.Put(backlog.Message{ID: "strange", Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli(), Data: []byte{99}})
			})
		}
		p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
		if status == "" {
			endpoint.expectOnce(t, ids...)
			want(t, "end of a message that cannot be decoded", p.collectNotices(t, 1)["strange"], undeliverable)
		} else {
			endpoint.expectOnce(t, ids[:pending]...)
			for id, got := range p.collectNotices(t, len(ids)-pending) {
				want(t, class+" "+id+" ends", got, status)
			}
		}
		awaitMetrics(t, r, "svc.in_flight=0")
	}
}

// Guards against a message that is never sent because it is larger than the whole window.
func TestMessageLargerThanWindow(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false))
	r, _ := startBacklogRelay(t, p, backlogOptions{window: state.Load{Messages: 4, Bytes: 8 << 10}})
	var messages []testMessage
	for i := range 6 {
		id := fmt.Sprint("m.", i)
		messages = append(messages, testMessage{id: id, dest: 7, body: strings.Repeat("x", 60<<10)})
	}
	submitAccepted(t, r, messages...)
	pending, _ := pendingAndStored(t, r)
	want(t, "pending messages", pending, 1)
	p.publish(2, true, endpoint.server(7, true))
	endpoint.awaitMessages(t, 6)
	awaitMetrics(t, r, "svc.in_flight=0")
	for id, body := range endpoint.bodies {
		want(t, "length of "+id, len(body), 60<<10)
	}
}
