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
		for asking := listen.Lasting(l); ; {
			accepted, err := asking.Accept()
			if err != nil {
				return
			}
			conn := accepted.(*net.UnixConn)
			hello := make([]byte, len(handoverHello))
			conn.SetDeadline(time.Now().Add(handoverIn))
			if _, err := io.ReadFull(conn, hello); err != nil || string(hello) != handoverHello {
				conn.Close()
				continue
			}
			r.post(func() {
				if r.heir != nil || len(r.askers) >= askersMost {
					conn.Close() // there is a next process already
					return
				}
				r.askers = append(r.askers, conn)
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
	conn := r.askers[0]
	r.askers = r.askers[1:]
	r.handOver(conn)
	if r.heir != nil {
		for _, other := range r.askers {
			other.Close()
		}
		r.askers = nil
	}
	r.takeDeferred()
}

// handOver gives all that this process holds to the next one. It runs in the loop, right after a
// step: nothing is undecided then. If it fails this process goes on as if nothing had been.
func (r *Relay) handOver(conn *net.UnixConn) {
	l, err := r.bequeath(conn)
	if err != nil {
		slog.Error("not handed over", "err", err)
		conn.Close()
		if err := r.journal.Compact(); err != nil { // the next process may have replaced the file
			r.journal.StopWriting(err)
			slog.Error("journal lost in a hand-over", "err", err)
		}
		r.openAgain()
		return
	}
	slog.Info("handed over", "held", len(r.held), "calls", r.out)
	r.heir, r.asked = l, map[int64]*intake{}
	r.overflow = nil
	r.figures.hold(0, 0, 0) // they are the next process's
	r.figures.waiting(nil)
	r.passedAt.Store(steady.Now().UnixNano())
	r.records, r.untold = nil, nil
	r.journal.Close()
	r.heirs.Close()
	r.endCopies()
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
	r.overflow.shut()
	file, err := r.tcp.File()
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	defer file.Close()
	conn.SetDeadline(time.Now().Add(handoverIn))
	if _, _, err := conn.WriteMsgUnix([]byte{'\n'}, syscall.UnixRights(int(file.Fd())), nil); err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	if err := json.NewEncoder(conn).Encode(r.bequest()); err != nil {
		return nil, err
	}
	if err := awaitTaken(conn); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return newLink(conn, json.NewDecoder(conn)), nil
}

func (r *Relay) bequest() bequest {
	e := bequest{Version: r.version, Memory: r.chooser.Memory(r.now()), Past: r.past.all(), Peers: r.listener.count()}
	if r.copies != nil {
		e.Writer = r.copies.writer(r.kept.Instance)
	}
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
	r.unsure()
	r.stop()
}

// unsure answers the clients whose messages the next process got and gave no word of: it may have taken them on, and what
// is on record is delivered by whoever runs next. Only where a second delivery does no harm are they told to come again.
func (r *Relay) unsure() {
	for n, in := range r.asked {
		v := returned{N: n, Status: http.StatusInternalServerError, Text: "it is not known whether it will be delivered"}
		if in.entry.Terms != nil && in.entry.Terms.Class.Effect == choice.Safe {
			v = returned{N: n, Status: http.StatusServiceUnavailable, After: comeBack, Text: "no next process"}
		}
		r.answered(v)
	}
}

// lastWord answers, as the loop ends, the clients whose answer hangs on another process. What does not count yet is taken
// out of the record before its client hears so.
func (r *Relay) lastWord() {
	r.unsure()
	if r.copies == nil || r.heir != nil {
		return
	}
	for _, m := range r.held {
		if m.fresh != nil && r.journal.Entry(m.ID) != nil {
			r.uncounted(m)
		}
	}
}

// late tells whether a call that has only now got its connection must not go any more.
func (r *Relay) late() bool {
	at := r.passedAt.Load()
	return at > 0 && steady.Now().Sub(time.Unix(0, at)) > lateCall
}

// endCopies leaves estates, copies and the fleet address to the next process.
func (r *Relay) endCopies() {
	c := r.copies
	if c == nil {
		return
	}
	for _, s := range c.streams {
		s.Close()
		s.gates.Forget()
	}
	if h := c.holder.Load(); h != nil {
		h.Close()
	}
}

// takeDeferred takes on what came while the next process asked.
func (r *Relay) takeDeferred() {
	all := r.deferred
	r.deferred = nil
	for _, in := range all {
		r.take(in)
	}
}
