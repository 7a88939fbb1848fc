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

// Fact is one value of a run's summary.
type Fact struct {
	Name   string
	Value  float64
	Digits int
}

func (f Fact) String() string { return fmt.Sprintf("%.*f", f.Digits, f.Value) }

// Facts returns the values by which runs are compared.
func Facts(result *lab.Result) []Fact {
	report := result.Report
	share := func(count int) float64 { return float64(count) / float64(max(1, report.Asked)) }
	var cpu, memory, descriptors float64
	for _, usage := range report.Usage {
		cpu += usage.CPU
		memory, descriptors = max(memory, usage.MemoryMB), max(descriptors, usage.Descriptors)
	}
	return []Fact{{"served, of the worth asked for", report.Served, 4}, {"messages asked for", float64(report.Asked), 0}, {"in time", share(report.InTime), 4},
		{"late", share(report.Late), 4}, {"refused", share(report.Refused), 4}, {"failed or unheard", share(report.Failed + report.Unanswered), 4},
		{"lost", float64(report.Lost), 0}, {"owed by a relay that was down at the end", float64(report.PendingAtEnd), 0}, {"rules broken", float64(report.Total()), 0}, {"median time to delivery, ms", report.Latency.P50, 1},
		{"99 of 100 within, ms", report.Latency.P99, 1}, {"processor time of relays, s", cpu, 2}, {"processor time of the lab, s", result.LabCPUSeconds, 2},
		{"most memory of a relay, MB", memory, 1}, {"most descriptors of a relay", descriptors, 0}, {"lab's timers late, 99 of 100, ms", result.Lateness.P99, 1}}
}

// Set is a number of runs with the same settings and different seeds.
type Set struct {
	Name string        `json:"name"`
	Runs []*lab.Result `json:"runs"`
}

// Read reads the result of a run, as a set of one, or a set of runs. A file with neither is an error.
func Read(path string) (*Set, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	set := &Set{Name: path}
	if bytes.Contains(data[:min(len(data), 400)], []byte(`"runs"`)) {
		err = json.Unmarshal(data, set)
	} else {
		result := &lab.Result{}
		err = json.Unmarshal(data, result)
		set.Runs = []*lab.Result{result}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, result := range set.Runs {
		if result == nil || result.Report == nil || result.Scenario == nil {
			return nil, fmt.Errorf("%s: is not a result of larchlab", path)
		}
	}
	if len(set.Runs) == 0 {
		return nil, fmt.Errorf("%s: contains no runs", path)
	}
	return set, nil
}

// factStats is the mean of a fact over the runs of a set, with the standard deviation of a single run (NaN for a set
// of one).
type factStats struct {
	Fact
	stdDev float64
	runs   int
}

// stats returns the means and standard deviations of all facts.
func (s *Set) stats() []factStats {
	var all []factStats
	for i, result := range s.Runs {
		for factIndex, fact := range Facts(result) {
			if i == 0 {
				all = append(all, factStats{Fact: Fact{fact.Name, 0, fact.Digits}})
			}
			all[factIndex].Value += fact.Value
			all[factIndex].stdDev += fact.Value * fact.Value
			all[factIndex].runs++
		}
	}
	for i := range all {
		runs := float64(all[i].runs)
		all[i].Value /= runs
		if runs > 1 {
			all[i].stdDev = math.Sqrt(max(0, all[i].stdDev-runs*all[i].Value*all[i].Value) / (runs - 1))
		} else {
			all[i].stdDev = math.NaN()
		}
	}
	return all
}

// Diff writes a table that compares two sets of runs, with the standard deviations over their seeds. A difference is
// marked if it exceeds twice its standard error.
func Diff(out io.Writer, a, b *Set) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "\t%s\t±\t%s\t±\tdifference\t\t\n", a.Name, b.Name)
	firstStats, secondStats := a.stats(), b.stats()
	for i, first := range firstStats {
		second := secondStats[i]
		difference := second.Value - first.Value
		verdict := "one run each: no noise known"
		if first.runs > 1 && second.runs > 1 {
			verdict = "within the noise"
			if standardError := math.Sqrt(first.stdDev*first.stdDev/float64(first.runs) + second.stdDev*second.stdDev/float64(second.runs)); math.Abs(difference) > 2*standardError {
				verdict = "more than the noise"
			}
			if difference == 0 {
				verdict = ""
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%+.*f\t%s\t\n", first.Name, first, formatStdDev(first), second, formatStdDev(second), first.Digits, difference, verdict)
	}
	fmt.Fprintf(table, "runs\t%d\t\t%d\t\t\t\t\n", len(a.Runs), len(b.Runs))
	return table.Flush()
}

// formatStdDev formats the standard deviation of a fact; "-" if it is not known.
func formatStdDev(stats factStats) string {
	if math.IsNaN(stats.stdDev) {
		return "-"
	}
	return fmt.Sprintf("%.*f", stats.Digits, stats.stdDev)
}

// Table writes a table of the means of several sets, with one column per set.
func Table(out io.Writer, sets []Set) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	var columns [][]factStats
	for i := range sets {
		fmt.Fprintf(table, "\t%s", sets[i].Name)
		columns = append(columns, sets[i].stats())
	}
	fmt.Fprintln(table, "\t")
	for row := range columns[0] {
		fmt.Fprint(table, columns[0][row].Name)
		for _, column := range columns {
			fmt.Fprintf(table, "\t%s", column[row])
			if !math.IsNaN(column[row].stdDev) {
				fmt.Fprintf(table, " ±%s", formatStdDev(column[row]))
			}
		}
		fmt.Fprintln(table, "\t")
	}
	return table.Flush()
}
