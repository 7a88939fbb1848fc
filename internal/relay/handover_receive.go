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
type previousProcess struct {
	handoverSnapshot
	conn     *net.UnixConn
	decoder  *json.Decoder
	listener *net.TCPListener
	calls    map[string]*call // by message
}

// inherit asks the process that runs as this relay to hand over. It returns nil if there is none.
func requestHandover(state string) (*previousProcess, error) {
	path := filepath.Join(state, handoverSocket)
	c, err := net.DialTimeout("unix", path, handoverTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	h := &previousProcess{conn: c.(*net.UnixConn), decoder: json.NewDecoder(c), calls: map[string]*call{}}
	if err := h.receive(); err != nil {
		h.close()
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	return h, nil
}

func (h *previousProcess) receive() error {
	h.conn.SetDeadline(time.Now().Add(2 * handoverTimeout)) // the other side may be in the middle of a step
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
	h.listener = tcp
	return h.decoder.Decode(&h.handoverSnapshot)
}

func (h *previousProcess) close() {
	h.conn.Close()
	if h.listener != nil {
		h.listener.Close()
	}
}

// accept tells the process before this one that it has handed over.
func (h *previousProcess) confirm() error {
	if _, err := io.WriteString(h.conn, handoverAccepted); err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	return h.conn.SetDeadline(time.Time{})
}

// callOf is the call that a message is out with in the process before this one; nil for none.
func (h *previousProcess) callOf(id string) *call {
	if h == nil {
		return nil
	}
	return h.calls[id]
}

// adopt takes up the calls that run on in the process before this one.
func (r *Relay) adoptCalls(h *previousProcess) {
	for i, c := range h.RunningCalls {
		if r.hosts[c.Host] == nil {
			continue // the journal has its messages as ones that may have run
		}
		adopted := &call{number: i + 1, host: r.hosts[c.Host], began: time.Now().Add(-c.Elapsed)}
		for _, id := range c.IDs {
			h.calls[id] = adopted
		}
	}
	for _, id := range h.EndedIDs {
		r.endedIDs.add(id)
	}
	r.events = append(r.events, h.Memory)
}

// attend follows the process before this one until it ends.
func (r *Relay) followPrevious(h *previousProcess) {
	l := newProcessLink(h.conn, h.decoder)
	for id, c := range h.calls {
		c.cancel = func(error) { l.send(handoverReply{CancelID: id}) }
		r.endAtDeadline(h, id, c)
	}
	go func() {
		readUpdates(l, func(v forwarded) {
			r.post(func() {
				if v.Result != nil {
					r.endedByPrevious(h, *v.Result)
				}
				if v.Entry != nil {
					r.acceptForwarded(l, v)
				}
			})
		})
		r.post(func() {
			r.endOrphanedCalls(h)
			clients, _ := r.conf.parts(r.set.Load().Workers)
			r.listener.allow(clients)
			slog.Info("the process before this one has ended")
		})
	}()
}

// wordIn is for the word of the process before this one on a call whose message's time is up. The end of the message is owed
// 300 ms after that time.
const lateResultGrace = 100 * time.Millisecond

// endInTime ends an attempt of the process before this one once its message's time is up: that process may get no core, or
// hang, and the end is owed by this one.
func (r *Relay) endAtDeadline(h *previousProcess, id string, c *call) {
	m := r.pending[id]
	if m == nil {
		return
	}
	time.AfterFunc(m.due-r.now()+lateResultGrace, func() {
		r.post(func() {
			r.endedByPrevious(h, forwardedResult{ID: id, Outcome: choice.Timeout, Elapsed: time.Since(c.began)})
		})
	})
}

// orphaned ends the calls that were still out as the process before this one ended. They may have
// run, but were broken off on this side: that is not held against their hosts as a reset would be.
func (r *Relay) endOrphanedCalls(h *previousProcess) {
	for id, c := range h.calls {
		r.endedByPrevious(h, forwardedResult{ID: id, Outcome: choice.Cancelled, Elapsed: time.Since(c.began)})
	}
}

// endedBefore takes in how an attempt ended that the process before this one had out.
func (r *Relay) endedByPrevious(h *previousProcess, result forwardedResult) {
	c := h.calls[result.ID]
	delete(h.calls, result.ID)
	if m := r.pending[result.ID]; m != nil && c != nil {
		r.ended(c, m, end{result.Outcome, result.Done}, told{took: result.Elapsed, wait: result.RetryAfter, report: result.LoadReport, stale: result.StaleConn})
	}
}

// takePassed takes on a message that came on a connection of the process before this one.
func (r *Relay) acceptForwarded(l *processLink, update forwarded) {
	// On its way it may have waited for either process: its time runs by the clock that both read.
	timeLeft := min(update.TimeLeft, steady.Until(update.Entry.Due))
	in := &intake{entry: update.Entry, due: r.now() + timeLeft, ctx: r.calls, reply: make(chan answer, 1)}
	sendReply := func(a answer) {
		l.send(handoverReply{RequestID: update.RequestID, Status: a.status, RetryAfter: a.after, Text: a.text})
	}
	r.take(in)
	go func() {
		select {
		case a := <-in.reply:
			sendReply(a)
		case <-r.quit:
		}
	}()
}
