package relay

import (
	"log/slog"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// dispatch groups the sends of one step into calls, records them, and starts them.
func (r *Relay) dispatch(sends []choice.Send) {
	openCalls := map[string]*call{}
	var calls []*call
	wallTime := steady.UnixMilli()
	for _, send := range sends {
		msg, host := r.pending[send.ID], r.hosts[send.Host]
		if msg == nil || host == nil || host.dest != msg.Dest || host.closed.Load() {
			if host != nil && host.closed.Load() {
				r.metrics.countWithheld(endpointUnavailable, 1)
			}
			r.events = append(r.events, choice.Result{ID: send.ID, Host: send.Host, Outcome: choice.NotSent})
			continue
		}
		hostCall, size := openCalls[send.Host], frameSize(msg)
		if hostCall == nil || len(hostCall.members) >= host.maxPerCall || hostCall.size+size > maxBodyBytes { // a request body may have maxBody bytes at most
			hostCall = &call{host: host}
			openCalls[send.Host] = hostCall
			calls = append(calls, hostCall)
		}
		hostCall.size += size
		hostCall.members, hostCall.sends = append(hostCall.members, msg), append(hostCall.sends, send)
	}
	for _, hostCall := range calls {
		var records []journal.Record
		for i, msg := range hostCall.members {
			records = append(records, journal.Record{Op: journal.OpTry, ID: msg.ID, At: wallTime, WaitMs: hostCall.sends[i].Timeout.Milliseconds(), Zone: hostCall.host.zone})
		}
		// An attempt must not be sent unless it is recorded: after a restart, nothing would be known of it.
		recordedAt := time.Now()
		err := r.commitInOrder(records, callStartTimeout, func(committed bool) { r.startRecorded(hostCall, recordedAt, committed) })
		if err != nil {
			slog.Error("attempts not sent: could not be recorded", "err", err, "remedy", remedy.Of(err))
			r.reportNotSent(hostCall)
		}
	}
}

// reportNotSent reports to the Chooser that no message of a call was sent.
func (r *Relay) reportNotSent(c *call) {
	for _, send := range c.sends {
		r.events = append(r.events, choice.Result{ID: send.ID, Host: send.Host, Outcome: choice.NotSent})
	}
}

// startRecorded starts a call whose record is committed. None of its messages is sent if the record was not committed,
// took too long, or if the call has been forbidden since.
func (r *Relay) startRecorded(hostCall *call, recordedAt time.Time, committed bool) {
	if r.replication == nil {
		r.startCall(hostCall)
		return
	}
	waited := time.Since(recordedAt)
	forbidden := !committed || waited >= callStartTimeout || r.stopped || r.nextProcess != nil || hostCall.host.closed.Load() ||
		slices.ContainsFunc(hostCall.members, func(m *message) bool { return m.ended })
	for i := range hostCall.sends { // a call that lasts until its message's deadline must still end at the deadline
		hostCall.sends[i].Timeout -= waited
		forbidden = forbidden || hostCall.sends[i].Timeout <= 0
	}
	if !forbidden {
		hostCall.startBy = recordedAt.Add(callStartTimeout)
		r.startCall(hostCall)
		return
	}
	for _, m := range hostCall.members {
		if !m.ended {
			r.record(journal.Record{Op: journal.OpOutcome, ID: m.ID})
		}
	}
	r.reportNotSent(hostCall)
}
