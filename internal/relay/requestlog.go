package relay

import (
	"context"
	"log/slog"
	"time"

	"larchrouter/choice"
)

// logRequest logs a request whose first byte is about to be written, with the version of the list that it relies on
// and the remaining time of that list's lease.
func (r *Relay) logRequest(ctx context.Context, c *call, ids []string) {
	if !slog.Default().Enabled(ctx, slog.LevelDebug) {
		return
	}
	until := time.Duration(r.sendUntil.Load())
	slog.Debug("sending request", "id", ids[0], "messages", len(ids), "endpoint", c.host.id, "list", r.listVersion.Load(),
		"lease_left", until-r.now(), "decided", time.Since(c.startedAt), "unit", c.sends[0].Unit)
}

// outcomeNames are the outcomes of attempts as the log names them.
var outcomeNames = [...]string{choice.Served: "served", choice.Error: "error", choice.Refused: "refused", choice.Timeout: "timeout",
	choice.NoConnection: "no_connection", choice.Reset: "reset", choice.Cancelled: "cancelled", choice.NotSent: "not_sent"}

// logAttempt logs the outcome of one message's attempt.
func logAttempt(c *call, msg *message, outcome choice.Outcome, feedback hostFeedback) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	slog.Debug("attempt ended", "id", msg.ID, "endpoint", c.host.id, "attempt", msg.Tries, "outcome", outcomeNames[outcome], "took", feedback.elapsed,
		"wait", feedback.retryAfter)
}
