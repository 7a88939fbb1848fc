package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"larchrouter/internal/lab/history"
)

// The platform's part that takes notices.

// SlowNotices has the answer to each call with notices come so much later. What the call says is taken at once.
func (d *Discovery) SlowNotices(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = by
}

// notices takes the ends of messages, also while discovery is down.
func (d *Discovery) notices(relay string, a *asked) bool {
	type notice struct {
		ID     string `json:"id"`
		Status string `json:"status"`
		Again  int64  `json:"again_ms"`
	}
	var all []notice
	for line := range bytes.Lines(a.body) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var n notice
		if err := json.Unmarshal(line, &n); err != nil || n.ID == "" || n.Status != "undeliverable" && n.Status != "deferred" {
			d.Record(history.Event{At: d.Clock.Now(), Kind: history.InvalidCall, Relay: relay, Endpoint: "status", Text: "notice " + string(line)})
			return respond(a.conn, http.StatusBadRequest, "", nil, nil) == nil
		}
		all = append(all, n)
	}
	for _, n := range all {
		d.Record(history.Event{At: a.whole, Kind: history.NoticeReceived, Relay: relay, ID: n.ID, Detail: n.Status, WaitMs: n.Again})
		if d.Noticed != nil {
			d.Noticed(n.ID, n.Status, time.Duration(n.Again)*time.Millisecond)
		}
	}
	d.mu.Lock()
	slow := d.slow
	d.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-a.conn.PeerClosed():
	}
	return respond(a.conn, http.StatusNoContent, "", nil, nil) == nil
}
