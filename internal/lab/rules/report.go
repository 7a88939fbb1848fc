package rules

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what a history shows.
type Report struct {
	Broken    map[Rule]int    `json:"broken"`
	Looked    map[Rule]int    `json:"looked"` // how often each rule was looked at: what was never tried is not shown to hold
	Shown     []Broken        `json:"shown,omitempty"`
	Served    float64         `json:"served"` // worth delivered over the worth asked for
	Asked     int             `json:"asked"`
	InTime    int             `json:"in_time"`
	Late      int             `json:"late"`
	Refused   int             `json:"refused"`
	Failed    int             `json:"failed"`
	Unheard   int             `json:"unheard"` // no relay answered in time
	Lost      int             `json:"lost"`
	Owed      int             `json:"owed"` // taken on by a relay that was down at the end
	Latency   Latency         `json:"latency_ms"`
	Seconds   []Second        `json:"seconds"`
	Use       map[string]*Use `json:"use"`
	Agreed    *Agreed         `json:"agreed,omitempty"`     // nil where relays share nothing
	TakenOver []TakenOver     `json:"taken_over,omitempty"` // machines that were lost
	Calls     map[int]*Series `json:"calls"`                // that reached each destination, by second
	Limits    map[int][]Limit `json:"limits"`               // of each destination, in calls a second
	Held      *Series         `json:"held"`                 // messages by all relays that told, by second
	worth     float64
	got       float64
	hist      *hdrhistogram.Histogram
}

// Latency is the time from a message's handing-in to its delivery, in milliseconds.
type Latency struct {
	P50, P90, P99, P999, Max float64
	Curve                    []Quantile `json:"curve"`
}

// Quantile is the time within which so many of a hundred messages were delivered.
type Quantile struct{ Percent, Ms float64 }

// Second is what became of the messages of one second.
type Second struct {
	Asked   int     `json:"asked"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Other   int     `json:"other"`
	Worth   float64 `json:"worth"`
	P50     float64 `json:"p50_ms"` // of the time to delivery
	P99     float64 `json:"p99_ms"`
	took    []int32 // milliseconds, until the second is settled
}

// Limit is what a destination takes from a time on.
type Limit struct {
	From float64 `json:"from_s"`
	Rate float64 `json:"rate"`
}

// settle counts what became of a message that a client wanted delivered.
func (c *Checker) settle(first string) {
	w := c.wants[first]
	if w == nil {
		return
	}
	delete(c.wants, first)
	r := &c.report
	for n := int(w.at / 1e6); len(r.Seconds) <= n; {
		r.Seconds = append(r.Seconds, Second{})
	}
	s := &r.Seconds[w.at/1e6]
	if old := int(w.at/1e6) - 2; old >= 0 { // all of it is settled: messages are in the order of their times
		r.Seconds[old].close()
	}
	r.Asked++
	s.Asked++
	r.worth += w.class.Worth
	took := time.Duration(w.delivered-w.at) * time.Microsecond
	switch {
	case w.delivered > 0 && took <= w.class.Deadline:
		worth := w.class.WorthAfter(took)
		r.got += worth
		s.Worth += worth
		if r.hist == nil {
			r.hist = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		}
		r.hist.RecordValue(took.Microseconds())
		s.took = append(s.took, int32(took.Milliseconds()))
		if took <= w.class.Aim {
			r.InTime++
			s.InTime++
		} else {
			r.Late++
			s.Late++
		}
	case w.refused:
		r.Refused++
		s.Refused++
	case w.failed:
		r.Failed++
		s.Other++
	default:
		r.Unheard++
		s.Other++
	}
}

// Close judges what is left, and returns the report. Messages whose time is not up are not judged.
func (c *Checker) Close() *Report {
	for len(c.due) > 0 && c.due[0].at <= c.now {
		heap.Pop(&c.due).(due).what()
	}
	for _, m := range c.msgs {
		if m.taken > 0 && m.delivered == 0 && m.notice.At == 0 && c.proc(m.Relay).down > 0 {
			c.report.Owed++
		}
	}
	for first := range c.wants {
		c.settle(first)
	}
	r := &c.report
	for i := range r.Seconds {
		r.Seconds[i].close()
	}
	if r.Held != nil {
		r.Held.close()
	}
	for _, k := range r.Calls {
		k.close()
	}
	for _, u := range r.Use {
		for _, k := range u.Over {
			k.close()
		}
	}
	if r.worth > 0 {
		r.Served = r.got / r.worth
	}
	if h := r.hist; h != nil {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		r.Latency = Latency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
		for _, q := range []float64{0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9, 99.95, 99.98, 99.99} {
			r.Latency.Curve = append(r.Latency.Curve, Quantile{q, at(q)})
		}
	}
	return r
}

// Standing is how many messages were asked for and served in time so far, and how many rules are broken.
func (c *Checker) Standing() (asked, inTime, broken int) {
	asked, inTime = c.report.Asked, c.report.InTime
	for _, w := range c.wants {
		asked++
		if w.delivered > 0 && w.delivered-w.at <= w.class.Aim.Microseconds() {
			inTime++
		}
	}
	return asked, inTime, c.report.Total()
}

// Now is the time of the last event.
func (c *Checker) Now() time.Duration { return time.Duration(c.now) * time.Microsecond }

// Total is how many rules were broken.
func (r *Report) Total() (n int) {
	for _, k := range r.Broken {
		n += k
	}
	return n
}

func (r *Report) String() string {
	return fmt.Sprintf("served %.3f of the worth asked for; %d messages: %d in time, %d late, %d refused, %d failed, %d unheard; lost %d, owed %d; "+
		"latency p50 %.0f p99 %.0f ms; rules broken %d", r.Served, r.Asked, r.InTime, r.Late, r.Refused, r.Failed, r.Unheard, r.Lost, r.Owed,
		r.Latency.P50, r.Latency.P99, r.Total())
}
