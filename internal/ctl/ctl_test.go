package ctl

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/keeper"
)

const testSettings = `{"bounds":{"max-attempts":%d,"most-held":10},"classes":[{"name":"order","aim":1,"give-up":4,"effect":"idempotent","group":"all","worth":1}],
	"family-info":{"workers":4},"fleet-size":3,"rules":{"cold":4,"fall":2},"skus":["x"],"tick":0.005,"zones":["a"]}`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Each command against a running keeper has the right output and exit code. Programs distinguish a refused call from an
// unreachable keeper by the exit code.
func TestCommands(t *testing.T) {
	conf := keeper.Default()
	conf.Dir, conf.HTTP, conf.Raft = t.TempDir(), "127.0.0.1:0", "127.0.0.1:0"
	conf.Election = keeper.Duration(100 * time.Millisecond)
	k, err := keeper.New(conf)
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddr := l.Addr().String()
	l.Close()
	three, four := writeFile(t, fmt.Sprintf(testSettings, 3)), writeFile(t, `{"name":"n0","settings":`+fmt.Sprintf(testSettings, 4)+`}`)
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"members", exitDone, "MEMBER"}, // retries until the keeper is the leader
		{"status", exitDone, "leads"},
		{"settings show", exitRefused, "no generation is in force"},
		{"settings history", exitDone, "GENERATION"},
		{"settings put " + three + " --dry-run", exitDone, "nothing is changed"},
		{"settings put " + writeFile(t, `{"settings":{}}`) + " --dry-run", exitRefused, "settings"},
		{"settings put " + writeFile(t, `{`), exitUsage, "file.json"},
		{"settings put /nowhere/at/all", exitUsage, "no such file"},
		{"settings put " + three + " --base 7", exitRefused, "another generation"},
		{"settings put " + three + " --why first --wait 20s", exitDone, "generation 1: in force"},
		{"settings put " + four + " --wait 20s", exitDone, "generation 2: in force"},
		{"settings show", exitDone, "settings.bounds.max-attempts 4"},
		{"settings show 1", exitDone, "settings.bounds.max-attempts 3"},
		{"settings show 9", exitRefused, "not known"},
		{"settings show x", exitUsage, "no number"},
		{"settings diff 1 2", exitDone, "settings.bounds.max-attempts 3 -> 4"},
		{"settings diff 2", exitDone, "no difference"},
		{"settings diff " + three, exitDone, "settings.bounds.max-attempts 4 -> 3"},
		{"settings back 1 --wait 20s", exitDone, "generation 3: in force"},
		{"settings back 9", exitRefused, "not known"},
		{"settings giveup 3", exitRefused, "not where that could be done"},
		{"settings history", exitDone, "back to generation 1"},
		{"settings history --json", exitDone, `"number": 3`},
		{"watch --for 500ms", exitDone, "in force 3"},
		{"nonsense", exitUsage, "unknown command"},
		{"settings put", exitUsage, "accepts 1 arg"},
		{"status --timeout 300ms --keepers " + unusedAddr, exitUnreachable, "no keeper leads"},
		{"settings show --timeout 300ms --keepers " + unusedAddr, exitUnreachable, "no keeper says"},
		{"settings giveup 3 --timeout 300ms --keepers " + unusedAddr, exitUnreachable, "no keeper that leads answers"},
	} {
		args := strings.Fields(c.args)
		if !strings.Contains(c.args, "--keepers") {
			args = append(args, "--keepers", k.Addr())
		}
		var out bytes.Buffer
		if code := Main(args, strings.NewReader(""), &out, &out); code != c.code || !strings.Contains(strings.Join(strings.Fields(out.String()), " "), c.want) {
			t.Errorf("%s: exit code %d, want %d, with %q in:\n%s", c.args, code, c.code, c.want, &out)
		}
	}
}

// Guards against an added class that makes all classes after it appear as changed.
func TestDiff(t *testing.T) {
	got := Diff([]byte(`{"a":1,"b":[{"name":"x","v":1},{"name":"y","v":2}],"c":[]}`), []byte(`{"a":2,"b":[{"name":"new","v":1},{"name":"x","v":1},{"name":"y","v":3}],"d":null}`))
	want := `[{a 1 2} {b[new].name - "new"} {b[new].v - 1} {b[y].v 2 3} {c [] -} {d - null}]`
	if fmt.Sprint(got) != want {
		t.Errorf("%v, want %s", got, want)
	}
}
