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

// The hand-over to the next process of this relay, while clients come. The next process asks for it
// at a socket in the folder that lasts. This one then hands over the clients' listener itself, so
// that nobody in its queue is turned away, and what the journal does not hold. From the moment that
// the next process has said that it has all, that one alone decides and writes the journal. This one
// lets its calls and its clients' connections run out, and passes on outcomes and messages.

const (
	handoverSocket   = "handover"
	handoverHello    = "larchrouter handover 1\n"
	handoverAccepted = "taken\n"
	// handoverIn is for one side to wait for the other. The loop waits so long at most for what the
	// next process does in milliseconds; clients wait 400 ms.
	handoverTimeout = 2 * time.Second
	// lateCall is how long after a hand-over a call may still get its connection: news of its
	// host's draining no longer reach this process.
	lateDialLimit = 500 * time.Millisecond
	// askersMost bounds how many next processes may wait for a hand-over: one that has died, and the one started in its place.
	maxHandoverRequests = 2
	linkQueueLength     = 4096
)

// bequest is what the next process needs besides the journal.
type handoverSnapshot struct {
	Version      int64              `json:"version"`
	Servers      []discovery.Server `json:"servers"`
	Departed     []discovery.Server `json:"gone"` // no longer listed, but with calls out
	Memory       choice.Memory      `json:"memory"`
	RunningCalls []runningCall      `json:"calls"`
	EndedIDs     []string           `json:"past"`             // ids that ended not long ago
	ClientConns  int                `json:"peers"`            // connections that clients have here
	Writer       string             `json:"writer,omitempty"` // of estates, as their holders know it
}

// callOut is a call that runs on in the process that handed over.
type runningCall struct {
	Host    string        `json:"host"`
	Elapsed time.Duration `json:"ago"` // since it went out
	IDs     []string      `json:"ids"`
}

// passed is what the process that handed over goes on to tell.
type forwarded struct {
	RequestID int64            `json:"n,omitempty"`
	Entry     *journal.Entry   `json:"take,omitempty"` // a client's message, to be answered under N
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

// returned is what the next process tells the one before it.
type handoverReply struct {
	RequestID  int64         `json:"n,omitempty"`
	Status     int           `json:"status,omitempty"`
	RetryAfter time.Duration `json:"after,omitempty"`
	Text       string        `json:"text,omitempty"`
	CancelID   string        `json:"cancel,omitempty"` // the call with this message is called off
}

// succession is what a relay has of the process before it, and what it owes to the one after it.
type handoverState struct {
	previousProcess  *previousProcess  // from the process before this one; nil if there was none
	handoverListener *net.UnixListener // where the next process asks; nil if it cannot
	handoverRequests []*net.UnixConn   // of next processes that have asked, in this order; the first may have died since
	deferredIntakes  []*intake         // came since then, and are taken on after the hand-over
	nextProcess      *processLink      // it has taken over
	forwardedIntakes map[int64]*intake // messages passed to it that it has not answered yet
	lastForwardedID  int64
	handedOverAt     atomic.Int64 // when it took over, steady Unix nanoseconds; 0 if it has not
}

// awaitTaken waits for the next process's word. If that comes just as this process stops waiting it holds all the same, or both
// would go on as this relay: one that comes later fails on the other side.
func awaitAccepted(conn *net.UnixConn) error {
	reply := make([]byte, len(handoverAccepted))
	n, err := io.ReadFull(conn, reply)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if err := errors.Join(conn.CloseRead(), conn.SetReadDeadline(time.Now().Add(handoverTimeout))); err != nil {
			return err
		}
		_, err = io.ReadFull(conn, reply[n:]) // what has come by now
	}
	if err != nil {
		return err
	}
	if string(reply) != handoverAccepted {
		return fmt.Errorf("next process says %q", reply)
	}
	return nil
}

// link carries lines of JSON between the two processes. It never blocks who sends.
type processLink struct {
	conn         *net.UnixConn
	decoder      *json.Decoder
	queue        chan any
	disconnected chan struct{} // the other side has gone
	finishing    chan struct{} // nothing more is to be sent
	writerDone   chan struct{} // and all has been
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
				slog.Warn("hand-over: not passed on", "err", err)
				conn.Close() // the reader tells
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

// finish sends what is left, within the time that is left to a process that stops, and ends the link.
func (l *processLink) finish() {
	l.conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	close(l.finishing)
	<-l.writerDone
	l.conn.Close()
}

// send tells whether the other side may still hear of it.
func (l *processLink) send(v any) bool {
	select {
	case <-l.disconnected:
		return false
	case l.queue <- v:
		return true
	default:
		l.conn.Close() // it has not read for thousands of lines: both sides must see that it ended
		return false
	}
}

// hear reads what the other side tells until it has gone.
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
