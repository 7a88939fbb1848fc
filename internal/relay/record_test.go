package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// Guards against answers that do not match the journal when the loop ends with requests in progress. A message on
// record will be ended, so its client must not be told to retry; one that is not on record must not be answered 202.
func TestAnswersAtStopFollowTheRecord(t *testing.T) {
	calls := make(chan *receivedCall, 10000)
	for round := range 12 {
		p := newFakePlatform(t, testEndpoint("s1", newFakeHost(t, "s1", calls), "taller"))
		state := t.TempDir()
		conf, err := readTestConfig(t, testConfig(t, p), state)
		if err != nil {
			t.Fatal(err)
		}
		conf.Settings.MaxPending = 10000
		r, err := New(conf)
		if err != nil {
			t.Fatal(err)
		}
		loopEnded := make(chan struct{})
		go func() { r.Serve(); close(loopEnded) }()
		const clients = 60
		var requests sync.WaitGroup
		var answers atomic.Int32
		start := make(chan struct{})
		status := make([]int, clients)
		for k := range clients {
			conn, err := net.Dial("tcp", r.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			io.WriteString(conn, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
			if s, _, err := readResponse(in); s != http.StatusOK {
				t.Fatal(s, err)
			}
			requests.Go(func() {
				<-start
				fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: m%d\r\nX-Class: status-update\r\nX-Deadline-Ms: 15000\r\n"+
					"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi", k)
				var err error
				if status[k], _, err = readResponse(in); err != nil {
					status[k] = -1 // the connection was closed before the request was read
				}
				if answers.Add(1) == int32(1+5*round) {
					r.stop()
				}
			})
		}
		close(start)
		requests.Wait()
		r.stop()
		<-loopEnded
		j, err := journal.Open(state, 3e6)
		if err != nil {
			t.Fatal(err)
		}
		counts := map[string]int{}
		for k := range clients {
			recorded := j.Entry(fmt.Sprint("m", k)) != nil
			counts[fmt.Sprint(status[k], recorded)]++
			if recorded != (status[k] == http.StatusAccepted) {
				t.Errorf("round %d: m%d is on record: %v, but its client was answered %d", round, k, recorded, status[k])
			}
		}
		j.Close()
		t.Logf("round %d: %v", round, counts)
	}
}

// Guards against a client that is told to retry a message which the next process may have accepted before it died:
// the process after that delivers what is on record.
func TestNextProcessExitsWithoutAnswering(t *testing.T) {
	for effect, status := range map[choice.Effect]int{choice.Safe: 503, choice.Keyed: 500, choice.Unsafe: 500} {
		request := &apiRequest{entry: &journal.Entry{ID: "m", Terms: &choice.Terms{Class: choice.Class{Effect: effect}}}, reply: make(chan apiResponse, 1)}
		r := &Relay{quit: make(chan struct{}), handoverState: handoverState{forwardedRequests: map[int64]*apiRequest{1: request}}}
		r.nextProcessExited()
		want(t, "status", receive(t, request.reply, "answer").status, status)
		want(t, "asked", len(r.forwardedRequests), 0)
	}
	unknown := &apiRequest{entry: &journal.Entry{ID: "m"}, reply: make(chan apiResponse, 1)}
	r := &Relay{handoverState: handoverState{forwardedRequests: map[int64]*apiRequest{1: unknown}}}
	r.answerAtExit()
	want(t, "status of a message of unknown class", receive(t, unknown.reply, "answer").status, 500)
}

// BenchmarkStartWithAFullJournal measures a start up to the first step of the Chooser, with as many messages as the
// disk holds.
func BenchmarkStartWithAFullJournal(b *testing.B) {
	p := newFakePlatform(b, testEndpoint("s1", "127.0.0.1:1", "taller"))
	terms := &choice.Terms{Class: choice.Class{Name: "status-update", Aim: time.Second, Deadline: time.Hour, Worth: 1}, Attempts: 6}
	messages := 0
	for b.Loop() {
		b.StopTimer()
		state := b.TempDir()
		conf, err := readTestConfig(b, testConfig(b, p), state)
		if err != nil {
			b.Fatal(err)
		}
		j, err := journal.Open(state, int64(conf.DiskMB*1e6))
		if err != nil {
			b.Fatal(err)
		}
		for messages = 0; ; messages++ {
			e := &journal.Entry{ID: fmt.Sprintf("%016x", messages), Class: "status-update", Dest: 7, Due: time.Now().Add(time.Hour).UnixMilli(),
				Body: make([]byte, 200), Terms: terms}
			if j.Append(journal.Record{Op: journal.OpAccepted, Entry: e}) != nil {
				break
			}
		}
		j.Close()
		b.StartTimer()
		r, err := New(conf)
		if err != nil {
			b.Fatal(err)
		}
		r.step()
		b.StopTimer()
		r.tcpListener.Close()
		r.journal.Close()
		b.StartTimer()
	}
	b.ReportMetric(float64(messages), "messages")
}
