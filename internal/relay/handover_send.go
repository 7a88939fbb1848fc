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

// listenForNextProcess opens the socket on which the next process of this relay asks for a handover. If that fails,
// the relay still runs, but cannot be upgraded under load.
func (r *Relay) listenForNextProcess() {
	path := filepath.Join(r.config.StateDir, handoverSocket)
	os.Remove(path) // left by a process that has ended or handed over
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		slog.Error("cannot listen for the next process; no upgrade under load is possible", "err", err)
		return
	}
	listener.SetUnlinkOnClose(false) // by then the path belongs to the next process
	r.handoverListener = listener
	go func() {
		for requests := listen.Retrying(listener); ; {
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
					conn.Close() // a next process has taken over already, or enough are waiting
					return
				}
				r.handoverRequests = append(r.handoverRequests, conn)
			})
			select {
			case <-r.quit: // the loop has ended, so no handover will take place
				conn.Close()
			default:
			}
		}
	}()
}

// handOverToFirst hands over to the process that asked first. If that succeeds, all other requests are closed.
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

// handOver transfers everything that this process has to the next one. It runs in the loop, right after a step, when
// no event awaits a decision. If it fails, this process continues as before.
func (r *Relay) handOver(conn *net.UnixConn) {
	link, err := r.transferState(conn)
	if err != nil {
		slog.Error("handover failed; this process continues", "err", err)
		conn.Close()
		if err := r.journal.Compact(); err != nil { // the next process may have replaced the file
			r.journal.StopWriting(err)
			slog.Error("journal lost in a failed handover", "err", err)
		}
		r.reopenBacklog()
		return
	}
	slog.Info("handed over", "held", len(r.pending), "calls", r.callsInFlight)
	r.nextProcess, r.forwardedRequests = link, map[int64]*apiRequest{}
	r.overflow = nil
	r.metrics.setTotals(0, 0, 0) // the next process reports them now
	r.metrics.setBacklog(nil)
	r.handedOverAt.Store(steady.Now().UnixNano())
	r.pendingRecords, r.unrecordedNotices = nil, nil
	r.journal.Close()
	r.handoverListener.Close()
	r.closeReplication()
	r.cancelPlatform()
	r.makeSpaceForNextProcess()
	r.tcpListener.Close()                         // the next process has the socket with its accept queue
	r.hostTransport.Load().CloseIdleConnections() // both processes share one limit on descriptors
	go func() {
		readUpdates(link, func(reply handoverReply) { r.post(func() { r.handleHandoverReply(reply) }) })
		r.post(r.nextProcessExited)
	}()
}

// transferState sends the listener and the snapshot to the next process and waits for its confirmation.
func (r *Relay) transferState(conn *net.UnixConn) (*processLink, error) {
	if r.flush(); r.stopped || len(r.pendingRecords) > 0 {
		return nil, errors.New("this process is stopping, or cannot write its journal")
	}
	r.overflow.closeStore()
	file, err := r.tcpListener.File()
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
	snapshot := handoverSnapshot{Version: r.appliedVersion, Memory: r.chooser.Snapshot(r.now()), Ended: r.endedIDs.snapshot(), ClientConns: r.clientListener.connCount()}
	if r.replication != nil {
		snapshot.Writer = r.replication.writer(r.fleetConfig.Instance)
	}
	listed := map[string]bool{}
	for id, host := range r.hosts {
		snapshot.Servers = append(snapshot.Servers, host.entry)
		listed[id] = true
	}
	callIndexes := map[*call]int{}
	for _, m := range r.pending {
		if m.call == nil {
			continue
		}
		index, ok := callIndexes[m.call]
		if !ok {
			index = len(snapshot.RunningCalls)
			callIndexes[m.call] = index
			host := m.call.host
			snapshot.RunningCalls = append(snapshot.RunningCalls, runningCall{Host: host.id, Elapsed: time.Since(m.call.startedAt)})
			if !listed[host.id] {
				snapshot.Departed = append(snapshot.Departed, host.entry)
				listed[host.id] = true
			}
		}
		snapshot.RunningCalls[index].IDs = append(snapshot.RunningCalls[index].IDs, m.ID)
	}
	return snapshot
}

// forward sends a client's message to the next process.
func (r *Relay) forward(apiReq *apiRequest) {
	r.lastForwardedID++
	r.forwardedRequests[r.lastForwardedID] = apiReq
	if !r.nextProcess.send(handoverUpdate{RequestID: r.lastForwardedID, Entry: apiReq.entry, TimeLeft: apiReq.due - r.now()}) {
		r.handleHandoverReply(handoverReply{RequestID: r.lastForwardedID, Status: 503, RetryAfter: defaultRetryAfter, Text: "no next process"})
	}
}

// handleHandoverReply applies a reply of the next process: it cancels a call, or answers a client.
func (r *Relay) handleHandoverReply(reply handoverReply) {
	if m := r.pending[reply.CancelID]; m != nil && m.call != nil {
		m.call.cancel(errCancelled)
	}
	if apiReq := r.forwardedRequests[reply.RequestID]; apiReq != nil {
		delete(r.forwardedRequests, reply.RequestID)
		apiReq.reply <- apiResponse{status: reply.Status, retryAfter: reply.RetryAfter, text: reply.Text}
	}
}

// nextProcessExited stops this process, because the journal no longer belongs to it.
func (r *Relay) nextProcessExited() {
	slog.Error("the next process has exited; stopping")
	r.answerUnconfirmed()
	r.stop()
}

// answerUnconfirmed answers the clients whose messages were forwarded to the next process without a reply. The next
// process may have accepted them, and whichever process runs next delivers what is on record. Clients are told to
// retry only where a second delivery does no harm.
func (r *Relay) answerUnconfirmed() {
	for requestID, apiReq := range r.forwardedRequests {
		reply := handoverReply{RequestID: requestID, Status: http.StatusInternalServerError, Text: "it is not known whether it will be delivered"}
		if apiReq.entry.Terms != nil && apiReq.entry.Terms.Class.Effect == choice.Safe {
			reply = handoverReply{RequestID: requestID, Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter, Text: "no next process"}
		}
		r.handleHandoverReply(reply)
	}
}

// answerAtExit answers, as the loop ends, the clients whose answer depends on another process. A message whose record
// is not committed is removed from the journal before its client is answered.
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

// dialedTooLate reports whether a call got its connection so long after the handover that it must not be sent.
func (r *Relay) dialedTooLate() bool {
	handedOverAt := r.handedOverAt.Load()
	return handedOverAt > 0 && steady.Now().Sub(time.Unix(0, handedOverAt)) > lateDialLimit
}

// closeReplication leaves replication groups, copies and the fleet address to the next process.
func (r *Relay) closeReplication() {
	rep := r.replication
	if rep == nil {
		return
	}
	for _, stream := range rep.streams {
		stream.Close()
		stream.commitWaiters.Discard()
	}
	if replica := rep.replica.Load(); replica != nil {
		replica.Close()
	}
}

// acceptDeferred processes the messages that arrived after a next process had asked for the handover.
func (r *Relay) acceptDeferred() {
	deferred := r.deferredRequests
	r.deferredRequests = nil
	for _, apiReq := range deferred {
		r.submit(apiReq)
	}
}
