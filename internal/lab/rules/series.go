package rules

import (
	"slices"

	"larchrouter/internal/lab/history"
)

// Values over time, and what processes used.

// Series is a value over time. Its length is bounded by maxPoints: beyond that, pairs of points are merged into one.
type Series struct {
	Interval float64   `json:"every_s"` // seconds per point
	Values   []float64 `json:"v"`
	counts   []int
	isSum    bool // a point is the sum of its values, per second; otherwise their mean
}

// maxPoints is the greatest number of points of a series.
const maxPoints = 1200

// newSeries returns an empty series with an interval of 1 s.
func newSeries(isSum bool) *Series { return &Series{Interval: 1, isSum: isSum} }

// add adds a value at a time in microseconds.
func (s *Series) add(at int64, value float64) {
	i := int(float64(at) / 1e6 / s.Interval)
	for i >= maxPoints {
		half := (len(s.Values) + 1) / 2
		for k := range half {
			value, n := s.Values[2*k], s.counts[2*k]
			if 2*k+1 < len(s.Values) {
				value, n = value+s.Values[2*k+1], n+s.counts[2*k+1]
			}
			s.Values[k], s.counts[k] = value, n
		}
		s.Values, s.counts, s.Interval = s.Values[:half], s.counts[:half], 2*s.Interval
		i = int(float64(at) / 1e6 / s.Interval)
	}
	for len(s.Values) <= i {
		s.Values, s.counts = append(s.Values, 0), append(s.counts, 0)
	}
	s.Values[i] += value
	s.counts[i]++
}

// close converts the sums of each point into rates or means.
func (s *Series) close() {
	for i := range s.Values {
		if s.isSum {
			s.Values[i] /= s.Interval
		} else if s.counts[i] > 0 {
			s.Values[i] /= float64(s.counts[i])
		}
	}
}

// Usage is what the processes of a relay used: the processor time of all of them in seconds, and the maxima of memory,
// descriptors and disk.
type Usage struct {
	CPU         float64            `json:"cpu_s"`
	MemoryMB    float64            `json:"memory_mb"`
	Descriptors float64            `json:"descriptors"`
	DiskMB      float64            `json:"disk_mb"`
	OverTime    map[string]*Series `json:"over_time"` // processor time in percent of a core, memory in MB, descriptors
	cpuByPID    map[int]float64    // seconds, by process id
	lastAt      int64
}

// addSample adds a sample of what a process uses.
func (r *Report) addSample(e history.Event) {
	if r.Usage == nil {
		r.Usage = map[string]*Usage{}
	}
	usage := r.Usage[e.Proc]
	if usage == nil {
		usage = &Usage{cpuByPID: map[int]float64{}, OverTime: map[string]*Series{"cpu_percent": newSeries(false), "memory_mb": newSeries(false), "descriptors": newSeries(false)}}
		r.Usage[e.Proc] = usage
	}
	if previous, cpu := usage.cpuByPID[e.PID], e.Values["cpu_s"]; cpu >= previous {
		usage.CPU += cpu - previous
		if usage.lastAt > 0 && e.At > usage.lastAt {
			usage.OverTime["cpu_percent"].add(e.At, 100*(cpu-previous)/(float64(e.At-usage.lastAt)/1e6))
		}
		usage.cpuByPID[e.PID] = cpu
	}
	usage.lastAt = e.At
	usage.MemoryMB = max(usage.MemoryMB, e.Values["memory_mb"])
	usage.Descriptors = max(usage.Descriptors, e.Values["descriptors"])
	usage.DiskMB = max(usage.DiskMB, e.Values["disk_mb"])
	usage.OverTime["memory_mb"].add(e.At, e.Values["memory_mb"])
	usage.OverTime["descriptors"].add(e.At, e.Values["descriptors"])
}

// addCall counts a call at its destination.
func (r *Report) addCall(e history.Event) {
	if r.Calls == nil {
		r.Calls = map[int]*Series{}
	}
	if r.Calls[e.Dest] == nil {
		r.Calls[e.Dest] = newSeries(true)
	}
	r.Calls[e.Dest].add(e.At, 1)
}

// addLimit records what a destination accepts from now on, in calls per second.
func (r *Report) addLimit(dest int, at int64, rate float64) {
	if r.Limits == nil {
		r.Limits = map[int][]Limit{}
	}
	r.Limits[dest] = append(r.Limits[dest], Limit{float64(at) / 1e6, rate})
}

// close computes the percentiles of a second.
func (s *Second) close() {
	if count := len(s.deliveryTimes); count > 0 {
		slices.Sort(s.deliveryTimes)
		s.P50, s.P99 = float64(s.deliveryTimes[count/2]), float64(s.deliveryTimes[min(count-1, count*99/100)])
		s.deliveryTimes = nil
	}
}
