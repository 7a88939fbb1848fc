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
		records := tryRecords(hostCall, wallTime)
		// An attempt must not be sent unless it is recorded: after a restart, nothing would be known of it.
		recordedAt := time.Now()
		err := r.commitInOrder(records, callStartTimeout, func(committed bool) { r.startRecorded(hostCall, recordedAt, committed) })
		if err != nil {
			slog.Error("attempts not sent: could not be recorded", "err", err, "remedy", remedy.Of(err))
			r.reportNotSent(hostCall)
		}
	}
}

// tryRecords returns the records of a call's attempts. The members of a call share it until the longest of their time-outs,
// so a member with a shorter one has the longest recorded as well.
func tryRecords(hostCall *call, wallTime int64) (records []journal.Record) {
	var longest time.Duration
	for _, send := range hostCall.sends {
		longest = max(longest, send.Timeout)
	}
	for i, msg := range hostCall.members {
		timeout := hostCall.sends[i].Timeout
		record := journal.Record{Op: journal.OpTry, ID: msg.ID, At: wallTime, WaitMs: timeout.Milliseconds(), Zone: hostCall.host.zone}
		if timeout < longest {
			record.CallMs = longest.Milliseconds()
		}
		records = append(records, record)
	}
	return records
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
