package command

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"golang.org/x/term"

	"larchrouter/internal/lab"
)

// progressTable shows the progress of a run on a terminal, redrawn in place; elsewhere it writes a line each second.
type progressTable struct {
	out       io.Writer
	terminal  bool
	lineCount int
	samples   map[string]relaySample
	drawnAt   time.Duration
}

// relaySample is what a relay had used and served when the table was last drawn.
type relaySample struct {
	cpu    time.Duration
	served float64
}

func newProgressTable(out io.Writer) *progressTable {
	file, ok := out.(*os.File)
	return &progressTable{out: out, terminal: ok && term.IsTerminal(int(file.Fd())), samples: map[string]relaySample{}}
}

// maxTableRows is the greatest number of relays that the table shows.
const maxTableRows = 20

func (t *progressTable) draw(progress lab.Progress) {
	if !t.terminal {
		fmt.Fprintln(t.out, progressLine(progress))
		return
	}
	var buffer strings.Builder
	if t.lineCount > 0 {
		fmt.Fprintf(&buffer, "\x1b[%dA", t.lineCount)
	}
	row := func(format string, args ...any) { fmt.Fprintf(&buffer, "\x1b[2K"+format+"\n", args...) }
	seconds := (progress.Elapsed - t.drawnAt).Seconds()
	row("%6.0f s   %d messages asked for, %d served in time, rules broken: %d", progress.Elapsed.Seconds(), progress.Messages, progress.InTime, progress.Violations)
	row("%s", strings.Join(progress.Faults, "; "))
	row("%-10s %-7s %10s %8s %8s %8s %8s %8s", "relay", "state", "served/s", "refused", "held", "cpu %", "MB", "sockets")
	for i, relay := range progress.Rows {
		var served, refused float64
		for name, value := range relay.Metrics {
			switch {
			case strings.HasSuffix(name, ".served"):
				served += value
			case strings.HasSuffix(name, ".refused"):
				refused += value
			}
		}
		previous := t.samples[relay.Name]
		t.samples[relay.Name] = relaySample{relay.Usage.CPU, served}
		if i >= maxTableRows {
			continue
		}
		rate, cpu := max(0, served-previous.served)/seconds, max(0, (relay.Usage.CPU-previous.cpu).Seconds())/seconds*100
		row("%-10s %-7s %10.1f %8.0f %8.0f %8.1f %8.1f %8d", relay.Name, relay.State, rate, refused, relay.Metrics["svc.in_flight"], cpu, relay.Usage.MemoryMB, relay.Usage.Descriptors)
	}
	if hidden := len(progress.Rows) - maxTableRows; hidden > 0 {
		row("and %d more", hidden)
	}
	t.drawnAt = progress.Elapsed
	t.lineCount = strings.Count(buffer.String(), "\n")
	io.WriteString(t.out, buffer.String())
}
