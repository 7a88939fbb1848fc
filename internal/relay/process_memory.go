package relay

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// processMemory is the resident memory of this process as the kernel counts it, in bytes; 0 where that is unknown.
type processMemory struct {
	resident, peak int64
}

// readProcessMemory reads the process's memory from /proc.
func readProcessMemory() (memory processMemory) {
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return memory
	}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		switch name {
		case "VmRSS":
			memory.resident = parseKibibytes(value)
		case "VmHWM":
			memory.peak = parseKibibytes(value)
		}
	}
	return memory
}

// parseKibibytes parses a size of /proc, such as "  1234 kB", and returns it in bytes.
func parseKibibytes(text string) int64 {
	number, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	kib, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0
	}
	return kib << 10
}

// appendText appends the memory in the form of the metrics.
func (m processMemory) appendText(buf *bytes.Buffer) {
	fmt.Fprintf(buf, "svc.memory.resident=%d\nsvc.memory.peak=%d\n", m.resident, m.peak)
}
