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

// Guards against settings that make no sense together, that are half taken up, or that have what is owed be passed over.
func TestBacklogConfiguration(t *testing.T) {
	ps := newRecordingEndpoint(t)
	p := newPlatform(t, ps.server(7, false))
	complete := changed(t, testConfig(t, p), `"disk_mb":3}`, `"disk_mb":12},"backlog":{"disk_mb":8}`)
	for name, data := range map[string][]byte{
		"none":           changed(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{}`),
		"negative":       changed(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{"disk_mb":-1}`),
		"no journal":     changed(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{"disk_mb":11.5}`),
		"copies as well": changed(t, complete, `"backlog"`, `"fleet":{"keepers":["127.0.0.1:1"],"listen":"127.0.0.1:0","copies":1},"backlog"`),
	} {
		_, err := readTestConfig(t, data, t.TempDir())
		if bad := (*BadBacklog)(nil); !errors.As(err, &bad) || !strings.Contains(remedy.Of(err), bad.Advice) {
			t.Errorf("%s: %v, remedy %q", name, err, remedy.Of(err))
		}
	}
	conf, err := readTestConfig(t, complete, t.TempDir())
	if err != nil || conf.Backlog.DiskMB != 8 || conf.journalBytes() != 4e6-smallFiles {
		t.Fatalf("%v, journal %d", err, conf.journalBytes())
	}
	conf.Fleet = &fleet.Config{Keepers: []string{"127.0.0.1:1"}, Listen: "127.0.0.1:0"}
	if err := conf.checkBacklog(); err == nil {
		t.Error("copies of others and a backlog leave no room for the journal")
	}

	r, stop := startBacklogRelay(t, p, backlogOptions{state: conf.State})
	r.conf.whole = complete
	for name, next := range map[string][]byte{
		"less":  changed(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{"disk_mb":4}`),
		"gone":  changed(t, complete, `,"backlog":{"disk_mb":8}`, ``),
		"other": changed(t, complete, `"backlog":{"disk_mb":8}`, `"backlog":{"disk_mb":8.5}`, `"max-attempts":6`, `"max-attempts":1`),
	} {
		if err := reload(t, r, next); err == nil || remedy.Of(err) == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
	want(t, "attempts after files that are not taken up", r.set.Load().MaxAttempts, 6)
	if err := reload(t, r, changed(t, complete, `"max-attempts":6`, `"max-attempts":5`)); err != nil {
		t.Error(err)
	}
	submitAccepted(t, r, numberedMessages(20, 7, "m", testMessage{})...)
	stop()

	without := backlogOptions{state: conf.State, change: func(c *Config) { c.Backlog = nil }}
	_, err = newBacklogRelay(t, p, without)
	if owing := (*PendingBacklogError)(nil); !errors.As(err, &owing) || owing.Messages == 0 || owing.Remedy() == "" {
		t.Fatalf("a start without the key: %v", err)
	}
	p = newPlatform(t, ps.server(7, true))
	r, stop = startBacklogRelay(t, p, backlogOptions{state: conf.State})
	ps.awaitMessages(t, 20)
	shows(t, r, "svc.in_flight=0")
	stop()
	r, stop = startBacklogRelay(t, p, without)
	for _, name := range []string{backlogFolder, "journal.tmp"} {
		if _, err := os.Stat(filepath.Join(conf.State, name)); !os.IsNotExist(err) {
			t.Errorf("%s is there still: %v", name, err)
		}
	}
	if text := metricsText(t, r); strings.Contains(text, "backlog") || r.overflow != nil {
		t.Error("a relay without the key tells of a backlog")
	}
	stop()
	if files, err := os.ReadDir(conf.State); err != nil || len(files) > 4 { // the journal, where the next process asks, the steady clock and the list's lease
		t.Errorf("a relay without the key made %v, %v", files, err)
	}
}

// Guards against an older version that starts on a folder with a backlog and passes over it: it cannot remove what stands
// where its journal's temporary file was.
func TestOlderVersionsAreFencedOut(t *testing.T) {
	ps := newRecordingEndpoint(t)
	k := backlogOptions{state: t.TempDir()}
	r, _ := startBacklogRelay(t, newPlatform(t, ps.server(7, false)), k)
	old := filepath.Join(k.state, "journal.tmp")
	submitAccepted(t, r, numberedMessages(2, 7, "few", testMessage{})...)
	if _, err := os.Stat(old); !os.IsNotExist(err) {
		t.Error("a folder without messages on disk keeps older versions out")
	}
	submitAccepted(t, r, numberedMessages(20, 7, "m", testMessage{})...)
	if err := os.Remove(old); err == nil || os.IsNotExist(err) {
		t.Errorf("an older version could start: %v", err)
	}
}
