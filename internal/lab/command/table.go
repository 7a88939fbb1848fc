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

// table shows a run on a terminal, redrawn in place; elsewhere a line for each second.
type table struct {
	out      io.Writer
	terminal bool
	lines    int
	last     map[string]sight
	at       time.Duration
}

type sight struct {
	cpu    time.Duration
	served float64
}

func newTable(out io.Writer) *table {
	f, ok := out.(*os.File)
	return &table{out: out, terminal: ok && term.IsTerminal(int(f.Fd())), last: map[string]sight{}}
}

// tableMost is how many relays are shown one by one.
const tableMost = 20

func (t *table) draw(p lab.Progress) {
	if !t.terminal {
		fmt.Fprintln(t.out, line(p))
		return
	}
	var b strings.Builder
	if t.lines > 0 {
		fmt.Fprintf(&b, "\x1b[%dA", t.lines)
	}
	row := func(format string, args ...any) { fmt.Fprintf(&b, "\x1b[2K"+format+"\n", args...) }
	span := (p.Elapsed - t.at).Seconds()
	row("%6.0f s   %d messages asked for, %d served in time, rules broken: %d", p.Elapsed.Seconds(), p.Messages, p.InTime, p.Violations)
	row("%s", strings.Join(p.Faults, "; "))
	row("%-10s %-7s %10s %8s %8s %8s %8s %8s", "relay", "state", "served/s", "refused", "held", "cpu %", "MB", "sockets")
	for i, r := range p.Rows {
		var served, refused float64
		for name, v := range r.Metrics {
			switch {
			case strings.HasSuffix(name, ".served"):
				served += v
			case strings.HasSuffix(name, ".refused"):
				refused += v
			}
		}
		was := t.last[r.Name]
		t.last[r.Name] = sight{r.Usage.CPU, served}
		if i >= tableMost {
			continue
		}
		rate, cpu := max(0, served-was.served)/span, max(0, (r.Usage.CPU-was.cpu).Seconds())/span*100
		row("%-10s %-7s %10.1f %8.0f %8.0f %8.1f %8.1f %8d", r.Name, r.State, rate, refused, r.Metrics["svc.in_flight"], cpu, r.Usage.MemoryMB, r.Usage.Descriptors)
	}
	if n := len(p.Rows) - tableMost; n > 0 {
		row("and %d more", n)
	}
	t.at = p.Elapsed
	t.lines = strings.Count(b.String(), "\n")
	io.WriteString(t.out, b.String())
}
