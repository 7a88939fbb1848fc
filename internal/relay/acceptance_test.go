package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// Guards against losing a message when the process is killed right after it answered 202: the record has to be in the
// file before the answer leaves the loop. Nobody receives the answer here, so the loop blocks right there while the
// file is read.
func TestRecordIsWrittenBeforeAnswer(t *testing.T) {
	state := t.TempDir()
	conf, err := readTestConfig(t, testConfig(t, newFakePlatform(t, testEndpoint("s1", "127.0.0.1:1", "taller"))), state)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	defer r.tcpListener.Close()
	defer r.cancelCalls(errStopping)
	in := &apiRequest{entry: &journal.Entry{ID: "m1", Class: "status-update", Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli(),
		Terms: r.settings.Load().termsFor("status-update", true, 0)},
		due: r.now() + time.Minute, ctx: context.Background(), reply: make(chan apiResponse)}
	stepped := make(chan bool)
	go func() { r.submit(in); r.step(); close(stepped) }()
	// The answer is received only once the file has the record; until then the test waits for nothing but the record.
	answered := make(chan apiResponse, 1)
	recorded := func() bool {
		data, err := os.ReadFile(filepath.Join(state, "journal"))
		if err != nil {
			t.Fatal(err)
		}
		copied := t.TempDir()
		if err := os.WriteFile(filepath.Join(copied, "journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		j, err := journal.Open(copied, 3e6)
		if err != nil {
			t.Fatal(err)
		}
		defer j.Close()
		return j.Entry("m1") != nil
	}
	for end := time.Now().Add(time.Second); !recorded(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the answer is ready, but the message is not on record")
		}
	}
	go func() { answered <- <-in.reply }()
	want(t, "status", receive(t, answered, "answer").status, http.StatusAccepted)
	receive(t, stepped, "end of the step")
}

// Guards against accepting a message only once it is delivered: its endpoint answers only after the client has its
// answer.
func TestAcceptedBeforeDelivery(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	r := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	status := make(chan int, 1)
	go func() {
		code, _ := postMessage(t, r.Addr(), "m1", "payment", "X-Deadline-Ms", "3000")
		status <- code
	}()
	c := receive(t, calls, "call")
	select {
	case code := <-status:
		want(t, "status", code, http.StatusAccepted)
	case <-time.After(2 * time.Second):
		t.Error("no answer while the call is in flight")
	}
	c.answer <- http.StatusOK
}

// Guards against misreading a client that writes slowly, in fragments, several requests at once or in another of the
// forms that HTTP allows: each request gets its answer, and each body reaches the endpoint unchanged.
func TestFragmentedPipelinedAndUnusualRequests(t *testing.T) {
	calls := make(chan *receivedCall, 100)
	r := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	body := "\r\n\x00\xffPOST /api HTTP/1.1\r\n\r\n"
	plain := func(id string) string {
		return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: payment\r\nX-Deadline-Ms: 9000\r\n"+
			"X-Addressing: dest=7\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	forms := map[string]string{
		"bytes": plain("bytes"),
		"other": fmt.Sprintf("POST http://api.internal/api HTTP/1.1\r\ncontent-length:%d\r\nx-addressing:\tzone=a; dest=7 \r\nX-DEADLINE-MS:9000\r\n"+
			"x-class:  payment  \r\nHOST:api.internal\r\nx-request-id:other\r\n\r\n%s", len(body), body),
		"empty": "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: empty\r\nX-Class: payment\r\nX-Deadline-Ms: 9000\r\nX-Addressing: dest=7\r\n" +
			"Content-Length: 0\r\n\r\n",
		"many": plain("many") + plain("many-2") + plain("many-3"),
	}
	for name, text := range forms {
		conn, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		size := len(text)
		if name == "bytes" {
			size = 1
		}
		go func() {
			for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
				io.WriteString(conn, rest[:min(size, len(rest))])
			}
		}()
		in := bufio.NewReader(conn)
		for range strings.Count(text, "-Ms: ") + strings.Count(text, "-MS:") {
			status, _, err := readResponse(in)
			if err != nil {
				t.Fatal(name, err)
			}
			want(t, "status of "+name, status, http.StatusAccepted)
		}
	}
	received := map[string]string{}
	for len(received) < 6 {
		c := receive(t, calls, "call")
		received[c.id] = c.body
		c.answer <- http.StatusOK
	}
	for _, id := range []string{"bytes", "other", "many", "many-2", "many-3"} {
		want(t, "body of "+id, received[id], body)
	}
	want(t, "body of empty", received["empty"], "")
}

// Guards against a restarted relay that refuses all messages: the untried ones that it found wait for an endpoint
// that never answers and take three quarters of the capacity, and messages for another endpoint are still accepted
// and sent.
func TestNearlyFullRelayServesAfterRestart(t *testing.T) {
	const capacity = 40
	calls := make(chan *receivedCall, 1000)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", make(chan *receivedCall, 1000)), "taller"))
	otherServer := testEndpoint("s-2", newFakeHost(t, "b", calls), "taller")
	otherServer.Cell = 8
	p.list.Servers = append(p.list.Servers, otherServer)
	state := t.TempDir()
	j, err := journal.Open(state, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	terms := &choice.Terms{Class: choice.Class{Name: "status-update", Aim: time.Second, Deadline: time.Minute, Worth: 1}, Attempts: 6}
	for k := range capacity * 3 / 4 {
		e := &journal.Entry{ID: fmt.Sprint("old", k), Class: "status-update", Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli(), Terms: terms}
		if err := j.Append(journal.Record{Op: journal.OpAccepted, Entry: e}); err != nil {
			t.Fatal(err)
		}
	}
	j.Close()
	conf, err := readTestConfig(t, testConfig(t, p), state)
	if err != nil {
		t.Fatal(err)
	}
	conf.Settings.MaxPending = capacity
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { r.Serve(); close(done) }()
	t.Cleanup(func() { r.stop(); <-done })
	for k := range 2 * capacity {
		id := fmt.Sprint("new", k)
		status, _ := postMessage(t, r.Addr(), id, "payment", "X-Addressing", "dest=8")
		want(t, "status of "+id, status, http.StatusAccepted)
		c := receive(t, calls, "call")
		want(t, "id of the call", c.id, id)
		c.answer <- http.StatusOK
		for ended := make(chan bool, 1); ; time.Sleep(time.Millisecond) { // until the capacity is free again
			r.post(func() { ended <- r.pending[id] == nil })
			if <-ended {
				break
			}
		}
	}
}
