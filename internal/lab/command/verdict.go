package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"larchrouter/internal/lab"
	"larchrouter/internal/lab/rules"
)

// What a run shows.

// verdict prints a result, and returns what its exit code has to tell.
func verdict(ctx context.Context, out io.Writer, r *lab.Result) error {
	fmt.Fprintf(out, "%s, seed %d: %s\n", r.Scenario.Name, r.Scenario.Seed, r.Report)
	shown(out, r.Report)
	var relays float64
	for _, u := range r.Report.Usage {
		relays += u.CPU
	}
	for _, t := range r.Report.Takeovers {
		fmt.Fprintln(out, t)
	}
	if a := r.Report.Generations; a != nil {
		fmt.Fprintln(out, "agreement:", a)
	}
	fmt.Fprintf(out, "processor time: relays %.1f s, lab %.1f s; the lab's timers late by %.1f ms (50%%), %.1f (99%%), %.1f at most\n",
		relays, r.LabCPU, r.Lateness.P50, r.Lateness.P99, r.Lateness.Max)
	if r.Folder != "" {
		fmt.Fprintln(out, "kept in", r.Folder)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(out, "NOT HELD  %s: %s\n", f.Expectation, f.Text)
	}
	switch {
	case ctx.Err() != nil:
		return &exit{stuck, errors.New("interrupted")}
	case r.Void != "":
		return &exit{stuck, errors.New("void: " + r.Void)}
	case len(r.Failures) > 0:
		return &exit{failed, fmt.Errorf("%d expectations did not hold", len(r.Failures))}
	}
	fmt.Fprintln(out, "every expectation held")
	return nil
}

// shown prints the broken rules, and what of the rules was never tried.
func shown(out io.Writer, r *rules.Report) {
	for _, b := range r.Violations {
		fmt.Fprintln(out, b)
		for _, e := range b.Events {
			fmt.Fprintln(out, "    ", e)
		}
	}
	var untried []string
	for _, rule := range rules.All {
		if r.Checked[rule] == 0 {
			untried = append(untried, string(rule))
		}
	}
	if len(untried) > 0 {
		fmt.Fprintln(out, "rules that nothing in this run tried:", strings.Join(untried, ", "))
	}
}

// line is a run's progress in one line.
func line(p lab.Progress) string {
	up := 0
	var open, cpu float64
	for _, r := range p.Rows {
		if r.State == "up" {
			up++
		}
		open += r.Figures["svc.in_flight"]
		cpu += r.Use.CPU.Seconds()
	}
	text := fmt.Sprintf("%5.1f s  %d of %d relays up, %d messages asked for, %d served in time, %.0f held, %d rules broken",
		p.At.Seconds(), up, len(p.Rows), p.Asked, p.InTime, open, p.Broken)
	if len(p.Faults) > 0 {
		text += "  [" + strings.Join(p.Faults, "; ") + "]"
	}
	return text
}
