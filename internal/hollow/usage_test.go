package hollow

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larchrouter/internal/lab/proc"
)

// part is one part of a play, and what it used.
type phase struct {
	name          string
	from, to      time.Duration
	settled       bool
	elections     int
	note          string
	memberUsage   proc.Use // of all processes together
	memberBytes   int64
	keeperUsage   []proc.Use
	keeperIOBytes []int64 // bytes that each keeper has read and written, on its disk too
}

// use adds what is used now, with a sign.
func (p *controller) addUsage(usage *phase, sign float64) {
	for i, process := range p.processes {
		if now, err := process.Usage(); err == nil {
			usage.memberUsage.CPU += time.Duration(sign * float64(now.CPU))
			usage.memberUsage.MemoryMB += max(0, sign) * now.MemoryMB
			usage.memberUsage.Descriptors += int(max(0, sign)) * now.Descriptors
		}
		p.mu.Lock()
		usage.memberBytes += int64(sign) * p.processes[i].bytes
		p.mu.Unlock()
	}
	if usage.keeperUsage == nil {
		usage.keeperUsage, usage.keeperIOBytes = make([]proc.Use, len(p.keepers.processes)), make([]int64, len(p.keepers.processes))
	}
	for i, k := range p.keepers.processes {
		if now, err := k.Usage(); err == nil {
			usage.keeperUsage[i].CPU += time.Duration(sign * float64(p.keepers.killedCPU[i]+now.CPU))
			usage.keeperUsage[i].MemoryMB, usage.keeperUsage[i].Descriptors = now.MemoryMB, now.Descriptors
			usage.keeperIOBytes[i] += int64(sign) * (p.keepers.killedIOBytes[i] + transferred(k.PID))
		}
	}
}

// transferred is what a process has read and written, as the kernel counts it: sockets and files.
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

// tell prints what a part took.
func (p *controller) logPhase(result phase, verdict Verdict) {
	latencies := hdrhistogram.New(1, 600_000, 3)
	never := 0
	for i, a := range p.proposals {
		switch elapsed := verdict.InEffect[i]; {
		case a.At < result.from || a.At > result.to:
		case elapsed < 0:
			never++
		default:
			latencies.RecordValue(max(1, elapsed.Milliseconds()))
		}
	}
	seconds := (result.to - result.from).Seconds()
	members := float64(p.members)
	p.t.Logf("%s: %.0f s, %d changes, in force everywhere after %.2f s (p50), %.2f (p99), %.2f (worst), never %d", result.name, seconds, latencies.TotalCount(),
		float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000, float64(latencies.Max())/1000, never)
	p.t.Logf("%s: a member %.0f B/s, %.3f %% of a core, %.2f MB, %.1f descriptors", result.name, float64(result.memberBytes)/seconds/members, result.memberUsage.CPU.Seconds()/seconds/members*100,
		result.memberUsage.MemoryMB/members, float64(result.memberUsage.Descriptors)/members)
	for i, k := range result.keeperUsage {
		p.t.Logf("%s: %s %.1f %% of a core, %.0f MB, %.0f B/s with its disk, %d descriptors", result.name, keeperName(i), k.CPU.Seconds()/seconds*100, k.MemoryMB,
			float64(result.keeperIOBytes[i])/seconds, k.Descriptors)
	}
}
