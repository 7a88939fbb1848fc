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
func requestHandover(stateDir string) (*previousProcess, error) {
	path := filepath.Join(stateDir, handoverSocket)
	conn, err := net.DialTimeout("unix", path, handoverTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	previous := &previousProcess{conn: conn.(*net.UnixConn), decoder: json.NewDecoder(conn), calls: map[string]*call{}}
	if err := previous.receive(); err != nil {
		previous.close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return previous, nil
}

func (p *previousProcess) receive() error {
	p.conn.SetDeadline(time.Now().Add(2 * handoverTimeout)) // the other side may be in the middle of a step
	if _, err := io.WriteString(p.conn, handoverHello); err != nil {
		return err
	}
	firstByte, control := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, controlSize, _, _, err := p.conn.ReadMsgUnix(firstByte, control)
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
	p.listener = tcpListener
	return p.decoder.Decode(&p.handoverSnapshot)
}

func (p *previousProcess) close() {
	p.conn.Close()
	if p.listener != nil {
		p.listener.Close()
	}
}

// confirm tells the previous process that this one has taken over.
func (p *previousProcess) confirm() error {
	if _, err := io.WriteString(p.conn, handoverAccepted); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return p.conn.SetDeadline(time.Time{})
}

// callOf returns the call of the previous process that is in flight with a message, or nil.
func (p *previousProcess) callOf(id string) *call {
	if p == nil {
		return nil
	}
	return p.calls[id]
}

// adoptCalls takes over the calls that continue in the previous process.
func (r *Relay) adoptCalls(previous *previousProcess) {
	for i, c := range previous.RunningCalls {
		if r.hosts[c.Host] == nil {
			continue // the journal records their messages as possibly executed
		}
		adopted := &call{number: i + 1, host: r.hosts[c.Host], startedAt: time.Now().Add(-c.Elapsed)}
		for _, id := range c.IDs {
			previous.calls[id] = adopted
		}
	}
	r.endedIDs.restore(previous.Ended)
	for _, id := range previous.EndedIDs {
		r.endedIDs.add(id)
	}
	r.events = append(r.events, previous.Memory)
}

// followPrevious applies the updates of the previous process until it exits.
func (r *Relay) followPrevious(previous *previousProcess) {
	link := newProcessLink(previous.conn, previous.decoder)
	for id, c := range previous.calls {
		c.cancel = func(error) { link.send(handoverReply{CancelID: id}) }
		r.endAtDeadline(previous, id, c)
	}
	go func() {
		readUpdates(link, func(update handoverUpdate) {
			r.post(func() {
				if update.Result != nil {
					r.endedByPrevious(previous, *update.Result)
				}
				if update.Entry != nil {
					r.acceptForwarded(link, update)
				}
			})
		})
		r.post(func() {
			r.endOrphanedCalls(previous)
			maxClients, _ := r.config.connectionLimits(r.settings.Load().Workers)
			r.clientListener.setLimit(maxClients)
			r.useMemoryPart(1)
			slog.Info("the previous process has ended")
		})
	}()
}

// lateResultGrace is how long this process waits, after a message's deadline, for the previous process to report the
// result of its call. The message's end must be reported within 300 ms of the deadline.
const lateResultGrace = 100 * time.Millisecond

// endAtDeadline ends an attempt of the previous process once the message's deadline has passed. That process may get
// no CPU time or hang, and this one is responsible for the message's end.
func (r *Relay) endAtDeadline(previous *previousProcess, id string, c *call) {
	m := r.pending[id]
	if m == nil {
		return
	}
	time.AfterFunc(m.due-r.now()+lateResultGrace, func() {
		r.post(func() {
			r.endedByPrevious(previous, forwardedResult{ID: id, Outcome: choice.Timeout, Elapsed: time.Since(c.startedAt)})
		})
	})
}

// endOrphanedCalls ends the calls that were still in flight when the previous process exited. They may have run, but
// were cut off on this side, so their hosts' health does not suffer as it would from a reset.
func (r *Relay) endOrphanedCalls(previous *previousProcess) {
	for id, c := range previous.calls {
		r.endedByPrevious(previous, forwardedResult{ID: id, Outcome: choice.Cancelled, Elapsed: time.Since(c.startedAt)})
	}
}

// endedByPrevious applies the result of an attempt that ran in the previous process.
func (r *Relay) endedByPrevious(previous *previousProcess, result forwardedResult) {
	c := previous.calls[result.ID]
	delete(previous.calls, result.ID)
	if m := r.pending[result.ID]; m != nil && c != nil {
		r.attemptEnded(c, m, memberResult{result.Outcome, result.Done}, hostFeedback{elapsed: result.Elapsed, retryAfter: result.RetryAfter, loadReport: result.LoadReport, staleConn: result.StaleConn})
	}
}

// acceptForwarded accepts a message that arrived on a connection of the previous process.
func (r *Relay) acceptForwarded(link *processLink, update handoverUpdate) {
	// The message may have waited for either process on its way, so its deadline is measured by the clock that both
	// share.
	timeLeft := min(update.TimeLeft, steady.Until(update.Entry.Due))
	apiReq := &apiRequest{entry: update.Entry, due: r.now() + timeLeft, ctx: r.callContext, reply: make(chan apiResponse, 1)}
	sendReply := func(a apiResponse) {
		link.send(handoverReply{RequestID: update.RequestID, Status: a.status, RetryAfter: a.retryAfter, Text: a.text})
	}
	r.submit(apiReq)
	go func() {
		select {
		case a := <-apiReq.reply:
			sendReply(a)
		case <-r.quit:
		}
	}()
}
