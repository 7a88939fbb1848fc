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
	handoverName  = "handover"
	handoverHello = "larchrouter handover 1\n"
	handoverTaken = "taken\n"
	// handoverIn is for one side to wait for the other. The loop waits so long at most for what the
	// next process does in milliseconds; clients wait 400 ms.
	handoverIn = 2 * time.Second
	// lateCall is how long after a hand-over a call may still get its connection: news of its
	// host's draining no longer reach this process.
	lateCall = 500 * time.Millisecond
	// askersMost bounds how many next processes may wait for a hand-over: one that has died, and the one started in its place.
	askersMost = 2
	linkQueue  = 4096
)

// bequest is what the next process needs besides the journal.
type bequest struct {
	Version int64              `json:"version"`
	Servers []discovery.Server `json:"servers"`
	Gone    []discovery.Server `json:"gone"` // no longer listed, but with calls out
	Memory  choice.Memory      `json:"memory"`
	Calls   []callOut          `json:"calls"`
	Past    []string           `json:"past"`             // ids that ended not long ago
	Peers   int                `json:"peers"`            // connections that clients have here
	Writer  string             `json:"writer,omitempty"` // of estates, as their holders know it
}

// callOut is a call that runs on in the process that handed over.
type callOut struct {
	Host string        `json:"host"`
	Ago  time.Duration `json:"ago"` // since it went out
	IDs  []string      `json:"ids"`
}

// passed is what the process that handed over goes on to tell.
type passed struct {
	N    int64          `json:"n,omitempty"`
	Take *journal.Entry `json:"take,omitempty"` // a client's message, to be answered under N
	Left time.Duration  `json:"left,omitempty"`
	End  *endPassed     `json:"end,omitempty"`
}

type endPassed struct {
	ID      string         `json:"id"`
	Outcome choice.Outcome `json:"outcome"`
	Done    bool           `json:"done,omitempty"`
	Took    time.Duration  `json:"took"`
	Wait    time.Duration  `json:"wait,omitempty"`
	Report  string         `json:"load,omitempty"`
	Stale   bool           `json:"stale,omitempty"`
}

// returned is what the next process tells the one before it.
type returned struct {
	N      int64         `json:"n,omitempty"`
	Status int           `json:"status,omitempty"`
	After  time.Duration `json:"after,omitempty"`
	Text   string        `json:"text,omitempty"`
	Cancel string        `json:"cancel,omitempty"` // the call with this message is called off
}

// succession is what a relay has of the process before it, and what it owes to the one after it.
type succession struct {
	heritage *heritage             // from the process before this one; nil if there was none
	heirs    *net.UnixListener     // where the next process asks; nil if it cannot
	askers   []*net.UnixConn       // of next processes that have asked, in this order; the first may have died since
	deferred []*apiRequest         // came since then, and are taken on after the hand-over
	heir     *link                 // it has taken over
	asked    map[int64]*apiRequest // messages passed to it that it has not answered yet
	askedN   int64
	passedAt atomic.Int64 // when it took over, steady Unix nanoseconds; 0 if it has not
}

// awaitTaken waits for the next process's word. If that comes just as this process stops waiting it holds all the same, or both
// would go on as this relay: one that comes later fails on the other side.
func awaitTaken(conn *net.UnixConn) error {
	word := make([]byte, len(handoverTaken))
	n, err := io.ReadFull(conn, word)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if err := errors.Join(conn.CloseRead(), conn.SetReadDeadline(time.Now().Add(handoverIn))); err != nil {
			return err
		}
		_, err = io.ReadFull(conn, word[n:]) // what has come by now
	}
	if err != nil {
		return err
	}
	if string(word) != handoverTaken {
		return fmt.Errorf("next process says %q", word)
	}
	return nil
}

// link carries lines of JSON between the two processes. It never blocks who sends.
type link struct {
	conn *net.UnixConn
	in   *json.Decoder
	out  chan any
	end  chan struct{} // the other side has gone
	last chan struct{} // nothing more is to be sent
	sent chan struct{} // and all has been
}

func newLink(conn *net.UnixConn, in *json.Decoder) *link {
	l := &link{conn: conn, in: in, out: make(chan any, linkQueue),
		end: make(chan struct{}), last: make(chan struct{}), sent: make(chan struct{})}
	go func() {
		defer close(l.sent)
		enc := json.NewEncoder(conn)
		put := func(v any) bool {
			err := enc.Encode(v)
			if err != nil {
				slog.Warn("hand-over: not passed on", "err", err)
				conn.Close() // the reader tells
			}
			return err == nil
		}
		for {
			select {
			case v := <-l.out:
				if !put(v) {
					return
				}
			case <-l.end:
				return
			case <-l.last:
				for len(l.out) > 0 && put(<-l.out) {
				}
				return
			}
		}
	}()
	return l
}

// finish sends what is left, within the time that is left to a process that stops, and ends the link.
func (l *link) finish() {
	l.conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	close(l.last)
	<-l.sent
	l.conn.Close()
}

// send tells whether the other side may still hear of it.
func (l *link) send(v any) bool {
	select {
	case <-l.end:
		return false
	case l.out <- v:
		return true
	default:
		l.conn.Close() // it has not read for thousands of lines: both sides must see that it ended
		return false
	}
}

// hear reads what the other side tells until it has gone.
func hear[T any](l *link, each func(T)) {
	defer l.conn.Close()
	defer close(l.end)
	for {
		var v T
		if err := l.in.Decode(&v); err != nil {
			return
		}
		each(v)
	}
}
