package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
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
	lateCall  = 500 * time.Millisecond
	linkQueue = 4096
)

// estate is what the next process needs besides the journal.
type estate struct {
	Version int64              `json:"version"`
	Servers []discovery.Server `json:"servers"`
	Gone    []discovery.Server `json:"gone"` // no longer listed, but with calls out
	Memory  choice.Memory      `json:"memory"`
	Calls   []callOut          `json:"calls"`
	Past    []string           `json:"past"`  // ids that ended not long ago
	Peers   int                `json:"peers"` // connections that clients have here
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
	Report  []float64      `json:"report,omitempty"`
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

// awaitHeir listens for the next process of this relay. Without it the relay runs all the same, but
// cannot be followed by another under load.
func (r *Relay) awaitHeir() {
	path := filepath.Join(r.conf.State, handoverName)
	os.Remove(path) // of a process that is gone, or has handed over
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		slog.Error("no hand-over to a next process", "err", err)
		return
	}
	l.SetUnlinkOnClose(false) // by then the name is that of the next process
	r.heirs = l
	go func() {
		for {
			conn, err := l.AcceptUnix()
			if err != nil {
				return
			}
			hello := make([]byte, len(handoverHello))
			conn.SetDeadline(time.Now().Add(handoverIn))
			if _, err := io.ReadFull(conn, hello); err != nil || string(hello) != handoverHello {
				conn.Close()
				continue
			}
			r.post(func() {
				if r.heir != nil || r.heirConn != nil {
					conn.Close() // there is a next process already
					return
				}
				r.heirConn = conn
			})
			select {
			case <-r.quit: // nobody will hand over any more
				conn.Close()
			default:
			}
		}
	}()
}

// handOver gives all that this process holds to the next one. It runs in the loop, right after a
// step: nothing is undecided then. If it fails this process goes on as if nothing had been.
func (r *Relay) handOver(conn *net.UnixConn) {
	l, err := r.bequeath(conn)
	if err != nil {
		slog.Error("not handed over", "err", err)
		conn.Close()
		if err := r.journal.Compact(); err != nil { // the next process may have replaced the file
			r.journal.Break(err)
			slog.Error("journal lost in a hand-over", "err", err)
		}
		return
	}
	slog.Info("handed over", "held", len(r.held), "calls", r.out)
	r.heir, r.asked = l, map[int64]*intake{}
	r.figures.hold(0, 0, 0) // they are the next process's
	r.passedAt.Store(time.Now().UnixNano())
	r.records, r.untold = nil, nil
	r.journal.Close()
	r.heirs.Close()
	r.endPlatform()
	r.tcp.Close()                            // the next process has the socket, and all in its queue
	r.hostSide.Load().CloseIdleConnections() // descriptors count for both processes together
	go func() {
		hear(l, func(v returned) { r.post(func() { r.answered(v) }) })
		r.post(r.heirGone)
	}()
}

// bequeath hands everything over and waits for the word that it has arrived.
func (r *Relay) bequeath(conn *net.UnixConn) (*link, error) {
	if r.flush(); r.stopped || len(r.records) > 0 {
		return nil, errors.New("this process stops, or cannot write its journal")
	}
	file, err := r.tcp.File()
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	defer file.Close()
	conn.SetDeadline(time.Now().Add(handoverIn))
	if _, _, err := conn.WriteMsgUnix([]byte{'\n'}, syscall.UnixRights(int(file.Fd())), nil); err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	if err := json.NewEncoder(conn).Encode(r.estate()); err != nil {
		return nil, err
	}
	word := make([]byte, len(handoverTaken))
	if _, err := io.ReadFull(conn, word); err != nil {
		return nil, err
	}
	if string(word) != handoverTaken {
		return nil, fmt.Errorf("next process says %q", word)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return newLink(conn, json.NewDecoder(conn)), nil
}

func (r *Relay) estate() estate {
	e := estate{Version: r.version, Memory: r.chooser.Memory(r.now()), Past: r.past.all(), Peers: r.listener.count()}
	listed := map[string]bool{}
	for id, h := range r.hosts {
		e.Servers = append(e.Servers, h.entry)
		listed[id] = true
	}
	numbers := map[*call]int{}
	for _, m := range r.held {
		if m.call == nil {
			continue
		}
		n, ok := numbers[m.call]
		if !ok {
			n = len(e.Calls)
			numbers[m.call] = n
			h := m.call.host
			e.Calls = append(e.Calls, callOut{Host: h.id, Ago: time.Since(m.call.began)})
			if !listed[h.id] {
				e.Gone = append(e.Gone, h.entry)
				listed[h.id] = true
			}
		}
		e.Calls[n].IDs = append(e.Calls[n].IDs, m.ID)
	}
	return e
}

// pass hands a client's message to the next process.
func (r *Relay) pass(in *intake) {
	r.askedN++
	r.asked[r.askedN] = in
	if !r.heir.send(passed{N: r.askedN, Take: in.entry, Left: in.due - r.now()}) {
		r.answered(returned{N: r.askedN, Status: 503, After: comeBack, Text: "no next process"})
	}
}

// answered takes in what the next process tells.
func (r *Relay) answered(v returned) {
	if m := r.held[v.Cancel]; m != nil && m.call != nil {
		m.call.cancel(errCalled)
	}
	if in := r.asked[v.N]; in != nil {
		delete(r.asked, v.N)
		in.reply <- answer{status: v.Status, after: v.After, text: v.Text}
	}
}

// heirGone ends this process: the journal is no longer its own.
func (r *Relay) heirGone() {
	slog.Error("the next process has gone")
	for n := range r.asked {
		r.answered(returned{N: n, Status: 503, After: comeBack, Text: "no next process"})
	}
	r.stop()
}

// late tells whether a call that has only now got its connection must not go any more.
func (r *Relay) late() bool {
	at := r.passedAt.Load()
	return at > 0 && time.Since(time.Unix(0, at)) > lateCall
}

// heritage is what a process has from the one before it.
type heritage struct {
	estate
	conn  *net.UnixConn
	in    *json.Decoder
	tcp   *net.TCPListener
	calls map[string]*call // by message
}

// inherit asks the process that runs as this relay to hand over. It returns nil if there is none.
func inherit(state string) (*heritage, error) {
	path := filepath.Join(state, handoverName)
	c, err := net.DialTimeout("unix", path, handoverIn)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	h := &heritage{conn: c.(*net.UnixConn), in: json.NewDecoder(c), calls: map[string]*call{}}
	if err := h.receive(); err != nil {
		h.close()
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	return h, nil
}

func (h *heritage) receive() error {
	h.conn.SetDeadline(time.Now().Add(2 * handoverIn)) // the other side may be in the middle of a step
	if _, err := io.WriteString(h.conn, handoverHello); err != nil {
		return err
	}
	first, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, n, _, _, err := h.conn.ReadMsgUnix(first, rights)
	if err != nil {
		return err
	}
	messages, err := syscall.ParseSocketControlMessage(rights[:n])
	if err != nil || len(messages) != 1 {
		return fmt.Errorf("no listener came: %v", err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return fmt.Errorf("no listener came: %v", err)
	}
	file := os.NewFile(uintptr(fds[0]), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return fmt.Errorf("%T came for a listener", l)
	}
	h.tcp = tcp
	return h.in.Decode(&h.estate)
}

func (h *heritage) close() {
	h.conn.Close()
	if h.tcp != nil {
		h.tcp.Close()
	}
}

// accept tells the process before this one that it has handed over.
func (h *heritage) accept() error {
	if _, err := io.WriteString(h.conn, handoverTaken); err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	return h.conn.SetDeadline(time.Time{})
}

// callOf is the call that a message is out with in the process before this one; nil for none.
func (h *heritage) callOf(id string) *call {
	if h == nil {
		return nil
	}
	return h.calls[id]
}

// adopt takes up the calls that run on in the process before this one.
func (r *Relay) adopt(h *heritage) {
	for i, c := range h.Calls {
		if r.hosts[c.Host] == nil {
			continue // the journal has its messages as ones that may have run
		}
		adopted := &call{number: i + 1, host: r.hosts[c.Host], began: time.Now().Add(-c.Ago)}
		for _, id := range c.IDs {
			h.calls[id] = adopted
		}
	}
	for _, id := range h.Past {
		r.past.add(id)
	}
	r.events = append(r.events, h.Memory)
}

// attend follows the process before this one until it ends.
func (r *Relay) attend(h *heritage) {
	l := newLink(h.conn, h.in)
	for id, c := range h.calls {
		c.cancel = func(error) { l.send(returned{Cancel: id}) }
	}
	go func() {
		hear(l, func(v passed) {
			r.post(func() {
				if v.End != nil {
					r.endedBefore(h, *v.End)
				}
				if v.Take != nil {
					r.takePassed(l, v)
				}
			})
		})
		r.post(func() {
			r.orphaned(h)
			r.listener.allow(r.conf.Sockets / 2)
			slog.Info("the process before this one has ended")
		})
	}()
}

// orphaned ends the calls that were still out as the process before this one ended. They may have
// run, but were broken off on this side: that is not held against their hosts as a reset would be.
func (r *Relay) orphaned(h *heritage) {
	for id, c := range h.calls {
		r.endedBefore(h, endPassed{ID: id, Outcome: choice.Cancelled, Took: time.Since(c.began)})
	}
}

// endedBefore takes in how an attempt ended that the process before this one had out.
func (r *Relay) endedBefore(h *heritage, e endPassed) {
	c := h.calls[e.ID]
	delete(h.calls, e.ID)
	if m := r.held[e.ID]; m != nil && c != nil {
		r.ended(c, m, end{e.Outcome, e.Done}, told{took: e.Took, wait: e.Wait, report: e.Report, stale: e.Stale})
	}
}

// takePassed takes on a message that came on a connection of the process before this one.
func (r *Relay) takePassed(l *link, v passed) {
	in := &intake{entry: v.Take, due: r.now() + v.Left, ctx: r.calls, reply: make(chan answer, 1)}
	answered := func(a answer) { l.send(returned{N: v.N, Status: a.status, After: a.after, Text: a.text}) }
	r.take(in)
	go func() {
		select {
		case a := <-in.reply:
			answered(a)
		case <-r.quit:
		}
	}()
}
