package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"

	"larchrouter/internal/lab"
)

// Fact is one figure of a run.
type Fact struct {
	Name   string
	Value  float64
	Digits int
}

func (f Fact) String() string { return fmt.Sprintf("%.*f", f.Digits, f.Value) }

// Facts are the figures by which runs are set side by side.
func Facts(r *lab.Result) []Fact {
	p := r.Report
	part := func(n int) float64 { return float64(n) / float64(max(1, p.Asked)) }
	var cpu, memory, descriptors float64
	for _, u := range p.Usage {
		cpu += u.CPU
		memory, descriptors = max(memory, u.MemoryMB), max(descriptors, u.Descriptors)
	}
	return []Fact{{"served, of the worth asked for", p.Served, 4}, {"messages asked for", float64(p.Asked), 0}, {"in time", part(p.InTime), 4},
		{"late", part(p.Late), 4}, {"refused", part(p.Refused), 4}, {"failed or unheard", part(p.Failed + p.Unanswered), 4},
		{"lost", float64(p.Lost), 0}, {"owed by a relay that was down at the end", float64(p.Pending), 0}, {"rules broken", float64(p.Total()), 0}, {"median time to delivery, ms", p.Latency.P50, 1},
		{"99 of 100 within, ms", p.Latency.P99, 1}, {"processor time of relays, s", cpu, 2}, {"processor time of the lab, s", r.LabCPU, 2},
		{"most memory of a relay, MB", memory, 1}, {"most descriptors of a relay", descriptors, 0}, {"lab's timers late, 99 of 100, ms", r.Lateness.P99, 1}}
}

// Set is several runs of one setting, by seeds.
type Set struct {
	Name string        `json:"name"`
	Runs []*lab.Result `json:"runs"`
}

// Read reads a run's result or a set of runs.
func Read(path string) (*Set, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Set{Name: path}
	if bytes.Contains(data[:min(len(data), 400)], []byte(`"runs"`)) {
		err = json.Unmarshal(data, s)
	} else {
		r := &lab.Result{}
		err = json.Unmarshal(data, r)
		s.Runs = []*lab.Result{r}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, r := range s.Runs {
		if r == nil || r.Report == nil || r.Scenario == nil {
			return nil, fmt.Errorf("%s: is no result of larchlab", path)
		}
	}
	if len(s.Runs) == 0 {
		return nil, fmt.Errorf("%s: has no runs", path)
	}
	return s, nil
}

// stat is the mean of a fact over the runs of a set, and the standard deviation of one run.
type stat struct {
	Fact
	sd float64
	n  int
}

func (s *Set) stats() []stat {
	var all []stat
	for i, r := range s.Runs {
		for k, f := range Facts(r) {
			if i == 0 {
				all = append(all, stat{Fact: Fact{f.Name, 0, f.Digits}})
			}
			all[k].Value += f.Value
			all[k].sd += f.Value * f.Value
			all[k].n++
		}
	}
	for i := range all {
		n := float64(all[i].n)
		all[i].Value /= n
		if n > 1 {
			all[i].sd = math.Sqrt(max(0, all[i].sd-n*all[i].Value*all[i].Value) / (n - 1))
		} else {
			all[i].sd = math.NaN()
		}
	}
	return all
}

// Diff sets two sets of runs side by side, with the noise of their seeds: a difference is marked where it
// exceeds twice its standard error.
func Diff(out io.Writer, a, b *Set) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\t%s\t±\t%s\t±\tdifference\t\t\n", a.Name, b.Name)
	left, right := a.stats(), b.stats()
	for i, x := range left {
		y := right[i]
		difference := y.Value - x.Value
		verdict := "one run each: no noise known"
		if x.n > 1 && y.n > 1 {
			verdict = "within the noise"
			if e := math.Sqrt(x.sd*x.sd/float64(x.n) + y.sd*y.sd/float64(y.n)); math.Abs(difference) > 2*e {
				verdict = "more than the noise"
			}
			if difference == 0 {
				verdict = ""
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%+.*f\t%s\t\n", x.Name, x, noise(x), y, noise(y), x.Digits, difference, verdict)
	}
	fmt.Fprintf(w, "runs\t%d\t\t%d\t\t\t\t\n", len(a.Runs), len(b.Runs))
	return w.Flush()
}

func noise(s stat) string {
	if math.IsNaN(s.sd) {
		return "-"
	}
	return fmt.Sprintf("%.*f", s.Digits, s.sd)
}

// Table sets the means of several sets side by side, a set a column.
func Table(out io.Writer, sets []Set) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	var columns [][]stat
	for i := range sets {
		fmt.Fprintf(w, "\t%s", sets[i].Name)
		columns = append(columns, sets[i].stats())
	}
	fmt.Fprintln(w, "\t")
	for k := range columns[0] {
		fmt.Fprint(w, columns[0][k].Name)
		for _, c := range columns {
			fmt.Fprintf(w, "\t%s", c[k])
			if !math.IsNaN(c[k].sd) {
				fmt.Fprintf(w, " ±%s", noise(c[k]))
			}
		}
		fmt.Fprintln(w, "\t")
	}
	return w.Flush()
}
