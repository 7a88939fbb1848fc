package relay

import (
	"bytes"
	"fmt"
	"log/slog"

	"larchrouter/choice"
)

// unitMetrics count what the chooser finds out about the health of units, and what it sends to those that are not
// healthy.
type unitMetrics struct {
	outages       int // changes to suspect
	shortOutages  int // of these, the ones that ended without slow start
	slowStarts    int // changes to recovering
	warmedUp      int // slow starts that ended in health
	trials        int // messages sent to suspect units
	slowStartSent int // messages sent to recovering units
}

// countChange counts a unit's change of state.
func (m *unitMetrics) countChange(change choice.UnitChange) {
	switch {
	case change.To == choice.Suspect:
		m.outages++
	case change.To == choice.Recovering:
		m.slowStarts++
	case change.From == choice.Suspect:
		m.shortOutages++
	case change.From == choice.Recovering:
		m.warmedUp++
	}
}

// countSend counts a message that the chooser sends.
func (m *unitMetrics) countSend(unit choice.UnitState) {
	switch unit {
	case choice.Suspect:
		m.trials++
	case choice.Recovering:
		m.slowStartSent++
	}
}

// appendText appends the metrics, one per line.
func (m *unitMetrics) appendText(buf *bytes.Buffer) {
	fmt.Fprintf(buf, "svc.outages.begun=%d\nsvc.outages.short=%d\nsvc.outages.slow_starts=%d\nsvc.outages.warmed_up=%d\n"+
		"svc.outages.trials=%d\nsvc.outages.slow_start_sent=%d\n",
		m.outages, m.shortOutages, m.slowStarts, m.warmedUp, m.trials, m.slowStartSent)
}

// noteUnitChange counts and logs a unit's change of state.
func (m *relayMetrics) noteUnitChange(change choice.UnitChange) {
	m.mu.Lock()
	m.units.countChange(change)
	m.mu.Unlock()
	slog.Info(change.String(), "from", change.From, "reason", change.Reason, "in_state", change.InState,
		"since_served", change.SinceServed, "bad_outcomes", change.BadOutcomes, "calls_out", change.CallsInFlight,
		"oldest_call", change.OldestCall, "answer_took", change.AnswerTook, "recent_calls", change.RecentCalls,
		"cold_budget", change.ColdBudget)
}

// countSends counts the messages that the chooser sends in one step.
func (m *relayMetrics) countSends(sends []choice.Send) {
	if len(sends) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, send := range sends {
		m.units.countSend(send.Unit)
	}
}
