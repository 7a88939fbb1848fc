package relay

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchrouter/internal/fleet"
	"larchrouter/internal/remedy"
)

// Guards against settings that contradict each other, that are applied in part, or that make a start ignore messages
// in the backlog.
func TestBacklogConfiguration(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false))
	complete := replaceOnce(t, testConfig(t, p), `"disk_mb":3}`, `"disk_mb":12},"backlog":{"disk_mb":8}`)
	for name, data := range map[string][]byte{
		"none":           replaceOnce(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{}`),
		"negative":       replaceOnce(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{"disk_mb":-1}`),
		"no journal":     replaceOnce(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{"disk_mb":11.5}`),
		"copies as well": replaceOnce(t, complete, `"backlog"`, `"fleet":{"keepers":["127.0.0.1:1"],"listen":"127.0.0.1:0","copies":1},"backlog"`),
	} {
		_, err := readTestConfig(t, data, t.TempDir())
		if bad := (*BacklogError)(nil); !errors.As(err, &bad) || !strings.Contains(remedy.Of(err), bad.Advice) {
			t.Errorf("%s: %v, remedy %q", name, err, remedy.Of(err))
		}
	}
	conf, err := readTestConfig(t, complete, t.TempDir())
	if err != nil || conf.Backlog.DiskMB != 8 || conf.journalBytes() != 4e6-smallFilesBytes {
		t.Fatalf("%v, journal %d", err, conf.journalBytes())
	}
	conf.Fleet = &fleet.Config{Keepers: []string{"127.0.0.1:1"}, Listen: "127.0.0.1:0"}
	if err := conf.checkBacklog(); err == nil {
		t.Error("copies of others and a backlog together leave no space for the journal, but are accepted")
	}

	r, stop := startBacklogRelay(t, p, backlogOptions{stateDir: conf.StateDir})
	r.config.Backlog = conf.Backlog
	for name, next := range map[string][]byte{
		"less":  replaceOnce(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{"disk_mb":4}`),
		"gone":  replaceOnce(t, complete, `,"backlog":{"disk_mb":8}`, ``),
		"other": replaceOnce(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{"disk_mb":8.5}`, `"max-attempts":6`, `"max-attempts":1`),
	} {
		if err := reloadConfig(t, r, next); err == nil || remedy.Of(err) == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
	want(t, "attempts after configurations that are rejected", r.settings.Load().MaxAttempts, 6)
	if err := reloadConfig(t, r, replaceOnce(t, complete, `"max-attempts":6`, `"max-attempts":5`)); err != nil {
		t.Error(err)
	}
	submitAccepted(t, r, numberedMessages(20, 7, "m", testMessage{})...)
	stop()

	without := backlogOptions{stateDir: conf.StateDir, changeConfig: func(c *Config) { c.Backlog = nil }}
	_, err = newBacklogRelay(t, p, without)
	if pendingErr := (*PendingBacklogError)(nil); !errors.As(err, &pendingErr) || pendingErr.Messages == 0 || pendingErr.Remedy() == "" {
		t.Fatalf("a start without a backlog configuration: %v", err)
	}
	p = newFakePlatform(t, endpoint.server(7, true))
	r, stop = startBacklogRelay(t, p, backlogOptions{stateDir: conf.StateDir})
	endpoint.awaitMessages(t, 20)
	awaitMetrics(t, r, "svc.in_flight=0")
	stop()
	r, stop = startBacklogRelay(t, p, without)
	for _, name := range []string{backlogFolder, "journal.tmp"} {
		if _, err := os.Stat(filepath.Join(conf.StateDir, name)); !os.IsNotExist(err) {
			t.Errorf("%s still exists: %v", name, err)
		}
	}
	if text := metricsText(t, r); strings.Contains(text, "backlog") || r.overflow != nil {
		t.Error("a relay without a backlog configuration reports a backlog")
	}
	stop()
	if files, err := os.ReadDir(conf.StateDir); err != nil || len(files) > 4 { // the journal, the handover socket, the steady clock and the list's lease
		t.Errorf("a relay without a backlog configuration created %v, %v", files, err)
	}
}

// Guards against an older version that starts on a state directory with a backlog and ignores it: it fails because it
// cannot remove the fence that stands in place of its journal's temporary file.
func TestOlderVersionsAreFencedOut(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	options := backlogOptions{stateDir: t.TempDir()}
	r, _ := startBacklogRelay(t, newFakePlatform(t, endpoint.server(7, false)), options)
	old := filepath.Join(options.stateDir, "journal.tmp")
	submitAccepted(t, r, numberedMessages(2, 7, "few", testMessage{})...)
	if _, err := os.Stat(old); !os.IsNotExist(err) {
		t.Error("older versions are fenced out of a directory without messages on disk")
	}
	submitAccepted(t, r, numberedMessages(20, 7, "m", testMessage{})...)
	if err := os.Remove(old); err == nil || os.IsNotExist(err) {
		t.Errorf("an older version could start: %v", err)
	}
}
