package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/listen"
	"larchrouter/internal/steady"
)

// awaitHeir listens for the next process of this relay. Without it the relay runs all the same, but
// cannot be followed by another under load.
func (r *Relay) listenForNextProcess() {
	path := filepath.Join(r.conf.State, handoverSocket)
	os.Remove(path) // of a process that is gone, or has handed over
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		slog.Error("no hand-over to a next process", "err", err)
		return
	}
	l.SetUnlinkOnClose(false) // by then the name is that of the next process
	r.handoverListener = l
	go func() {
		for requests := listen.Lasting(l); ; {
			accepted, err := requests.Accept()
			if err != nil {
				return
			}
			conn := accepted.(*net.UnixConn)
			hello := make([]byte, len(handoverHello))
			conn.SetDeadline(time.Now().Add(handoverTimeout))
			if _, err := io.ReadFull(conn, hello); err != nil || string(hello) != handoverHello {
				conn.Close()
				continue
			}
			r.post(func() {
				if r.nextProcess != nil || len(r.handoverRequests) >= maxHandoverRequests {
					conn.Close() // there is a next process already
					return
				}
				r.handoverRequests = append(r.handoverRequests, conn)
			})
			select {
			case <-r.quit: // nobody will hand over any more
				conn.Close()
			default:
			}
		}
	}()
}

// handOverToFirst hands over to the process that asked first. Any other goes without if that succeeds.
func (r *Relay) handOverToFirst() {
	conn := r.handoverRequests[0]
	r.handoverRequests = r.handoverRequests[1:]
	r.handOver(conn)
	if r.nextProcess != nil {
		for _, other := range r.handoverRequests {
			other.Close()
		}
		r.handoverRequests = nil
	}
	r.acceptDeferred()
}

// handOver gives all that this process holds to the next one. It runs in the loop, right after a
// step: nothing is undecided then. If it fails this process goes on as if nothing had been.
func (r *Relay) handOver(conn *net.UnixConn) {
	l, err := r.transferState(conn)
	if err != nil {
		slog.Error("not handed over", "err", err)
		conn.Close()
		if err := r.journal.Compact(); err != nil { // the next process may have replaced the file
			r.journal.Break(err)
			slog.Error("journal lost in a hand-over", "err", err)
		}
		r.reopenBacklog()
		return
	}
	slog.Info("handed over", "held", len(r.pending), "calls", r.out)
	r.nextProcess, r.forwardedIntakes = l, map[int64]*intake{}
	r.overflow = nil
	r.figures.hold(0, 0, 0) // they are the next process's
	r.figures.waiting(nil)
	r.handedOverAt.Store(steady.Now().UnixNano())
	r.pendingRecords, r.unrecordedNotices = nil, nil
	r.journal.Close()
	r.handoverListener.Close()
	r.closeReplication()
	r.endPlatform()
	r.tcp.Close()                            // the next process has the socket, and all in its queue
	r.hostSide.Load().CloseIdleConnections() // descriptors count for both processes together
	go func() {
		readUpdates(l, func(v handoverReply) { r.post(func() { r.handleHandoverReply(v) }) })
		r.post(r.nextProcessExited)
	}()
}

// bequeath hands everything over and waits for the word that it has arrived.
func (r *Relay) transferState(conn *net.UnixConn) (*processLink, error) {
	if r.flush(); r.stopped || len(r.pendingRecords) > 0 {
		return nil, errors.New("this process stops, or cannot write its journal")
	}
	r.overflow.close()
	file, err := r.tcp.File()
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	defer file.Close()
	conn.SetDeadline(time.Now().Add(handoverTimeout))
	if _, _, err := conn.WriteMsgUnix([]byte{'\n'}, syscall.UnixRights(int(file.Fd())), nil); err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	if err := json.NewEncoder(conn).Encode(r.newHandoverSnapshot()); err != nil {
		return nil, err
	}
	if err := awaitAccepted(conn); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return newProcessLink(conn, json.NewDecoder(conn)), nil
}

func (r *Relay) newHandoverSnapshot() handoverSnapshot {
	snapshot := handoverSnapshot{Version: r.version, Memory: r.chooser.Memory(r.now()), EndedIDs: r.endedIDs.all(), ClientConns: r.listener.count()}
	if r.replication != nil {
		snapshot.Writer = r.replication.writer(r.kept.Instance)
	}
	listed := map[string]bool{}
	for id, h := range r.hosts {
		snapshot.Servers = append(snapshot.Servers, h.entry)
		listed[id] = true
	}
	numbers := map[*call]int{}
	for _, m := range r.pending {
		if m.call == nil {
			continue
		}
		n, ok := numbers[m.call]
		if !ok {
			n = len(snapshot.RunningCalls)
			numbers[m.call] = n
			h := m.call.host
			snapshot.RunningCalls = append(snapshot.RunningCalls, runningCall{Host: h.id, Elapsed: time.Since(m.call.began)})
			if !listed[h.id] {
				snapshot.Departed = append(snapshot.Departed, h.entry)
				listed[h.id] = true
			}
		}
		snapshot.RunningCalls[n].IDs = append(snapshot.RunningCalls[n].IDs, m.ID)
	}
	return snapshot
}

// pass hands a client's message to the next process.
func (r *Relay) forward(in *intake) {
	r.lastForwardedID++
	r.forwardedIntakes[r.lastForwardedID] = in
	if !r.nextProcess.send(forwarded{RequestID: r.lastForwardedID, Entry: in.entry, TimeLeft: in.due - r.now()}) {
		r.handleHandoverReply(handoverReply{RequestID: r.lastForwardedID, Status: 503, RetryAfter: comeBack, Text: "no next process"})
	}
}

// answered takes in what the next process tells.
func (r *Relay) handleHandoverReply(reply handoverReply) {
	if m := r.pending[reply.CancelID]; m != nil && m.call != nil {
		m.call.cancel(errCalled)
	}
	if in := r.forwardedIntakes[reply.RequestID]; in != nil {
		delete(r.forwardedIntakes, reply.RequestID)
		in.reply <- answer{status: reply.Status, after: reply.RetryAfter, text: reply.Text}
	}
}

// heirGone ends this process: the journal is no longer its own.
func (r *Relay) nextProcessExited() {
	slog.Error("the next process has gone")
	r.answerUnconfirmed()
	r.stop()
}

// unsure answers the clients whose messages the next process got and gave no word of: it may have taken them on, and what
// is on record is delivered by whoever runs next. Only where a second delivery does no harm are they told to come again.
func (r *Relay) answerUnconfirmed() {
	for requestID, in := range r.forwardedIntakes {
		reply := handoverReply{RequestID: requestID, Status: http.StatusInternalServerError, Text: "it is not known whether it will be delivered"}
		if in.entry.Terms != nil && in.entry.Terms.Class.Effect == choice.Safe {
			reply = handoverReply{RequestID: requestID, Status: http.StatusServiceUnavailable, RetryAfter: comeBack, Text: "no next process"}
		}
		r.handleHandoverReply(reply)
	}
}

// lastWord answers, as the loop ends, the clients whose answer hangs on another process. What does not count yet is taken
// out of the record before its client hears so.
func (r *Relay) answerAtExit() {
	r.answerUnconfirmed()
	if r.replication == nil || r.nextProcess != nil {
		return
	}
	for _, m := range r.pending {
		if m.unanswered != nil && r.journal.Entry(m.ID) != nil {
			r.endUncommitted(m)
		}
	}
}

// late tells whether a call that has only now got its connection must not go any more.
func (r *Relay) dialedTooLate() bool {
	at := r.handedOverAt.Load()
	return at > 0 && steady.Now().Sub(time.Unix(0, at)) > lateDialLimit
}

// endCopies leaves estates, copies and the fleet address to the next process.
func (r *Relay) closeReplication() {
	c := r.replication
	if c == nil {
		return
	}
	for _, s := range c.streams {
		s.Close()
		s.gates.Forget()
	}
	if h := c.replica.Load(); h != nil {
		h.Close()
	}
}

// takeDeferred takes on what came while the next process asked.
func (r *Relay) acceptDeferred() {
	deferred := r.deferredIntakes
	r.deferredIntakes = nil
	for _, in := range deferred {
		r.take(in)
	}
}
