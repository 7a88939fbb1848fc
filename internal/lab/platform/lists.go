package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"larchrouter/internal/lab/history"
)

// Calls for the list: watches, the queue that all calls wait in, and what may be wrong with the answers.

// callMost is how long a call waits for its turn before it fails.
const callMost = 2 * time.Second

// toldAnyway is when an answer counts as told that did not arrive.
const toldAnyway = 6 * time.Second

// ListTrouble is what is wrong with calls for the list while discovery is up. Shares are of all calls, each by chance.
type ListTrouble struct {
	Slow  time.Duration // each call takes discovery so much longer
	Busy  float64       // share that is refused at once
	Cut   float64       // share whose answer stops short, and its connection ends
	Stall float64       // share whose answer stops short, and whose connection stays
	Mute  float64       // share that is never answered, nor ended
}

// Disturb replaces what is wrong with calls for the list.
func (d *Discovery) Disturb(how func(*ListTrouble)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	how(&d.trouble)
}

// fate is what becomes of one call.
type fate struct {
	cost                    time.Duration
	busy, cut, stall, muted bool
}

// draw decides the fate of a call. One whose turn could not come in time is refused at once, and does not wait.
func (d *Discovery) draw() fate {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := fate{cost: time.Duration(d.Draw.ListCost*float64(time.Second)) + d.trouble.Slow}
	happens := func(share float64) bool { return share > 0 && d.chance.Float64() < share }
	f.busy = happens(d.trouble.Busy) || time.Duration(d.queued)*f.cost > callMost
	f.cut, f.stall, f.muted = happens(d.trouble.Cut), happens(d.trouble.Stall), happens(d.trouble.Mute)
	if !f.busy {
		d.queued++
	}
	return f
}

// turn waits until a call has been handled, and tells whether it was.
func (d *Discovery) turn(f fate, a *asked) (handled bool) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.queued--
	}()
	select {
	case d.queue <- struct{}{}:
		time.Sleep(f.cost)
		<-d.queue
		return true
	case <-time.After(callMost):
		return false
	case <-a.conn.PeerClosed():
		return false
	}
}

// tell answers a call for the list, or a watch once there is something new.
func (d *Discovery) tell(relay string, a *asked) bool {
	since, _ := strconv.ParseInt(a.URL.Query().Get("since"), 10, 64)
	ms, _ := strconv.ParseInt(a.URL.Query().Get("timeout_ms"), 10, 64)
	wait := time.Duration(min(max(ms, 0), 60000)) * time.Millisecond
	d.Record(history.Event{At: a.whole, Kind: history.ListRequested, Relay: relay, Version: since, LeftMs: wait.Milliseconds()})
	fail := func() bool {
		d.Record(history.Event{At: d.Clock.Now(), Kind: history.ListCallFailed, Relay: relay, BegunAt: a.whole})
		return respond(a.conn, http.StatusServiceUnavailable, "", nil, nil) == nil
	}
	if since > 0 && wait > 0 { // the watch goes on from when its next call comes
		d.watching(relay, 1)
		defer d.watching(relay, -1)
	}
	f := d.draw()
	if f.busy || !d.turn(f, a) {
		return fail()
	}
	if f.muted {
		<-a.conn.PeerClosed()
		d.Record(history.Event{At: d.Clock.Now(), Kind: history.ListCallFailed, Relay: relay, BegunAt: a.whole})
		return false
	}
	l, up := d.awaitNews(relay, since, wait, a)
	if !up {
		return fail()
	}
	return d.write(relay, a, l, f, since > 0 && wait > 0)
}

// awaitNews returns what there is to tell, for a watch as soon as there is any or its wait is over; false during an outage.
func (d *Discovery) awaitNews(relay string, since int64, wait time.Duration, a *asked) (l answer, up bool) {
	watch := since > 0 && wait > 0
	d.mu.Lock()
	changed, down, current := d.changed, d.down, d.version
	if d.isDown {
		d.mu.Unlock()
		return answer{}, false
	}
	d.mu.Unlock()
	if watch && since == current {
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-down:
		case <-a.conn.PeerClosed():
		}
		timer.Stop()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDown {
		return answer{}, false
	}
	delete(d.last, relay)
	return d.list(relay, since), true
}

// watching counts the watches of a relay.
func (d *Discovery) watching(relay string, more int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches[relay] += more
}

// answeredWatch has changes of the next moments count as told, though the relay may not go on watching.
func (d *Discovery) answeredWatch(relay string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last[relay] = time.Now()
}

// write sends an answer, or the part of it that its fate lets go.
func (d *Discovery) write(relay string, a *asked, l answer, f fate, watch bool) bool {
	body, err := json.Marshal(l)
	if err != nil {
		return false
	}
	sent := d.Clock.Now()
	select {
	case <-a.conn.PeerClosed(): // the relay has given the call up: it is told nothing
		d.Record(history.Event{At: sent, Kind: history.ListCallFailed, Relay: relay, BegunAt: a.whole})
		return false
	default:
	}
	how, part := fmt.Sprint(len(l.Servers), " entries"), len(body)
	if f.cut || f.stall {
		how, part = history.TruncatedAnswer, len(body)/2
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	err = a.conn.Send(append([]byte(head), body[:part]...), func(at int64, ok bool) {
		if ok && watch {
			d.answeredWatch(relay)
		}
		d.unsettled.Go(func() { d.written(relay, a, l, sent, at, how, ok, part == len(body)) })
	})
	if f.stall {
		<-a.conn.PeerClosed()
	}
	return err == nil && !f.cut && !f.stall
}

// crossing is within which an answer and the end of its call count as having crossed: the slack of each time.
const crossing = 50 * time.Millisecond

// written records what became of an answer that was sent. One that crossed the end of its call, or of the process that made it, was
// told to nobody.
func (d *Discovery) written(relay string, a *asked, l answer, sent, at int64, how string, ok, whole bool) {
	switch {
	case ok && whole:
		select {
		case <-a.conn.PeerClosed():
			d.Record(history.Event{At: at, Kind: history.ListCallFailed, Relay: relay, BegunAt: a.whole})
			return
		case <-time.After(crossing):
		}
		d.remember(relay, l)
	case !ok: // it counts as told some time after, whether it arrived or not
		at, how = sent+toldAnyway.Microseconds(), "lost"
	}
	d.Record(history.Event{At: min(at, sent+toldAnyway.Microseconds()), Kind: history.ListSent, Relay: relay, Version: l.Version, Detail: how, BegunAt: a.whole})
}

// Settle waits until what became of all answers is on record.
func (d *Discovery) Settle() { d.unsettled.Wait() }

// remember takes in that a relay has an answer.
func (d *Discovery) remember(relay string, l answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if had, ok := d.had[relay]; ok && !l.Full {
		had.Version = l.Version
		had.Servers = merge(had.Servers, l.Servers)
		d.had[relay] = had
	} else if l.Full {
		d.had[relay] = l
	}
}

// merge is a list with changes in it.
func merge(list, changes []Entry) []Entry {
	merged := map[string]Entry{}
	var order []string
	for _, e := range append(slices.Clone(list), changes...) {
		if _, ok := merged[e.ID]; !ok {
			order = append(order, e.ID)
		}
		merged[e.ID] = e
	}
	all := []Entry{}
	for _, id := range order {
		if e := merged[id]; e.State != "left" {
			all = append(all, e)
		}
	}
	return all
}

// Known is the list as a relay had it last, which it is started with, and its version; the whole list of now if it had none yet.
func (d *Discovery) Known(relay string) (data []byte, version int64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.had[relay]
	if !ok {
		l = d.list(relay, 0)
		d.had[relay] = l
	}
	data, err = json.Marshal(l)
	return data, l.Version, err
}
