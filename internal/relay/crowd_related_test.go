package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/journal"
)

// adminCrowdSize is the number of peers at the admin address, more than it lets connect.
const adminCrowdSize = 200

// Guards against peers at the admin address that make the process pass its memory limit, keep its operators from their
// answers, or get neither an error nor a close.
func TestCrowdAtAdminAddress(t *testing.T) {
	for _, behaviour := range crowdBehaviours {
		t.Run(behaviour.name, func(t *testing.T) {
			platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
			relay := startLimitedProcess(t, platform, t.TempDir(), nil)
			orderly := startOrderlyClients(relay.addr, "o", 10, 100*time.Millisecond)
			peers := startCrowd(relay.admin, adminCrowdSize, behaviour.behave)
			ready, asked := 0, 0
			operator := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for start := time.Now(); time.Since(start) < crowdDuration/2; time.Sleep(50 * time.Millisecond) {
				asked++
				if resp, err := operator.Get("http://" + relay.admin + "/ready"); err == nil {
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						ready++
					}
				}
			}
			t.Logf("%d of %d calls of the operator were served", ready, asked)
			if float64(ready) < crowdServedShare*float64(asked) {
				t.Errorf("%d of %d calls of the operator were served, want %v of them", ready, asked, crowdServedShare)
			}
			peers.check(t)
			orderly.check(t, 1)
			relay.checkMemory(t)
		})
	}
}

// Guards against a start that passes the memory limit because the journal is full, in a crowd that is already there.
func TestStartWithFullJournalInCrowd(t *testing.T) {
	state := t.TempDir()
	fillJournal(t, state)
	platform := newFakePlatform(t, testEndpointOf(8, "s-2", newServingHost(t, nil)))
	relay := startLimitedProcess(t, platform, state, nil)
	peers := startCrowd(relay.addr, crowdSize, func(conn net.Conn, number int) {
		io.WriteString(conn, messageHead(number, maxBodyBytes)+"\r\n")
		conn.Write(make([]byte, maxBodyBytes-1000))
	})
	time.Sleep(crowdDuration)
	peers.check(t)
	relay.checkMemory(t)
}

// fillJournal writes as many messages as the journal has space for, whose destination is not listed.
func fillJournal(t *testing.T, state string) {
	t.Helper()
	j, err := journal.Open(state, 3e6-smallFilesBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	due := time.Now().Add(time.Minute).UnixMilli()
	for i := 0; ; i++ {
		entry := &journal.Entry{ID: longName(i), Class: "status-update", Dest: 7, Due: due, Body: []byte(strings.Repeat("b", 30000))}
		if j.Append(journal.Record{Op: journal.OpAccepted, Entry: entry}) != nil {
			return
		}
	}
}

// Guards against answers of endpoints whose heads make the process pass its memory limit: as many as there may be calls
// at a time, each no larger than one may be.
func TestAnswersOfShortFieldsStayWithinMemoryLimit(t *testing.T) {
	for name, head := range map[string]string{
		"short fields": "HTTP/1.1 503 Service Unavailable\r\n" + string(shortFields(15000)),
		"long fields":  "HTTP/1.1 503 Service Unavailable\r\n" + strings.Repeat("X-More: "+strings.Repeat("x", 1000)+"\r\n", 15),
	} {
		t.Run(name, func(t *testing.T) {
			platform := newFakePlatform(t, testEndpoint("s-1", newStallingHost(t, head), "taller"))
			relay := startLimitedProcess(t, platform, t.TempDir(), func(config string) string {
				return strings.Replace(config, `"workers":7`, `"workers":27`, 1)
			})
			orderly := startOrderlyClients(relay.addr, "o", 40, 20*time.Millisecond)
			time.Sleep(crowdDuration)
			orderly.check(t, 0)
			relay.checkMemory(t)
		})
	}
}

// newStallingHost starts an endpoint that answers each call with the start of a head and no more.
func newStallingHost(t *testing.T, head string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				conn.Read(make([]byte, 4096))
				io.WriteString(conn, head)
				io.Copy(io.Discard, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an upgrade in a crowd that makes the two processes together pass the limit that they share. Pages of the
// program's file, which they have in common, count once.
func TestUpgradeInCrowdStaysWithinMemoryLimit(t *testing.T) {
	platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
	state := t.TempDir()
	old := startLimitedProcess(t, platform, state, nil)
	orderly := startOrderlyClients(old.addr, "o", 10, 100*time.Millisecond)
	peers := startCrowd(old.addr, crowdSize, func(conn net.Conn, number int) {
		io.WriteString(conn, messageHead(number, maxBodyBytes)+"\r\n")
		conn.Write(make([]byte, maxBodyBytes-1000))
	})
	time.Sleep(crowdDuration / 4)
	next := startLimitedProcessAt(t, platform, state, old.addr, nil)
	var most int64
	sample := func(duration time.Duration) {
		for start := time.Now(); time.Since(start) < duration; time.Sleep(5 * time.Millisecond) {
			files := max(old.statusBytes("RssFile"), next.statusBytes("RssFile"))
			most = max(most, old.statusBytes("RssAnon")+next.statusBytes("RssAnon")+files+old.maxFiles.Load())
		}
	}
	sample(crowdDuration / 4)
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	sample(crowdDuration)
	t.Logf("both processes and their files: %.1f MB at most", float64(most)/1e6)
	if most > smallestMemoryMB*1e6 {
		t.Errorf("both processes together had %.1f MB, want at most %d", float64(most)/1e6, smallestMemoryMB)
	}
	peers.check(t)
	orderly.check(t, crowdServedShare)
	next.checkMemory(t)
}

// Guards against a limit on connections that keeps out clients which hold a third of the descriptors, as they may, while a
// crowd is there.
func TestThirdOfDescriptorsIsServedInCrowd(t *testing.T) {
	platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
	relay := startLimitedProcess(t, platform, t.TempDir(), nil)
	orderly := startOrderlyClients(relay.addr, "o", mostSockets/3-10, 2*time.Second)
	time.Sleep(crowdDuration / 2)
	peers := startCrowd(relay.addr, crowdSize/2, func(conn net.Conn, number int) {
		crowdBehaviours[number%len(crowdBehaviours)].behave(conn, number)
	})
	time.Sleep(crowdDuration)
	peers.check(t)
	orderly.check(t, crowdServedShare)
	relay.checkMemory(t)
}
