package rules

import (
	"slices"

	"larchrouter/internal/lab/history"
)

// Figures over time, and what processes used.

// Series is a figure by time. It keeps its length in bounds: where it grows too long, two points become one.
type Series struct {
	Every float64   `json:"every_s"` // seconds that a point stands for
	V     []float64 `json:"v"`
	n     []int
	sums  bool // a point is the sum of what falls into it, per second; else the mean
}

const pointsMost = 1200

func newSeries(sums bool) *Series { return &Series{Every: 1, sums: sums} }

// add takes in a value at a time in microseconds.
func (s *Series) add(at int64, v float64) {
	i := int(float64(at) / 1e6 / s.Every)
	for i >= pointsMost {
		half := (len(s.V) + 1) / 2
		for k := range half {
			v, n := s.V[2*k], s.n[2*k]
			if 2*k+1 < len(s.V) {
				v, n = v+s.V[2*k+1], n+s.n[2*k+1]
			}
			s.V[k], s.n[k] = v, n
		}
		s.V, s.n, s.Every = s.V[:half], s.n[:half], 2*s.Every
		i = int(float64(at) / 1e6 / s.Every)
	}
	for len(s.V) <= i {
		s.V, s.n = append(s.V, 0), append(s.n, 0)
	}
	s.V[i] += v
	s.n[i]++
}

// close turns sums into what the points tell.
func (s *Series) close() {
	for i := range s.V {
		if s.sums {
			s.V[i] /= s.Every
		} else if s.n[i] > 0 {
			s.V[i] /= float64(s.n[i])
		}
	}
}

// Use is what the processes of a relay used: processor time of all, and the most of the rest.
type Use struct {
	CPU         float64            `json:"cpu_s"`
	MemoryMB    float64            `json:"memory_mb"`
	Descriptors float64            `json:"descriptors"`
	DiskMB      float64            `json:"disk_mb"`
	Over        map[string]*Series `json:"over_time"` // processor time in percent, memory, descriptors
	cpu         map[int]float64    // by process number
	last        int64
}

func (r *Report) use(e history.Event) {
	if r.Use == nil {
		r.Use = map[string]*Use{}
	}
	u := r.Use[e.Proc]
	if u == nil {
		u = &Use{cpu: map[int]float64{}, Over: map[string]*Series{"cpu_percent": newSeries(false), "memory_mb": newSeries(false), "descriptors": newSeries(false)}}
		r.Use[e.Proc] = u
	}
	if was, cpu := u.cpu[e.PID], e.Values["cpu_s"]; cpu >= was {
		u.CPU += cpu - was
		if u.last > 0 && e.At > u.last {
			u.Over["cpu_percent"].add(e.At, 100*(cpu-was)/(float64(e.At-u.last)/1e6))
		}
		u.cpu[e.PID] = cpu
	}
	u.last = e.At
	u.MemoryMB = max(u.MemoryMB, e.Values["memory_mb"])
	u.Descriptors = max(u.Descriptors, e.Values["descriptors"])
	u.DiskMB = max(u.DiskMB, e.Values["disk_mb"])
	u.Over["memory_mb"].add(e.At, e.Values["memory_mb"])
	u.Over["descriptors"].add(e.At, e.Values["descriptors"])
}

// arrived counts a call at its destination.
func (r *Report) arrived(e history.Event) {
	if r.Calls == nil {
		r.Calls = map[int]*Series{}
	}
	if r.Calls[e.Dest] == nil {
		r.Calls[e.Dest] = newSeries(true)
	}
	r.Calls[e.Dest].add(e.At, 1)
}

// limit notes what a destination takes from now on.
func (r *Report) limit(dest int, at int64, rate float64) {
	if r.Limits == nil {
		r.Limits = map[int][]Limit{}
	}
	r.Limits[dest] = append(r.Limits[dest], Limit{float64(at) / 1e6, rate})
}

// close settles a second.
func (s *Second) close() {
	if n := len(s.took); n > 0 {
		slices.Sort(s.took)
		s.P50, s.P99 = float64(s.took[n/2]), float64(s.took[min(n-1, n*99/100)])
		s.took = nil
	}
}
