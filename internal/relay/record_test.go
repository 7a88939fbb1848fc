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

// Guards against an answer that does not follow from the record, as the loop ends with requests under way: one that is
// on record is owed its end, so its client must not be told to come again; and one that is not must not be told 202.
func TestTheRecordDecidesWhatIsSaidAtTheEnd(t *testing.T) {
	calls := make(chan *seen, 10000)
	for round := range 12 {
		p := newPlatform(t, at("s1", fakeHost(t, "s1", calls), "taller"))
		state := t.TempDir()
		conf, err := readTestConfig(t, testConfig(t, p), state)
		if err != nil {
			t.Fatal(err)
		}
		conf.Settings.MaxHeld = 10000
		r, err := New(conf)
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() { r.Serve(); close(ended) }()
		const clients = 60
		var all sync.WaitGroup
		var said atomic.Int32
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
			if s, _, err := answered(in); s != http.StatusOK {
				t.Fatal(s, err)
			}
			all.Go(func() {
				<-start
				fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: m%d\r\nX-Class: status-update\r\nX-Deadline-Ms: 15000\r\n"+
					"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi", k)
				var err error
				if status[k], _, err = answered(in); err != nil {
					status[k] = -1 // the connection was ended before the request was read
				}
				if said.Add(1) == int32(1+5*round) {
					r.stop()
				}
			})
		}
		close(start)
		all.Wait()
		r.stop()
		<-ended
		j, err := journal.Open(state, 3e6)
		if err != nil {
			t.Fatal(err)
		}
		counts := map[string]int{}
		for k := range clients {
			recorded := j.Entry(fmt.Sprint("m", k)) != nil
			counts[fmt.Sprint(status[k], recorded)]++
			if recorded != (status[k] == http.StatusAccepted) {
				t.Errorf("round %d: m%d is on record: %v, and its client was told %d", round, k, recorded, status[k])
			}
		}
		j.Close()
		t.Logf("round %d: %v", round, counts)
	}
}

// Guards against a client told to come again with a message that the next process may have taken on before it died: the one
// after it delivers what is on record.
func TestNoWordOfTheNextProcess(t *testing.T) {
	for effect, status := range map[choice.Effect]int{choice.Safe: 503, choice.Keyed: 500, choice.Unsafe: 500} {
		in := &intake{entry: &journal.Entry{ID: "m", Terms: &choice.Terms{Class: choice.Class{Effect: effect}}}, reply: make(chan answer, 1)}
		r := &Relay{quit: make(chan struct{}), succession: succession{asked: map[int64]*intake{1: in}}}
		r.heirGone()
		want(t, "status", wait(t, in.reply, "answer").status, status)
		want(t, "asked", len(r.asked), 0)
	}
	unknown := &intake{entry: &journal.Entry{ID: "m"}, reply: make(chan answer, 1)}
	r := &Relay{succession: succession{asked: map[int64]*intake{1: unknown}}}
	r.lastWord()
	want(t, "status of one whose class is not known here", wait(t, unknown.reply, "answer").status, 500)
}

// BenchmarkStartWithAFullJournal is a start up to the decisions' first look, with as many messages as the disk holds.
func BenchmarkStartWithAFullJournal(b *testing.B) {
	p := newPlatform(b, at("s1", "127.0.0.1:1", "taller"))
	terms := &choice.Terms{Class: choice.Class{Name: "status-update", Aim: time.Second, Deadline: time.Hour, Worth: 1}, Attempts: 6}
	held := 0
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
		for held = 0; ; held++ {
			e := &journal.Entry{ID: fmt.Sprintf("%016x", held), Class: "status-update", Dest: 7, Due: time.Now().Add(time.Hour).UnixMilli(),
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
		r.tcp.Close()
		r.journal.Close()
		b.StartTimer()
	}
	b.ReportMetric(float64(held), "messages")
}
