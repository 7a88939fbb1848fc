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
	"larchrouter/internal/steady"
)

// heritage is what a process has from the one before it.
type heritage struct {
	bequest
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
	return h.in.Decode(&h.bequest)
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
		adopted := &call{number: i + 1, host: r.hosts[c.Host], startedAt: time.Now().Add(-c.Ago)}
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
		r.endInTime(h, id, c)
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
			clients, _ := r.config.parts(r.settings.Load().Workers)
			r.listener.allow(clients)
			slog.Info("the process before this one has ended")
		})
	}()
}

// wordIn is for the word of the process before this one on a call whose message's time is up. The end of the message is owed
// 300 ms after that time.
const wordIn = 100 * time.Millisecond

// endInTime ends an attempt of the process before this one once its message's time is up: that process may get no core, or
// hang, and the end is owed by this one.
func (r *Relay) endInTime(h *heritage, id string, c *call) {
	m := r.held[id]
	if m == nil {
		return
	}
	time.AfterFunc(m.due-r.now()+wordIn, func() {
		r.post(func() { r.endedBefore(h, endPassed{ID: id, Outcome: choice.Timeout, Took: time.Since(c.startedAt)}) })
	})
}

// orphaned ends the calls that were still out as the process before this one ended. They may have
// run, but were broken off on this side: that is not held against their hosts as a reset would be.
func (r *Relay) orphaned(h *heritage) {
	for id, c := range h.calls {
		r.endedBefore(h, endPassed{ID: id, Outcome: choice.Cancelled, Took: time.Since(c.startedAt)})
	}
}

// endedBefore takes in how an attempt ended that the process before this one had out.
func (r *Relay) endedBefore(h *heritage, e endPassed) {
	c := h.calls[e.ID]
	delete(h.calls, e.ID)
	if m := r.held[e.ID]; m != nil && c != nil {
		r.attemptEnded(c, m, memberResult{e.Outcome, e.Done}, hostFeedback{elapsed: e.Took, retryAfter: e.Wait, loadReport: e.Report, staleConn: e.Stale})
	}
}

// takePassed takes on a message that came on a connection of the process before this one.
func (r *Relay) takePassed(l *link, v passed) {
	// On its way it may have waited for either process: its time runs by the clock that both read.
	left := min(v.Left, steady.Until(v.Take.Due))
	in := &intake{entry: v.Take, due: r.now() + left, ctx: r.callContext, reply: make(chan answer, 1)}
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
