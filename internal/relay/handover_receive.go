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

// previousProcess is what this process received from the one that ran before it, and the connection to it.
type previousProcess struct {
	handoverSnapshot
	conn     *net.UnixConn
	decoder  *json.Decoder
	listener *net.TCPListener
	calls    map[string]*call // in flight there, by message ID
}

// requestHandover asks the running process of this relay to hand over. It returns nil if there is none. The state
// parameter is the relay's state directory.
func requestHandover(state string) (*previousProcess, error) {
	path := filepath.Join(state, handoverSocket)
	c, err := net.DialTimeout("unix", path, handoverTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	h := &previousProcess{conn: c.(*net.UnixConn), decoder: json.NewDecoder(c), calls: map[string]*call{}}
	if err := h.receive(); err != nil {
		h.close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return h, nil
}

func (h *previousProcess) receive() error {
	h.conn.SetDeadline(time.Now().Add(2 * handoverTimeout)) // the other side may be in the middle of a step
	if _, err := io.WriteString(h.conn, handoverHello); err != nil {
		return err
	}
	firstByte, control := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, controlSize, _, _, err := h.conn.ReadMsgUnix(firstByte, control)
	if err != nil {
		return err
	}
	messages, err := syscall.ParseSocketControlMessage(control[:controlSize])
	if err != nil || len(messages) != 1 {
		return fmt.Errorf("no listener was received: %v", err)
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return fmt.Errorf("no listener was received: %v", err)
	}
	file := os.NewFile(uintptr(descriptors[0]), "listener")
	defer file.Close()
	received, err := net.FileListener(file)
	if err != nil {
		return err
	}
	tcpListener, ok := received.(*net.TCPListener)
	if !ok {
		received.Close()
		return fmt.Errorf("received a %T instead of a TCP listener", received)
	}
	h.listener = tcpListener
	return h.decoder.Decode(&h.handoverSnapshot)
}

func (h *previousProcess) close() {
	h.conn.Close()
	if h.listener != nil {
		h.listener.Close()
	}
}

// confirm tells the previous process that this one has taken over.
func (h *previousProcess) confirm() error {
	if _, err := io.WriteString(h.conn, handoverAccepted); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return h.conn.SetDeadline(time.Time{})
}

// callOf returns the call of the previous process that is in flight with a message, or nil.
func (h *previousProcess) callOf(id string) *call {
	if h == nil {
		return nil
	}
	return h.calls[id]
}

// adoptCalls takes over the calls that continue in the previous process.
func (r *Relay) adoptCalls(h *previousProcess) {
	for i, c := range h.RunningCalls {
		if r.hosts[c.Host] == nil {
			continue // the journal records their messages as possibly executed
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

// followPrevious applies the updates of the previous process until it exits.
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
			slog.Info("the previous process has ended")
		})
	}()
}

// lateResultGrace is how long this process waits, after a message's deadline, for the previous process to report the
// result of its call. The message's end must be reported within 300 ms of the deadline.
const lateResultGrace = 100 * time.Millisecond

// endAtDeadline ends an attempt of the previous process once the message's deadline has passed. That process may get
// no CPU time or hang, and this one is responsible for the message's end.
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

// endOrphanedCalls ends the calls that were still in flight when the previous process exited. They may have run, but
// were cut off on this side, so their hosts' health does not suffer as it would from a reset.
func (r *Relay) endOrphanedCalls(h *previousProcess) {
	for id, c := range h.calls {
		r.endedByPrevious(h, forwardedResult{ID: id, Outcome: choice.Cancelled, Elapsed: time.Since(c.began)})
	}
}

// endedByPrevious applies the result of an attempt that ran in the previous process.
func (r *Relay) endedByPrevious(h *previousProcess, result forwardedResult) {
	c := h.calls[result.ID]
	delete(h.calls, result.ID)
	if m := r.pending[result.ID]; m != nil && c != nil {
		r.ended(c, m, end{result.Outcome, result.Done}, told{took: result.Elapsed, wait: result.RetryAfter, report: result.LoadReport, stale: result.StaleConn})
	}
}

// acceptForwarded accepts a message that arrived on a connection of the previous process.
func (r *Relay) acceptForwarded(l *processLink, update forwarded) {
	// The message may have waited for either process on its way, so its deadline is measured by the clock that both
	// share.
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
