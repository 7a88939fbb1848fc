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
type part struct {
	name      string
	from, to  time.Duration
	settled   bool
	elections int
	note      string
	members   proc.Usage // of all processes together
	bytes     int64
	keepers   []proc.Usage
	io        []int64 // bytes that each keeper has read and written, on its disk too
}

// use adds what is used now, with a sign.
func (p *player) use(u *part, sign float64) {
	for i, sh := range p.shares {
		if now, err := sh.Usage(); err == nil {
			u.members.CPU += time.Duration(sign * float64(now.CPU))
			u.members.MemoryMB += max(0, sign) * now.MemoryMB
			u.members.Descriptors += int(max(0, sign)) * now.Descriptors
		}
		p.mu.Lock()
		u.bytes += int64(sign) * p.shares[i].bytes
		p.mu.Unlock()
	}
	if u.keepers == nil {
		u.keepers, u.io = make([]proc.Usage, len(p.keepers.up)), make([]int64, len(p.keepers.up))
	}
	for i, k := range p.keepers.up {
		if now, err := k.Usage(); err == nil {
			u.keepers[i].CPU += time.Duration(sign * float64(p.keepers.used[i]+now.CPU))
			u.keepers[i].MemoryMB, u.keepers[i].Descriptors = now.MemoryMB, now.Descriptors
			u.io[i] += int64(sign) * (p.keepers.io[i] + transferred(k.PID))
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
func (p *player) tell(u part, v Verdict) {
	h := hdrhistogram.New(1, 600_000, 3)
	never := 0
	for i, a := range p.asked {
		switch took := v.InForce[i]; {
		case a.At < u.from || a.At > u.to:
		case took < 0:
			never++
		default:
			h.RecordValue(max(1, took.Milliseconds()))
		}
	}
	span := (u.to - u.from).Seconds()
	n := float64(p.members)
	p.t.Logf("%s: %.0f s, %d changes, in force everywhere after %.2f s (p50), %.2f (p99), %.2f (worst), never %d", u.name, span, h.TotalCount(),
		float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000, never)
	p.t.Logf("%s: a member %.0f B/s, %.3f %% of a core, %.2f MB, %.1f descriptors", u.name, float64(u.bytes)/span/n, u.members.CPU.Seconds()/span/n*100,
		u.members.MemoryMB/n, float64(u.members.Descriptors)/n)
	for i, k := range u.keepers {
		p.t.Logf("%s: %s %.1f %% of a core, %.0f MB, %.0f B/s with its disk, %d descriptors", u.name, name(i), k.CPU.Seconds()/span*100, k.MemoryMB,
			float64(u.io[i])/span, k.Descriptors)
	}
}
