package hollow

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larchrouter/internal/lab/proc"
)

// phase is one phase of a run, with the resources that it used.
type phase struct {
	name          string
	from, to      time.Duration
	settled       bool // all changes came into effect after the phase
	elections     int  // changes of the leading keeper
	note          string
	memberUsage   proc.Usage   // of all member processes together
	memberBytes   int64        // read and written by all members together
	keeperUsage   []proc.Usage // by keeper
	keeperIOBytes []int64      // bytes that each keeper read and wrote, on its disk too
}

// addUsage adds the present counters multiplied by sign: -1 at the start of a phase and 1 at its end.
func (c *controller) addUsage(usage *phase, sign float64) {
	for i, process := range c.processes {
		if now, err := process.Usage(); err == nil {
			usage.memberUsage.CPU += time.Duration(sign * float64(now.CPU))
			usage.memberUsage.MemoryMB += max(0, sign) * now.MemoryMB
			usage.memberUsage.Descriptors += int(max(0, sign)) * now.Descriptors
		}
		c.mu.Lock()
		usage.memberBytes += int64(sign) * c.processes[i].bytes
		c.mu.Unlock()
	}
	if usage.keeperUsage == nil {
		usage.keeperUsage, usage.keeperIOBytes = make([]proc.Usage, len(c.keepers.processes)), make([]int64, len(c.keepers.processes))
	}
	for i, k := range c.keepers.processes {
		if now, err := k.Usage(); err == nil {
			usage.keeperUsage[i].CPU += time.Duration(sign * float64(c.keepers.killedCPU[i]+now.CPU))
			usage.keeperUsage[i].MemoryMB, usage.keeperUsage[i].Descriptors = now.MemoryMB, now.Descriptors
			usage.keeperIOBytes[i] += int64(sign) * (c.keepers.killedIOBytes[i] + transferred(k.PID))
		}
	}
}

// transferred returns the number of bytes that a process has read and written on sockets and files, as the kernel counts them.
// It returns 0 if the counters cannot be read.
func transferred(pid int) (sum int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var n int64
		if _, err := fmt.Sscanf(line, "rchar: %d", &n); err == nil {
			sum += n
		} else if _, err := fmt.Sscanf(line, "wchar: %d", &n); err == nil {
			sum += n
		}
	}
	return sum
}

// logPhase logs the resources that a phase used, and the times until its changes were in effect.
func (c *controller) logPhase(result phase, verdict Verdict) {
	latencies := hdrhistogram.New(1, 600_000, 3)
	never := 0
	for i, a := range c.proposals {
		switch elapsed := verdict.InEffect[i]; {
		case a.At < result.from || a.At > result.to:
		case elapsed < 0:
			never++
		default:
			latencies.RecordValue(max(1, elapsed.Milliseconds()))
		}
	}
	seconds := (result.to - result.from).Seconds()
	members := float64(c.members)
	c.t.Logf("%s: %.0f s, %d changes, in effect everywhere after %.2f s (p50), %.2f (p99), %.2f (worst), never %d", result.name, seconds, latencies.TotalCount(),
		float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000, float64(latencies.Max())/1000, never)
	c.t.Logf("%s: a member %.0f B/s, %.3f %% of a core, %.2f MB, %.1f descriptors", result.name, float64(result.memberBytes)/seconds/members, result.memberUsage.CPU.Seconds()/seconds/members*100,
		result.memberUsage.MemoryMB/members, float64(result.memberUsage.Descriptors)/members)
	for i, k := range result.keeperUsage {
		c.t.Logf("%s: %s %.1f %% of a core, %.0f MB, %.0f B/s with its disk, %d descriptors", result.name, keeperName(i), k.CPU.Seconds()/seconds*100, k.MemoryMB,
			float64(result.keeperIOBytes[i])/seconds, k.Descriptors)
	}
}
