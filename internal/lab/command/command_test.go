package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchrouter/internal/lab"
	"larchrouter/internal/lab/scenario"
)

// Guards against wrong exit codes, by which scripts that call the lab would be misled.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.toml", "duration = \"1s\"")
	bad := file("bad.toml", "duration = \"1s\"\nrelays = 3")
	history := file("history", "{\"t\":0,\"e\":\"run\",\"terms\":{\"max_attempts\":8}}\n{\"t\":1,\"e\":\"bad\",\"endpoint\":\"endpoint/0\"}\n{\"t\":3")
	intact := file("kept", "{\"t\":0,\"e\":\"run\",\"terms\":{\"max_attempts\":8}}\n{\"t\":1,\"e\":\"end\"}\n")
	t.Chdir(dir) // outside the repository, so that there is no deploy file
	for _, c := range []struct {
		args string
		code int
		says string
	}{
		{"run " + bad, exitUsage, "line 2: relays: no such key"},
		{"run nowhere.toml", exitUsage, "nowhere.toml"},
		{"run", exitUsage, "arg"},
		{"run " + good, exitError, "no deploy/balancer.toml"},
		{"dance", exitUsage, "unknown command"},
		{"up --relays 0", exitUsage, "fleet.relays"},
		{"up --for -3s", exitUsage, "negative"},
		{"check " + history, exitFailed, "the last line is cut off"},
		{"check " + intact, exitOK, "rules broken 0"},
		{"check " + bad, exitUsage, "line 1"},
		{"sweep " + good + " --report x --set load.rate", exitUsage, "KEY=VALUE"},
		{"sweep " + good + " --report x --set load.colour=1,2", exitUsage, "no such key"},
		{"sweep " + good + " --set load.rate=1", exitUsage, "--report"},
		{"diff " + good + " " + good, exitUsage, "good.toml"},
		{"run " + good + " --draw " + intact, exitError, "no deploy"},
	} {
		var out, errOut strings.Builder
		if code := Main(strings.Fields(c.args), &out, &errOut); code != c.code {
			t.Errorf("%s: exit code %d, want %d: %s", c.args, code, c.code, errOut.String())
		}
		if all := out.String() + errOut.String(); !strings.Contains(all, c.says) {
			t.Errorf("%s: the output does not contain %q: %q", c.args, c.says, all)
		}
	}
}

// Guards against a sweep that runs other settings than it reports.
func TestSweepSettings(t *testing.T) {
	data := []byte("[load]\nrate = 50.0\n[[fault]]\nat = \"1s\"\nfor = \"2s\"\nkind = \"pause\"\nfrom = \"relay/0\"")
	for _, c := range []struct {
		key, value string
		got        func(*scenario.Scenario) any
		want       any
	}{
		{"load.rate", "100", func(s *scenario.Scenario) any { return s.Load.Rate }, 100.0},
		{"fleet.relays", "5", func(s *scenario.Scenario) any { return s.Fleet.Relays }, 5},
		{"fault.0.for", "9s", func(s *scenario.Scenario) any { return s.Faults[0].For.String() }, "9s"},
		{"name", "x", func(s *scenario.Scenario) any { return s.Name }, "x"},
	} {
		text, err := withSettings(data, []string{c.key}, []string{c.value})
		if err != nil {
			t.Fatal(err)
		}
		s, err := scenario.Parse(text)
		if err != nil {
			t.Fatalf("%s: %v", c.key, err)
		}
		if got := c.got(s); got != c.want {
			t.Errorf("%s = %v, want %v", c.key, got, c.want)
		}
	}
	for _, key := range []string{"fault.1.for", "fault.x.for", "load.rate.x", "fault.0"} {
		if _, err := withSettings(data, []string{key}, []string{"1"}); err == nil {
			t.Errorf("%s: no error", key)
		}
	}
	a, _ := parseSetting("load.rate=1,2,3")
	b, _ := parseSetting("fleet.relays=4,5")
	if n := len(allCombinations([]setting{a, b})); n != 6 {
		t.Errorf("%d combinations, want 6", n)
	}
}

func TestProgressLine(t *testing.T) {
	got := progressLine(lab.Progress{Rows: []lab.Row{{State: "up", Metrics: map[string]float64{"svc.in_flight": 3}}, {State: "down"}}, Faults: []string{"kill relay/1"}})
	for _, want := range []string{"1 of 2 relays up", "3 held", "[kill relay/1]"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q does not contain %q", got, want)
		}
	}
}
