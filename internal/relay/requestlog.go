package relay

import (
	"context"
	"log/slog"
	"time"
)

// logRequest logs a request whose first byte is about to be written, with the version of the list that it relies on
// and the remaining time of that list's lease.
func (r *Relay) logRequest(ctx context.Context, c *call, ids []string) {
	if !slog.Default().Enabled(ctx, slog.LevelDebug) {
		return
	}
	until := time.Duration(r.sendUntil.Load())
	slog.Debug("sending request", "id", ids[0], "messages", len(ids), "endpoint", c.host.id, "list", r.listVersion.Load(),
		"lease_left", until-r.now(), "decided", time.Since(c.startedAt))
}
