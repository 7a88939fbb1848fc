package relay

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"testing"
	"time"
)

const floodDuration = 4 * time.Second

// flood keeps one connection to a relay busy: it writes requests as fast as the relay takes them, reads whatever comes
// back, and connects again when the connection ends.
type flood struct {
	stop, ended chan struct{}
	requests    int
}

// startFlood starts a flood of requests, each made by request from its number.
func startFlood(addr string, request func(number int) string) *flood {
	f := &flood{stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(f.ended)
		for {
			select {
			case <-f.stop:
				return
			default:
			}
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			f.connection(conn, request)
		}
	}()
	return f
}

// connection floods one connection until it ends.
func (f *flood) connection(conn net.Conn, request func(number int) string) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * floodDuration))
	readEnded := make(chan struct{})
	go func() {
		defer close(readEnded)
		io.Copy(io.Discard, conn)
		conn.Close()
	}()
	go func() {
		select {
		case <-f.stop: // a write may wait for the relay
			conn.Close()
		case <-readEnded:
		}
	}()
	writer := bufio.NewWriterSize(conn, 16<<10)
	for {
		select {
		case <-f.stop:
			conn.Close()
			<-readEnded
			return
		default:
		}
		if _, err := writer.WriteString(request(f.requests)); err != nil {
			<-readEnded
			return
		}
		f.requests++
	}
}

// end stops the flood.
func (f *flood) end() {
	close(f.stop)
	<-f.ended
}

// messageWith returns a message with a short body and the given further header lines, each with its line end.
func messageWith(id, class, dest, more string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: " + class + "\r\nX-Deadline-Ms: 9000\r\nX-Addressing: dest=" + dest +
		"\r\n" + more + "Content-Length: 2\r\n\r\nhi"
}

// longName returns a name of the greatest length that is different for each number.
func longName(number int) string {
	return fmt.Sprintf("%0*d", maxNameBytes, number)
}

// floods is what one client sends at full speed.
var floods = []struct {
	name    string
	request func(number int) string
}{
	{"small requests", func(int) string { return "GET /up HTTP/1.1\r\nHost: x\r\n\r\n" }},
	{"messages under new ids", func(n int) string { return messageWith(longName(n), "status-update", "7", "") }},
	{"messages for new destinations", func(n int) string { return messageWith(longName(n), "status-update", fmt.Sprint(100+n), "") }},
	{"messages of new tenants under new keys", func(n int) string {
		return messageWith(longName(n), "job-order", "7", "X-Tenant: "+longName(n)+"\r\nIdempotency-Key: "+longName(n)+"\r\n")
	}},
	{"messages of new classes", func(n int) string { return messageWith(longName(n), longName(n), "7", "") }},
	{"requests for new paths", func(n int) string { return "GET /" + longName(n) + " HTTP/1.1\r\nHost: x\r\n\r\n" }},
	{"new fields", func(n int) string { return messageWith(longName(n), "status-update", "7", "X-"+longName(n)+": 1\r\n") }},
	{"no requests", func(int) string { return strings.Repeat("x\r\n", 100) }},
	{"empty lines", func(int) string { return strings.Repeat("\r\n", 100) }},
}

// Guards against one client that keeps others from their answers, or makes memory grow, by sending small or unsound
// requests as fast as it can, also under names that never come twice.
func TestFloodOfOneClientLeavesOthersTheirAnswers(t *testing.T) {
	for _, test := range floods {
		t.Run(test.name, func(t *testing.T) {
			platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"), testEndpointOf(8, "s-2", newServingHost(t, nil)))
			relay := startLimitedProcess(t, platform, t.TempDir(), nil)
			orderly := startOrderlyClients(relay.addr, "o", 10, 100*time.Millisecond)
			flooding := startFlood(relay.addr, test.request)
			time.Sleep(floodDuration / 2)
			before := relay.statusBytes("VmRSS")
			time.Sleep(floodDuration / 2)
			after := relay.statusBytes("VmRSS")
			flooding.end()
			t.Logf("flood: %d requests; memory half way %.1f MB, at the end %.1f MB", flooding.requests, float64(before)/1e6, float64(after)/1e6)
			orderly.check(t, 0)
			relay.checkMemory(t)
		})
	}
}

// Guards against a flood of messages that holds up others once the journal is full, because the platform takes no notices.
func TestFloodWithFullJournalLeavesOthersTheirAnswers(t *testing.T) {
	platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
	platform.failingNotices = math.MaxInt
	state := t.TempDir()
	fillJournal(t, state)
	relay := startLimitedProcess(t, platform, state, nil)
	orderly := startOrderlyClients(relay.addr, "o", 10, 100*time.Millisecond)
	flooding := startFlood(relay.addr, func(n int) string { return messageWith(longName(n), "status-update", "7", "") })
	time.Sleep(floodDuration)
	flooding.end()
	orderly.check(t, 0)
	relay.checkMemory(t)
}
