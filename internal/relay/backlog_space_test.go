package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/backlog/state"
	"larchrouter/internal/journal"
)

// Messages on disk while the journal has little space.

const largeBodyBytes = 60 << 10

// smallJournal leaves the journal 1.1 MB, little more than the least that is accepted.
func smallJournal(conf *Config) { conf.DiskMB, conf.Backlog.DiskMB = 3, 1.9 }

// startSmallJournalRelay starts a relay whose journal has little space, with the window of its configuration.
func startSmallJournalRelay(t *testing.T, p *fakePlatform, stateDir string) (*Relay, func()) {
	t.Helper()
	var window state.Load
	options := backlogOptions{stateDir: stateDir, changeConfig: func(conf *Config) {
		smallJournal(conf)
		window = conf.backlogWindow()
	}}
	r, err := newBacklogRelay(t, p, options)
	if err != nil {
		t.Fatal(err)
	}
	r.overflow.window.Capacity = window
	return r, serveUntilStopped(t, r)
}

func largeMessages(n, dest int, name string, timeLeft time.Duration) []testMessage {
	return numberedMessages(n, dest, name, testMessage{timeLeft: timeLeft, body: strings.Repeat("x", largeBodyBytes)})
}

// Guards against large messages that are never loaded from disk because the journal has no space for as many as one turn
// loads at once.
func TestLargeMessagesLeaveDiskWithSmallJournal(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, true), endpoint.server(8, true))
	r, _ := startSmallJournalRelay(t, p, "")
	ids := submitAccepted(t, r, largeMessages(20, 7, "m", 0)...)
	endpoint.awaitMessages(t, len(ids))
	awaitMetrics(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
	for _, id := range ids {
		want(t, "length of "+id, len(endpoint.bodies[id]), largeBodyBytes)
	}
}

// wantNoticesInTime fails unless each message ends as deferred by the time limit of notices.
func wantNoticesInTime(t *testing.T, p *fakePlatform, ids []string, due time.Time) {
	t.Helper()
	ends := p.collectNotices(t, len(ids))
	if late := time.Since(due); late > noticeTimeLimit {
		t.Errorf("the last notice came %v after the messages were due, want %v at most", late, noticeTimeLimit)
	}
	for _, id := range ids {
		want(t, "end of "+id, ends[id], deferred)
	}
}

// noticeTimeLimit is how long after a message's time is up its notice must have come (PROTOCOL, "The rules on sockets").
const noticeTimeLimit = 300 * time.Millisecond

// Guards against large messages on disk whose time is up and that get no notice, because the journal has no space for
// their bodies.
func TestLargeMessagesExpireWithSmallJournal(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false))
	r, _ := startSmallJournalRelay(t, p, "")
	const timeLeft = 3 * time.Second
	ids := submitAccepted(t, r, largeMessages(20, 7, "m", timeLeft)...)
	due := time.Now().Add(timeLeft)
	wantNoticesInTime(t, p, ids, due)
	awaitMetrics(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
}

// Guards against messages on disk whose time is up while other messages fill the journal: they get no notice until those
// have ended.
func TestMessagesExpireBesideFullJournal(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false), endpoint.server(8, true))
	r, _ := startSmallJournalRelay(t, p, "")
	for n := range 20 { // a destination that is served gets a large part of the window
		submitAccepted(t, r, largeMessages(1, 8, fmt.Sprint("served", n), 0)...)
		endpoint.awaitMessages(t, n+1)
	}
	p.publish(2, true, endpoint.server(7, false), endpoint.server(8, false))
	for _, bodyBytes := range []int{largeBodyBytes, 8 << 10, 1} {
		for n := range 100 {
			message := testMessage{id: fmt.Sprintf("waiting.%d.%d", bodyBytes, n), dest: 8, body: strings.Repeat("x", bodyBytes)}
			if submit(t, r, message)[0].status != 202 {
				break
			}
		}
	}
	const timeLeft = 2 * time.Second
	expiring := submitAccepted(t, r, numberedMessages(100, 7, "expiring", testMessage{timeLeft: timeLeft, body: strings.Repeat("x", 3<<10)})...)
	due := time.Now().Add(timeLeft)
	wantNoticesInTime(t, p, expiring, due)
}

// Guards against messages that expired on disk while no process ran, and that get no notice after the start because the
// journal has no space for all of them at once.
func TestMessagesExpiredBeforeStartEndWithSmallJournal(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	stateDir := t.TempDir()
	p := newFakePlatform(t, endpoint.server(7, false))
	p.notices = make(chan notice, 1000)
	r, stop := startSmallJournalRelay(t, p, stateDir)
	const timeLeft = 2 * time.Second
	ids := submitAccepted(t, r, numberedMessages(300, 7, "m", testMessage{timeLeft: timeLeft, body: strings.Repeat("x", 3<<10)})...)
	ids = append(ids, submitAccepted(t, r, largeMessages(5, 7, "large", timeLeft)...)...)
	due := time.Now().Add(timeLeft)
	stop()
	time.Sleep(time.Until(due) + noticeTimeLimit)
	started := time.Now()
	startSmallJournalRelay(t, p, stateDir)
	wantNoticesInTime(t, p, ids, started.Add(time.Second))
}

// Guards against a message that is sent without its body, because it was recorded to be ended and the process was killed
// before that.
func TestMessageRecordedToBeEndedIsNotSent(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, true))
	stateDir := t.TempDir()
	recorded, err := journal.Open(stateDir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	expired := &journal.Entry{ID: "expired", Class: "status-update", Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli(), Tries: journal.NoMoreTries}
	if err := recorded.Append(journal.Record{Op: journal.OpAccepted, Entry: expired}); err != nil {
		t.Fatal(err)
	}
	recorded.Close()
	startSmallJournalRelay(t, p, stateDir)
	want(t, "end", p.collectNotices(t, 1)[expired.ID], deferred)
	want(t, "messages that arrived", len(endpoint.awaitMessages(t, 0)), 0)
}
