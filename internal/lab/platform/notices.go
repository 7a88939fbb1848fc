package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"larchrouter/internal/lab/history"
)

// The receiver of notices.

// DelayNotices sets the delay of answers to calls with notices. The notices themselves are processed without delay.
func (d *Discovery) DelayNotices(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noticeDelay = delay
}

// serveNotices receives notices, also during an outage of discovery. It answers 400 if any of them is malformed.
func (d *Discovery) serveNotices(relay string, a *request) bool {
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
		d.Record(history.Event{At: a.lastByteAt, Kind: history.NoticeReceived, Relay: relay, ID: n.ID, Detail: n.Status, WaitMs: n.Again})
		if d.OnNotice != nil {
			d.OnNotice(n.ID, n.Status, time.Duration(n.Again)*time.Millisecond)
		}
	}
	d.mu.Lock()
	delay := d.noticeDelay
	d.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-a.conn.PeerClosed():
	}
	return respond(a.conn, http.StatusNoContent, "", nil, nil) == nil
}
