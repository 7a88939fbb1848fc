package relay

import (
	"context"
	"log/slog"
	"time"
)

// logRequest logs a request whose first byte is about to be written: by which list it goes, and how that list's lease stands.
func (r *Relay) logRequest(ctx context.Context, c *call, ids []string) {
	if !slog.Default().Enabled(ctx, slog.LevelDebug) {
		return
	}
	until := time.Duration(r.sendUntil.Load())
	slog.Debug("a request goes out", "id", ids[0], "messages", len(ids), "endpoint", c.host.id, "list", r.listVersion.Load(),
		"lease_left", until-r.now(), "decided", time.Since(c.startedAt))
}
