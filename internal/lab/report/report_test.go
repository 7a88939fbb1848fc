package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchrouter/internal/lab"
	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/rules"
	"larchrouter/internal/lab/scenario"
)

// sampleResult returns the result of a run of 5 s, computed from generated events of 100 messages, of which the given
// number are delivered.
func sampleResult(t *testing.T, served int) *lab.Result {
	t.Helper()
	s := scenario.Default()
	s.Name = "<b>sample</b>"
	draw := platform.NewDraw(s)
	checker := rules.New()
	checker.Observe(history.Event{Kind: history.Run, Terms: draw.Terms(s)})
	for i := range int64(100) {
		at, id := i*50_000, "m"+string(rune('a'+i%26))+string(rune('a'+i/26))
		checker.Observe(history.Event{At: at, Kind: history.RequestSent, ID: id, FirstID: id, Class: "order-msg", LeftMs: 6000, BodySum: "s", Relay: "relay/0"})
		checker.Observe(history.Event{At: at + 1000, Kind: history.AnswerReceived, ID: id, Status: 202, Relay: "relay/0"})
		if int(i) < served {
			checker.Observe(history.Event{At: at + 2000, Kind: history.CallReceived, Call: i + 1, IDs: []string{id}, BodySums: []string{"s"}, Endpoint: "endpoint/0", Relay: "relay/0"})
			checker.Observe(history.Event{At: at + 30000, Kind: history.CallAnswered, Call: i + 1, Status: 200, Relay: "relay/0"})
		}
		checker.Observe(history.Event{At: at + 31000, Kind: history.Sample, Proc: "relay/0", PID: 7, Values: map[string]float64{"cpu_s": float64(i) / 100, "memory_mb": 12, "descriptors": 30}})
	}
	return &lab.Result{Scenario: s, Draw: draw, Report: checker.Close(), Faults: []lab.Span{{From: 1, To: 2, Text: "cut <x>"}},
		Failures: []lab.Failure{{Expectation: "served", Text: "too little"}}}
}

// Guards against a page that lacks essential content, or that loads anything else.
func TestWrittenPage(t *testing.T) {
	dir := t.TempDir()
	if err := Write(dir, sampleResult(t, 90)); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, "index.html"))
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for _, want := range []string{"&lt;b&gt;sample", "Not held", "too little", "cut &lt;x&gt;", "Calls to destination 0", "Processor time by process", "0.9000"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	if n := strings.Count(text, "<svg"); n != 8 {
		t.Errorf("%d plots, want 8", n)
	}
	for _, unwanted := range []string{"src=\"http", "href=\"http", "<script", "NaN"} {
		if strings.Contains(text, unwanted) {
			t.Errorf("the page contains %q", unwanted)
		}
	}
	if _, err := Read(filepath.Join(dir, "result.json")); err != nil {
		t.Error(err)
	}
}

// Guards against a difference that is reported as more than the noise when it is not, and the reverse.
func TestDiffNoise(t *testing.T) {
	set := func(name string, served ...int) *Set {
		s := &Set{Name: name}
		for _, n := range served {
			s.Runs = append(s.Runs, sampleResult(t, n))
		}
		return s
	}
	row := func(a, b *Set) string {
		var out strings.Builder
		if err := Diff(&out, a, b); err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, "served, of the worth") {
				return line
			}
		}
		t.Fatal("no row for the worth served")
		return ""
	}
	for _, c := range []struct {
		a, b *Set
		want string
	}{{set("a", 80, 81, 82), set("b", 90, 91, 92), "more than the noise"}, {set("a", 60, 80, 100), set("b", 65, 85, 99), "within the noise"},
		{set("a", 80), set("b", 90), "one run each"}} {
		if got := row(c.a, c.b); !strings.Contains(got, c.want) {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}

func TestReadRejectsOtherFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.json")
	for _, text := range []string{"", "{}", "[]", `{"runs":[]}`, `{"runs":[null]}`, `{"runs":[{}]}`} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil {
			t.Errorf("%q is accepted as a result", text)
		}
	}
}
