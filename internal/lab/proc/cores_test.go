package proc

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Guards against programs under test that run on the lab's cores, and a lab that does not get all of its cores back.
func TestProgramsRunOnTheirCores(t *testing.T) {
	before, err := UsableCores()
	if err != nil {
		t.Fatal(err)
	}
	if len(before) < 2 {
		t.Skip("one core cannot be divided")
	}
	own, tested, err := before.Split(1)
	if err != nil || len(own) != len(before)-1 || len(tested) != 1 || slices.Contains(own, tested[0]) {
		t.Fatalf("%v was split into %v and %v, %v", before, own, tested, err)
	}
	if _, _, err := before.Split(len(before)); err == nil {
		t.Error("a split that leaves the lab no core was accepted")
	}
	if err := own.Pin(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { before.Pin() })
	for name, c := range map[string]struct{ cores, want Cores }{"tested": {tested, tested}, "own": {nil, own}} {
		log := filepath.Join(t.TempDir(), "log")
		p, err := Start(Spec{Name: name, Command: "exec grep Cpus_allowed_list /proc/self/status", Log: log, Cores: c.cores}, func(*Process) {})
		if err != nil {
			t.Fatal(err)
		}
		<-p.Done()
		data, err := os.ReadFile(log)
		if err != nil {
			t.Fatal(err)
		}
		if _, list, _ := strings.Cut(strings.TrimSpace(string(data)), "\t"); !slices.Equal(parseCores(t, list), c.want) {
			t.Errorf("%s runs on %q, want %v", name, list, c.want)
		}
	}
	if err := before.Pin(); err != nil {
		t.Fatal(err)
	}
	if after, err := UsableCores(); err != nil || !slices.Equal(after, before) {
		t.Errorf("the lab has %v, %v afterwards, had %v", after, err, before)
	}
}

// parseCores parses a list of cores such as 0-2,5.
func parseCores(t *testing.T, list string) (cores Cores) {
	t.Helper()
	for _, part := range strings.Split(list, ",") {
		from, to, many := strings.Cut(part, "-")
		var a, b int
		if _, err := fmt.Sscan(from, &a); err != nil {
			t.Fatalf("%q: %v", list, err)
		}
		b = a
		if many {
			if _, err := fmt.Sscan(to, &b); err != nil {
				t.Fatalf("%q: %v", list, err)
			}
		}
		for i := a; i <= b; i++ {
			cores = append(cores, i)
		}
	}
	return cores
}
