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

// Output of a run's result and progress.

// printVerdict prints a result, and returns an error with the exit code for it; nil if every expectation held.
func printVerdict(ctx context.Context, out io.Writer, result *lab.Result) error {
	fmt.Fprintf(out, "%s, seed %d: %s\n", result.Scenario.Name, result.Scenario.Seed, result.Report)
	printViolations(out, result.Report)
	var relayCPU float64
	for _, usage := range result.Report.Usage {
		relayCPU += usage.CPU
	}
	for _, takeover := range result.Report.Takeovers {
		fmt.Fprintln(out, takeover)
	}
	if generations := result.Report.Generations; generations != nil {
		fmt.Fprintln(out, "agreement:", generations)
	}
	fmt.Fprintf(out, "processor time: relays %.1f s, lab %.1f s; the lab's timers late by %.1f ms (50%%), %.1f (99%%), %.1f at most\n",
		relayCPU, result.LabCPUSeconds, result.Lateness.P50, result.Lateness.P99, result.Lateness.Max)
	if result.RunDir != "" {
		fmt.Fprintln(out, "kept in", result.RunDir)
	}
	for _, failure := range result.Failures {
		fmt.Fprintf(out, "NOT HELD  %s: %s\n", failure.Expectation, failure.Text)
	}
	switch {
	case ctx.Err() != nil:
		return &codedError{exitError, errors.New("interrupted")}
	case result.VoidReason != "":
		return &codedError{exitError, errors.New("void: " + result.VoidReason)}
	case len(result.Failures) > 0:
		return &codedError{exitFailed, fmt.Errorf("%d expectations did not hold", len(result.Failures))}
	}
	fmt.Fprintln(out, "every expectation held")
	return nil
}

// printViolations prints the violations, and the rules that were never checked.
func printViolations(out io.Writer, findings *rules.Report) {
	for _, violation := range findings.Violations {
		fmt.Fprintln(out, violation)
		for _, e := range violation.Events {
			fmt.Fprintln(out, "    ", e)
		}
	}
	var unchecked []string
	for _, rule := range rules.All {
		if findings.Checked[rule] == 0 {
			unchecked = append(unchecked, string(rule))
		}
	}
	if len(unchecked) > 0 {
		fmt.Fprintln(out, "rules that nothing in this run tried:", strings.Join(unchecked, ", "))
	}
}

// progressLine formats a run's progress as one line.
func progressLine(progress lab.Progress) string {
	up := 0
	var pending, cpu float64
	for _, relay := range progress.Rows {
		if relay.State == "up" {
			up++
		}
		pending += relay.Metrics["svc.in_flight"]
		cpu += relay.Usage.CPU.Seconds()
	}
	text := fmt.Sprintf("%5.1f s  %d of %d relays up, %d messages asked for, %d served in time, %.0f held, %d rules broken",
		progress.Elapsed.Seconds(), up, len(progress.Rows), progress.Messages, progress.InTime, pending, progress.Violations)
	if len(progress.Faults) > 0 {
		text += "  [" + strings.Join(progress.Faults, "; ") + "]"
	}
	return text
}
