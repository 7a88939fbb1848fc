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

// Guards against a kill right behind the answer that takes a message on: its record has to be in the file before the answer
// leaves the loop. The answer has nobody who takes it here, so the loop stands right there while the file is read.
func TestARecordComesBeforeItsAnswer(t *testing.T) {
	state := t.TempDir()
	conf, err := readTestConfig(t, testConfig(t, newPlatform(t, at("s1", "127.0.0.1:1", "taller"))), state)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	defer r.tcp.Close()
	defer r.endCalls(errStopping)
	in := &intake{entry: &journal.Entry{ID: "m1", Class: "status-update", Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli(),
		Terms: r.set.Load().terms(r.set.Load().class("status-update", 0), true, 0)},
		due: r.now() + time.Minute, ctx: context.Background(), reply: make(chan answer)}
	stepped := make(chan bool)
	go func() { r.take(in); r.step(); close(stepped) }()
	// The answer may be on its way only once the file has the record; before that there is nothing to wait for but the record.
	answered := make(chan answer, 1)
	on := func() bool {
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
	for end := time.Now().Add(time.Second); !on(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the answer waits to go, and the message is not on record")
		}
	}
	go func() { answered <- <-in.reply }()
	want(t, "status", wait(t, answered, "answer").status, http.StatusAccepted)
	wait(t, stepped, "end of the step")
}

// Guards against taking a message on only once it is delivered: its endpoint answers only after the client has its answer.
func TestTakenOnBeforeItIsDelivered(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	status := make(chan int, 1)
	go func() {
		code, _ := hand(t, r.Addr(), "m1", "payment", "X-Deadline-Ms", "3000")
		status <- code
	}()
	c := wait(t, calls, "call")
	select {
	case code := <-status:
		want(t, "status", code, http.StatusAccepted)
	case <-time.After(2 * time.Second):
		t.Error("no answer while the call is out")
	}
	c.answer <- http.StatusOK
}

// Guards against a client that is misread because it writes slowly, in pieces, many requests at once or in another of the
// forms that HTTP allows: each gets its answer, and each body reaches the endpoint as it was.
func TestRequestsInPiecesAndForms(t *testing.T) {
	calls := make(chan *seen, 100)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
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
			status, _, err := answered(in)
			if err != nil {
				t.Fatal(name, err)
			}
			want(t, "status of "+name, status, http.StatusAccepted)
		}
	}
	came := map[string]string{}
	for len(came) < 6 {
		c := wait(t, calls, "call")
		came[c.id] = c.body
		c.answer <- http.StatusOK
	}
	for _, id := range []string{"bytes", "other", "many", "many-2", "many-3"} {
		want(t, "body of "+id, came[id], body)
	}
	want(t, "body of empty", came["empty"], "")
}

// Guards against a restarted relay that turns away all that it gets: what it found untried waits for an endpoint that never
// answers and takes three quarters of the room, and what is handed in for another one is still taken on and sent.
func TestAFullRoomAfterARestartStillServes(t *testing.T) {
	const room = 40
	calls := make(chan *seen, 1000)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 1000)), "taller"))
	other := at("s-2", fakeHost(t, "b", calls), "taller")
	other.Cell = 8
	p.now.Servers = append(p.now.Servers, other)
	state := t.TempDir()
	j, err := journal.Open(state, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	terms := &choice.Terms{Class: choice.Class{Name: "status-update", Aim: time.Second, Deadline: time.Minute, Worth: 1}, Attempts: 6}
	for k := range room * 3 / 4 {
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
	conf.Settings.MaxHeld = room
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { r.Serve(); close(done) }()
	t.Cleanup(func() { r.stop(); <-done })
	for k := range 2 * room {
		id := fmt.Sprint("new", k)
		status, _ := hand(t, r.Addr(), id, "payment", "X-Addressing", "dest=8")
		want(t, "status of "+id, status, http.StatusAccepted)
		c := wait(t, calls, "call")
		want(t, "id of the call", c.id, id)
		c.answer <- http.StatusOK
		for over := make(chan bool, 1); ; time.Sleep(time.Millisecond) { // the room is free again
			r.post(func() { over <- r.held[id] == nil })
			if <-over {
				break
			}
		}
	}
}
