package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
)

// The handover to the next process of this relay (an upgrade) while clients stay connected. The next process connects
// to a Unix socket in the state directory. This process then passes it the client listener itself, so that no
// connection in the accept queue is refused, and the state that the journal does not hold. Once the next process has
// confirmed that it has everything, it alone makes decisions and writes the journal. This process lets its calls and
// client connections finish, and forwards their results and messages.

const (
	handoverSocket   = "handover"
	handoverHello    = "larchrouter handover 1\n"
	handoverAccepted = "taken\n"
	// handoverTimeout bounds how long one side waits for the other. The loop blocks for at most that long on work
	// that takes the next process milliseconds; clients wait 400 ms.
	handoverTimeout = 2 * time.Second
	// lateDialLimit is how long after a handover a call may still get its connection. This process no longer receives
	// updates that say whether the host is draining.
	lateDialLimit = 500 * time.Millisecond
	// maxHandoverRequests bounds how many next processes may wait for a handover: one that has died, and the one
	// started in its place.
	maxHandoverRequests = 2
	linkQueueLength     = 4096 // lines; a link is closed when its queue is full
)

// handoverSnapshot is the state that the next process needs besides the journal.
type handoverSnapshot struct {
	Version      int64              `json:"version"`
	Servers      []discovery.Server `json:"servers"`
	Departed     []discovery.Server `json:"gone"` // no longer listed, but with calls in flight
	Memory       choice.Snapshot    `json:"memory"`
	RunningCalls []runningCall      `json:"calls"`
	EndedIDs     []string           `json:"past,omitempty"`   // messages that ended recently, from an earlier version of the program
	Ended        recentIDsSnapshot  `json:"ended"`            // messages that ended recently
	ClientConns  int                `json:"peers"`            // open client connections of the sending process
	Writer       string             `json:"writer,omitempty"` // writer name under which the replicas know the replication groups
}

// runningCall is a call that continues in the process that handed over.
type runningCall struct {
	Host    string        `json:"host"`
	Elapsed time.Duration `json:"ago"` // since it was sent
	IDs     []string      `json:"ids"`
}

// handoverUpdate is an update that the process that handed over sends to the next one: a client's message, or the result
// of an attempt.
type handoverUpdate struct {
	RequestID int64            `json:"n,omitempty"`
	Entry     *journal.Entry   `json:"take,omitempty"` // a client's message; its reply carries the same RequestID
	TimeLeft  time.Duration    `json:"left,omitempty"`
	Result    *forwardedResult `json:"end,omitempty"`
}

type forwardedResult struct {
	ID         string         `json:"id"`
	Outcome    choice.Outcome `json:"outcome"`
	Done       bool           `json:"done,omitempty"`
	Elapsed    time.Duration  `json:"took"`
	RetryAfter time.Duration  `json:"wait,omitempty"`
	LoadReport string         `json:"load,omitempty"`
	StaleConn  bool           `json:"stale,omitempty"`
}

// handoverReply is what the next process sends to the previous one: the answer to a forwarded message, or the order
// to cancel a call.
type handoverReply struct {
	RequestID  int64         `json:"n,omitempty"`
	Status     int           `json:"status,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
	Text       string        `json:"text,omitempty"`
	CancelID   string        `json:"cancel,omitempty"` // a message of the call to cancel
}

// handoverState is the state of a relay's handovers, from the previous process and to the next one.
type handoverState struct {
	previousProcess   *previousProcess      // nil if there was none
	handoverListener  *net.UnixListener     // accepts requests of the next process; nil if it could not be opened
	handoverRequests  []*net.UnixConn       // connections of next processes, oldest first; the first one may have died since
	deferredRequests  []*apiRequest         // arrived after the request; accepted once the handover is over
	nextProcess       *processLink          // nil until it has taken over
	forwardedRequests map[int64]*apiRequest // by RequestID: forwarded messages without a reply yet
	lastForwardedID   int64
	handedOverAt      atomic.Int64 // steady Unix nanoseconds; 0 before the handover
}

// awaitAccepted waits for the next process to confirm that it has taken over. A confirmation that arrives just as the
// wait times out still counts, since otherwise both processes would continue as this relay. A later one fails on the
// other side, because this side has closed its end for reading.
func awaitAccepted(conn *net.UnixConn) error {
	reply := make([]byte, len(handoverAccepted))
	n, err := io.ReadFull(conn, reply)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if err := errors.Join(conn.CloseRead(), conn.SetReadDeadline(time.Now().Add(handoverTimeout))); err != nil {
			return err
		}
		_, err = io.ReadFull(conn, reply[n:]) // reads what has arrived by now
	}
	if err != nil {
		return err
	}
	if string(reply) != handoverAccepted {
		return fmt.Errorf("the next process replied %q", reply)
	}
	return nil
}

// processLink carries lines of JSON between the two processes. Sending never blocks.
type processLink struct {
	conn         *net.UnixConn
	decoder      *json.Decoder
	queue        chan any
	disconnected chan struct{} // closed once the other side has disconnected
	finishing    chan struct{} // closed when nothing more will be sent
	writerDone   chan struct{} // closed once the writer has ended
}

func newProcessLink(conn *net.UnixConn, decoder *json.Decoder) *processLink {
	l := &processLink{conn: conn, decoder: decoder, queue: make(chan any, linkQueueLength),
		disconnected: make(chan struct{}), finishing: make(chan struct{}), writerDone: make(chan struct{})}
	go func() {
		defer close(l.writerDone)
		encoder := json.NewEncoder(conn)
		write := func(v any) bool {
			err := encoder.Encode(v)
			if err != nil {
				slog.Warn("handover: update could not be sent to the other process", "err", err)
				conn.Close() // the reader then closes disconnected
			}
			return err == nil
		}
		for {
			select {
			case v := <-l.queue:
				if !write(v) {
					return
				}
			case <-l.disconnected:
				return
			case <-l.finishing:
				for len(l.queue) > 0 && write(<-l.queue) {
				}
				return
			}
		}
	}()
	return l
}

// finish sends what is queued, for 100 ms at most because the process is about to stop, and closes the link.
func (l *processLink) finish() {
	l.conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	close(l.finishing)
	<-l.writerDone
	l.conn.Close()
}

// send queues a value for the other side. It returns false if the other side has disconnected or does not read.
func (l *processLink) send(v any) bool {
	select {
	case <-l.disconnected:
		return false
	case l.queue <- v:
		return true
	default:
		l.conn.Close() // the queue of linkQueueLength lines is full: both sides must see that the link has ended
		return false
	}
}

// readUpdates calls handle for each value received until the other side disconnects, then closes the link.
func readUpdates[T any](l *processLink, handle func(T)) {
	defer l.conn.Close()
	defer close(l.disconnected)
	for {
		var v T
		if err := l.decoder.Decode(&v); err != nil {
			return
		}
		handle(v)
	}
}
