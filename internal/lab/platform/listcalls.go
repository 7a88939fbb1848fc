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

// Calls for the list of endpoints: watches, the queue of calls, and faults of the answers.

// maxQueueWait is the time that a call waits in the queue before it fails.
const maxQueueWait = 2 * time.Second

// assumedDeliveredAfter is the time after which an answer that did not arrive counts as delivered.
const assumedDeliveredAfter = 6 * time.Second

// ListFaults describes the faults of calls for the list while discovery is up. Shares are of all calls, each drawn at random.
type ListFaults struct {
	Delay           time.Duration // additional handling time of each call
	RefusedShare    float64       // share that is refused immediately
	CutShare        float64       // share whose answer is truncated and whose connection is closed
	StalledShare    float64       // share whose answer is truncated and whose connection stays open
	UnansweredShare float64       // share that is never answered and whose connection stays open
}

// ChangeFaults applies a change to the faults of calls for the list.
func (d *Discovery) ChangeFaults(change func(*ListFaults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.faults)
}

// callFate holds the handling time of a call and the faults drawn for it.
type callFate struct {
	handlingTime                    time.Duration
	refused, cut, stall, unanswered bool
}

// drawFate draws the fate of a call. A call that could not be handled within maxQueueWait is refused immediately. Any other one
// is counted as waiting.
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

// waitForSlot waits in the queue and for the handling time of a call. It reports whether the call was handled: it returns false
// after maxQueueWait, or once the relay closes the connection.
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
	case <-a.conn.PeerClosed():
		return false
	}
}

// serveList answers a call for the list. A watch is answered once there is a change or its timeout has passed.
func (d *Discovery) serveList(relay string, a *request) bool {
	since, _ := strconv.ParseInt(a.URL.Query().Get("since"), 10, 64)
	ms, _ := strconv.ParseInt(a.URL.Query().Get("timeout_ms"), 10, 64)
	wait := time.Duration(min(max(ms, 0), 60000)) * time.Millisecond
	d.Record(history.Event{At: a.lastByteAt, Kind: history.ListRequested, Relay: relay, Version: since, LeftMs: wait.Milliseconds()})
	fail := func() bool {
		d.Record(history.Event{At: d.Clock.Now(), Kind: history.ListCallFailed, Relay: relay, BegunAt: a.lastByteAt})
		return respond(a.conn, http.StatusServiceUnavailable, "", nil, nil) == nil
	}
	if since > 0 && wait > 0 { // the watch is uninterrupted from the arrival of its next call on
		d.countWatch(relay, 1)
		defer d.countWatch(relay, -1)
	}
	f := d.drawFate()
	if f.refused || !d.waitForSlot(f, a) {
		return fail()
	}
	if f.unanswered {
		<-a.conn.PeerClosed()
		d.Record(history.Event{At: d.Clock.Now(), Kind: history.ListCallFailed, Relay: relay, BegunAt: a.lastByteAt})
		return false
	}
	l, up := d.awaitChange(relay, since, wait, a)
	if !up {
		return fail()
	}
	return d.writeList(relay, a, l, f, since > 0 && wait > 0)
}

// awaitChange returns the list as of a version; for a watch, once there is a change or its wait is over. It returns false
// during an outage.
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
		case <-a.conn.PeerClosed():
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

// countWatch adds delta to the number of open watches of a relay.
func (d *Discovery) countWatch(relay string, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches[relay] += delta
}

// noteWatchAnswer records the time at which a watch of a relay was answered. Changes within maxWatchGap of it count as notified,
// even if the relay does not watch again.
func (d *Discovery) noteWatchAnswer(relay string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastWatchAnswer[relay] = time.Now()
}

// writeList sends an answer, or half of it if its fate is to be truncated. It reports whether the connection stays open.
func (d *Discovery) writeList(relay string, a *request, l endpointList, f callFate, watch bool) bool {
	body, err := json.Marshal(l)
	if err != nil {
		return false
	}
	sent := d.Clock.Now()
	select {
	case <-a.conn.PeerClosed(): // the relay has cancelled the call: it receives nothing
		d.Record(history.Event{At: sent, Kind: history.ListCallFailed, Relay: relay, BegunAt: a.lastByteAt})
		return false
	default:
	}
	detail, size := fmt.Sprint(len(l.Servers), " entries"), len(body)
	if f.cut || f.stall {
		detail, size = history.TruncatedAnswer, len(body)/2
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	err = a.conn.Send(append([]byte(head), body[:size]...), func(at int64, ok bool) {
		if ok && watch {
			d.noteWatchAnswer(relay)
		}
		d.pendingOutcomes.Go(func() { d.recordOutcome(relay, a, l, sent, at, detail, ok, size == len(body)) })
	})
	if f.stall {
		<-a.conn.PeerClosed()
	}
	return err == nil && !f.cut && !f.stall
}

// crossingTolerance is the interval within which an answer and the end of its call count as simultaneous: the inaccuracy of
// either time.
const crossingTolerance = 50 * time.Millisecond

// recordOutcome records the outcome of an answer that was sent. An answer that coincides with the end of its call, or of the
// process that made it, counts as not received. Times are in microseconds of the run's clock.
func (d *Discovery) recordOutcome(relay string, a *request, l endpointList, sent, at int64, detail string, ok, complete bool) {
	switch {
	case ok && complete:
		select {
		case <-a.conn.PeerClosed():
			d.Record(history.Event{At: at, Kind: history.ListCallFailed, Relay: relay, BegunAt: a.lastByteAt})
			return
		case <-time.After(crossingTolerance):
		}
		d.storeList(relay, l)
	case !ok: // it counts as received after assumedDeliveredAfter, whether it arrived or not
		at, detail = sent+assumedDeliveredAfter.Microseconds(), "lost"
	}
	d.Record(history.Event{At: min(at, sent+assumedDeliveredAfter.Microseconds()), Kind: history.ListSent, Relay: relay, Version: l.Version, Detail: detail, BegunAt: a.lastByteAt})
}

// AwaitOutcomes waits until the outcomes of all answers have been recorded.
func (d *Discovery) AwaitOutcomes() { d.pendingOutcomes.Wait() }

// storeList updates the list that a relay is known to have with an answer that it received.
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

// mergeChanges returns a list with changes applied, without the endpoints that left.
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

// Known returns the list that a relay received last, encoded for its configuration, and the list's version. For a relay that has
// received none it is the current list.
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
