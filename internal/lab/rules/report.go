package rules

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of judging a history.
type Report struct {
	Broken          map[Rule]int      `json:"broken"`
	Checked         map[Rule]int      `json:"looked"` // number of checks by rule: a rule that was never checked has not been shown to hold
	Violations      []Violation       `json:"shown,omitempty"`
	Served          float64           `json:"served"` // worth delivered as a share of the worth asked for
	Asked           int               `json:"asked"`
	InTime          int               `json:"in_time"`
	Late            int               `json:"late"`
	Refused         int               `json:"refused"`
	Failed          int               `json:"failed"`
	Unanswered      int               `json:"unheard"` // no relay answered in time
	Lost            int               `json:"lost"`
	PendingAtEnd    int               `json:"owed"` // accepted by a relay that was down at the end, and without an end
	Latency         Latency           `json:"latency_ms"`
	Seconds         []Second          `json:"seconds"`
	Usage           map[string]*Usage `json:"use"`
	Generations     *GenerationUse    `json:"agreed,omitempty"`     // nil if relays share no configuration
	Takeovers       []Takeover        `json:"taken_over,omitempty"` // one for each lost machine
	Calls           map[int]*Series   `json:"calls"`                // calls that reached each destination, by second
	Limits          map[int][]Limit   `json:"limits"`               // limits of each destination, in calls per second
	PendingOverTime *Series           `json:"held"`                 // messages in all relays whose metrics were read, by second
	worthRequested  float64
	worthDelivered  float64
	histogram       *hdrhistogram.Histogram
}

// Latency is the time from a message's submission to its delivery, in milliseconds.
type Latency struct {
	P50, P90, P99, P999, Max float64
	Curve                    []Quantile `json:"curve"`
}

// Quantile is the time in milliseconds within which the given percentage of messages were delivered.
type Quantile struct{ Percent, Ms float64 }

// Second counts the outcomes of the messages that were submitted in one second.
type Second struct {
	Asked         int     `json:"asked"`
	InTime        int     `json:"in_time"`
	Late          int     `json:"late"`
	Refused       int     `json:"refused"`
	Other         int     `json:"other"`
	Worth         float64 `json:"worth"`
	P50           float64 `json:"p50_ms"` // of the time to delivery
	P99           float64 `json:"p99_ms"`
	deliveryTimes []int32 // milliseconds, until close computes P50 and P99
}

// Limit is the number of calls per second that a destination accepts from a time (in seconds) on.
type Limit struct {
	From float64 `json:"from_s"`
	Rate float64 `json:"rate"`
}

// settleRequest counts the outcome of a message that a client wanted delivered, whatever ids it was submitted under.
func (c *Checker) settleRequest(first string) {
	request := c.requests[first]
	if request == nil {
		return
	}
	delete(c.requests, first)
	r := &c.report
	for number := int(request.submittedAt / 1e6); len(r.Seconds) <= number; {
		r.Seconds = append(r.Seconds, Second{})
	}
	second := &r.Seconds[request.submittedAt/1e6]
	if previous := int(request.submittedAt/1e6) - 2; previous >= 0 { // it is complete: requests are settled in order
		r.Seconds[previous].close()
	}
	r.Asked++
	second.Asked++
	r.worthRequested += request.class.Worth
	took := time.Duration(request.deliveredAt-request.submittedAt) * time.Microsecond
	switch {
	case request.deliveredAt > 0 && took <= request.class.Deadline:
		worth := request.class.WorthAfter(took)
		r.worthDelivered += worth
		second.Worth += worth
		if r.histogram == nil {
			r.histogram = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		}
		r.histogram.RecordValue(took.Microseconds())
		second.deliveryTimes = append(second.deliveryTimes, int32(took.Milliseconds()))
		if took <= request.class.Aim {
			r.InTime++
			second.InTime++
		} else {
			r.Late++
			second.Late++
		}
	case request.refused:
		r.Refused++
		second.Refused++
	case request.failed:
		r.Failed++
		second.Other++
	default:
		r.Unanswered++
		second.Other++
	}
}

// Close judges what is still open and returns the report. Messages whose time is not up are not judged.
func (c *Checker) Close() *Report {
	for len(c.queue) > 0 && c.queue[0].at <= c.now {
		heap.Pop(&c.queue).(scheduledCheck).run()
	}
	for _, message := range c.messages {
		if message.acceptedAt > 0 && message.deliveredAt == 0 && message.notice.At == 0 && c.relay(message.Relay).downSince > 0 {
			c.report.PendingAtEnd++
		}
	}
	for first := range c.requests {
		c.settleRequest(first)
	}
	r := &c.report
	for i := range r.Seconds {
		r.Seconds[i].close()
	}
	if r.PendingOverTime != nil {
		r.PendingOverTime.close()
	}
	for _, series := range r.Calls {
		series.close()
	}
	for _, usage := range r.Usage {
		for _, series := range usage.OverTime {
			series.close()
		}
	}
	if r.worthRequested > 0 {
		r.Served = r.worthDelivered / r.worthRequested
	}
	if histogram := r.histogram; histogram != nil {
		quantileMs := func(percent float64) float64 { return float64(histogram.ValueAtQuantile(percent)) / 1000 }
		r.Latency = Latency{P50: quantileMs(50), P90: quantileMs(90), P99: quantileMs(99), P999: quantileMs(99.9), Max: float64(histogram.Max()) / 1000}
		for _, percent := range []float64{0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9, 99.95, 99.98, 99.99} {
			r.Latency.Curve = append(r.Latency.Curve, Quantile{percent, quantileMs(percent)})
		}
	}
	return r
}

// Progress returns how many messages were asked for and how many were served in time so far, and the number of
// violations.
func (c *Checker) Progress() (asked, inTime, broken int) {
	asked, inTime = c.report.Asked, c.report.InTime
	for _, request := range c.requests {
		asked++
		if request.deliveredAt > 0 && request.deliveredAt-request.submittedAt <= request.class.Aim.Microseconds() {
			inTime++
		}
	}
	return asked, inTime, c.report.Total()
}

// Now returns the time of the last event, from the start of the run.
func (c *Checker) Now() time.Duration { return time.Duration(c.now) * time.Microsecond }

// Total returns the number of violations of all rules.
func (r *Report) Total() (n int) {
	for _, broken := range r.Broken {
		n += broken
	}
	return n
}

func (r *Report) String() string {
	return fmt.Sprintf("served %.3f of the worth asked for; %d messages: %d in time, %d late, %d refused, %d failed, %d unheard; lost %d, owed %d; "+
		"latency p50 %.0f p99 %.0f ms; rules broken %d", r.Served, r.Asked, r.InTime, r.Late, r.Refused, r.Failed, r.Unanswered, r.Lost, r.PendingAtEnd,
		r.Latency.P50, r.Latency.P99, r.Total())
}
