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
const maxQueueWait = 2 * time.Second

// toldAnyway is when an answer counts as told that did not arrive.
const assumedDeliveredAfter = 6 * time.Second

// ListTrouble is what is wrong with calls for the list while discovery is up. Shares are of all calls, each by chance.
type ListFaults struct {
	Delay           time.Duration // each call takes discovery so much longer
	RefusedShare    float64       // share that is refused at once
	CutShare        float64       // share whose answer stops short, and its connection ends
	StalledShare    float64       // share whose answer stops short, and whose connection stays
	UnansweredShare float64       // share that is never answered, nor ended
}

// Disturb replaces what is wrong with calls for the list.
func (d *Discovery) ChangeFaults(change func(*ListFaults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.faults)
}

// fate is what becomes of one call.
type callFate struct {
	handlingTime                    time.Duration
	refused, cut, stall, unanswered bool
}

// draw decides the fate of a call. One whose turn could not come in time is refused at once, and does not wait.
func (d *Discovery) drawFate() callFate {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := callFate{handlingTime: time.Duration(d.Draw.ListCost*float64(time.Second)) + d.faults.Delay}
	happens := func(share float64) bool { return share > 0 && d.rand.Float64() < share }
	f.refused = happens(d.faults.RefusedShare) || time.Duration(d.waitingCalls)*f.handlingTime > maxQueueWait
	f.cut, f.stall, f.unanswered = happens(d.faults.CutShare), happens(d.faults.StalledShare), happens(d.faults.UnansweredShare)
	if !f.refused {
		d.waitingCalls++
	}
	return f
}

// turn waits until a call has been handled, and tells whether it was.
func (d *Discovery) waitForSlot(f callFate, a *request) (handled bool) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waitingCalls--
	}()
	select {
	case d.slot <- struct{}{}:
		time.Sleep(f.handlingTime)
		<-d.slot
		return true
	case <-time.After(maxQueueWait):
		return false
	case <-a.conn.Gone():
		return false
	}
}

// tell answers a call for the list, or a watch once there is something new.
func (d *Discovery) serveList(relay string, a *request) bool {
	since, _ := strconv.ParseInt(a.URL.Query().Get("since"), 10, 64)
	ms, _ := strconv.ParseInt(a.URL.Query().Get("timeout_ms"), 10, 64)
	wait := time.Duration(min(max(ms, 0), 60000)) * time.Millisecond
	d.Record(history.Event{T: a.lastByteAt, Kind: history.Asked, Relay: relay, Version: since, Left: wait.Milliseconds()})
	fail := func() bool {
		d.Record(history.Event{T: d.Clock.Now(), Kind: history.Untold, Relay: relay, Begun: a.lastByteAt})
		return respond(a.conn, http.StatusServiceUnavailable, "", nil, nil) == nil
	}
	if since > 0 && wait > 0 { // the watch goes on from when its next call comes
		d.countWatch(relay, 1)
		defer d.countWatch(relay, -1)
	}
	f := d.drawFate()
	if f.refused || !d.waitForSlot(f, a) {
		return fail()
	}
	if f.unanswered {
		<-a.conn.Gone()
		d.Record(history.Event{T: d.Clock.Now(), Kind: history.Untold, Relay: relay, Begun: a.lastByteAt})
		return false
	}
	l, up := d.awaitChange(relay, since, wait, a)
	if !up {
		return fail()
	}
	return d.writeList(relay, a, l, f, since > 0 && wait > 0)
}

// awaitNews returns what there is to tell, for a watch as soon as there is any or its wait is over; false during an outage.
func (d *Discovery) awaitChange(relay string, since int64, wait time.Duration, a *request) (l endpointList, up bool) {
	watch := since > 0 && wait > 0
	d.mu.Lock()
	changed, down, current := d.changed, d.downSignal, d.version
	if d.isDown {
		d.mu.Unlock()
		return endpointList{}, false
	}
	d.mu.Unlock()
	if watch && since == current {
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-down:
		case <-a.conn.Gone():
		}
		timer.Stop()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDown {
		return endpointList{}, false
	}
	delete(d.lastWatchAnswer, relay)
	return d.listSince(relay, since), true
}

// watching counts the watches of a relay.
func (d *Discovery) countWatch(relay string, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches[relay] += delta
}

// answeredWatch has changes of the next moments count as told, though the relay may not go on watching.
func (d *Discovery) noteWatchAnswer(relay string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastWatchAnswer[relay] = time.Now()
}

// write sends an answer, or the part of it that its fate lets go.
func (d *Discovery) writeList(relay string, a *request, l endpointList, f callFate, watch bool) bool {
	body, err := json.Marshal(l)
	if err != nil {
		return false
	}
	sent := d.Clock.Now()
	select {
	case <-a.conn.Gone(): // the relay has given the call up: it is told nothing
		d.Record(history.Event{T: sent, Kind: history.Untold, Relay: relay, Begun: a.lastByteAt})
		return false
	default:
	}
	how, part := fmt.Sprint(len(l.Servers), " entries"), len(body)
	if f.cut || f.stall {
		how, part = history.CutShort, len(body)/2
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	err = a.conn.Send(append([]byte(head), body[:part]...), func(at int64, ok bool) {
		if ok && watch {
			d.noteWatchAnswer(relay)
		}
		d.pendingOutcomes.Go(func() { d.recordOutcome(relay, a, l, sent, at, how, ok, part == len(body)) })
	})
	if f.stall {
		<-a.conn.Gone()
	}
	return err == nil && !f.cut && !f.stall
}

// crossing is within which an answer and the end of its call count as having crossed: the slack of each time.
const crossingTolerance = 50 * time.Millisecond

// written records what became of an answer that was sent. One that crossed the end of its call, or of the process that made it, was
// told to nobody.
func (d *Discovery) recordOutcome(relay string, a *request, l endpointList, sent, at int64, how string, ok, whole bool) {
	switch {
	case ok && whole:
		select {
		case <-a.conn.Gone():
			d.Record(history.Event{T: at, Kind: history.Untold, Relay: relay, Begun: a.lastByteAt})
			return
		case <-time.After(crossingTolerance):
		}
		d.storeList(relay, l)
	case !ok: // it counts as told some time after, whether it arrived or not
		at, how = sent+assumedDeliveredAfter.Microseconds(), "lost"
	}
	d.Record(history.Event{T: min(at, sent+assumedDeliveredAfter.Microseconds()), Kind: history.Told, Relay: relay, Version: l.Version, How: how, Begun: a.lastByteAt})
}

// Settle waits until what became of all answers is on record.
func (d *Discovery) AwaitOutcomes() { d.pendingOutcomes.Wait() }

// remember takes in that a relay has an answer.
func (d *Discovery) storeList(relay string, l endpointList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if had, ok := d.lastLists[relay]; ok && !l.Full {
		had.Version = l.Version
		had.Servers = mergeChanges(had.Servers, l.Servers)
		d.lastLists[relay] = had
	} else if l.Full {
		d.lastLists[relay] = l
	}
}

// merge is a list with changes in it.
func mergeChanges(list, changes []Entry) []Entry {
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
	l, ok := d.lastLists[relay]
	if !ok {
		l = d.listSince(relay, 0)
		d.lastLists[relay] = l
	}
	data, err = json.Marshal(l)
	return data, l.Version, err
}
