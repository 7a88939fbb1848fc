// Package history records what every party of a run observed: one sequence of events on one clock, stored
// as a file of JSON lines that can be checked again later.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Clock is the single clock of a run: monotonic microseconds since the run began. The emulated parties take the times of their
// events from it; no process under test is asked for the time.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at 0 now.
func NewClock() *Clock { return &Clock{time.Now()} }

// Now returns the current time in microseconds.
func (c *Clock) Now() int64 { return time.Since(c.start).Microseconds() }

// At returns the time t on this clock in microseconds.
func (c *Clock) At(t time.Time) int64 { return t.Sub(c.start).Microseconds() }

// Kind is what an event reports.
type Kind string

// The kinds of events, with the fields that each of them uses. Relay is the name of the relay that an event concerns, if there is
// one. "Front" is the lab's end of a connection to a process under test: bytes that the lab reads there the process has
// written, bytes that the lab has written there the process can read.
const (
	Run            Kind = "run"    // the first event: Terms, Text is the scenario's name
	RequestSent    Kind = "hand"   // a client sends a request: ID, FirstID, Class, Tenant, Dest, Key, LeftMs, BodySum; Detail is HalfClosed or empty
	AnswerReceived Kind = "heard"  // the request's answer arrived: ID, Status, WaitMs; CompleteAt is when the request's last byte was written (front), if known
	ClientLeft     Kind = "left"   // the client stopped waiting, or its connection ended: ID, Detail (Unanswered if the relay had read the request)
	CallReceived   Kind = "call"   // an endpoint has received a complete call: Call, IDs, Endpoint, Dest, BegunAt and CompleteAt (front)
	InvalidCall    Kind = "bad"    // an endpoint received something that no relay may send: Endpoint, Text
	CallTookEffect Kind = "ran"    // a call took effect: Call
	CallAnswered   Kind = "answer" // a call's answer is written at the front: Call, Status, WaitMs, Outcomes; Detail is Unreadable for an unreadable one
	CallAbandoned  Kind = "gone"   // the relay closed a call's connection, at the front: Call
	ListChanged    Kind = "change" // discovery's list changed: Version, Endpoint, State
	ListRequested  Kind = "asked"  // a relay requested the list from discovery: Version (0 for the whole list), LeftMs
	ListSent       Kind = "told"   // discovery's answer is written at the front: Version
	ListCallFailed Kind = "untold" // a call to discovery failed
	// DiscoveryDown and DiscoveryUp begin and end an outage of discovery, during which it answers no call and receives no change.
	DiscoveryDown       Kind = "listdown"
	DiscoveryUp         Kind = "listup"
	NoticeReceived      Kind = "notice"  // a notice arrived: ID, Detail, WaitMs
	ProcessChanged      Kind = "proc"    // a process changed its state or was signalled: Proc, Detail is start, ready, term, kill, lose, stop, cont, exit or crash; Text
	Fault               Kind = "fault"   // a fault: Detail is begin or end, Text describes the fault; State is Lossy for faults of links
	Step                Kind = "step"    // a step of the scenario: Text describes it
	OperatorCall        Kind = "byhand"  // an operator's call was answered: Endpoint, Detail is disable or enable, Status
	Metrics             Kind = "metrics" // a relay's metrics: Proc, Values; CompleteAt is when the call for them was sent
	Sample              Kind = "sample"  // a process's resource usage: Proc, Values
	DestDown            Kind = "down"    // an outage of a destination begins: Dest, Detail
	DestUp              Kind = "up"      // the outage ends: Dest; if Values has "cold", the destination is cold for so many seconds
	DestRateChanged     Kind = "limit"   // a destination accepts another rate: Dest, Values has "rate"
	SlowStartOverloaded Kind = "fell"    // a destination in slow start was overloaded: Dest, Values has "allowed", the calls that its settings
	// allow it in that span (N), "calls", the calls that it received, and how many of them came from each relay
	// Stranger reports a peer that sends something that is not a message, or nothing, and the result: Relay, BegunAt (when its
	// connection was established), Detail (what it sent), Status (0 for none), State is closed, answered or waits; LeftMs is the
	// time that the peer waits.
	Stranger Kind = "stranger"
	End      Kind = "end" // the last event: Text says how the run ended
)

// Lossy is the State of a fault during which bytes that a process writes may never be received.
const Lossy = "lossy"

// HalfClosed is the Detail of RequestSent if the client ends its sending after the request.
const HalfClosed = "half closed"

// Unanswered is the Detail of ClientLeft if the relay closed the connection after it had certainly read the request.
const Unanswered = "read and closed with no answer"

// TruncatedAnswer is the Detail of an answer of discovery that was written but did not arrive complete.
const TruncatedAnswer = "cut short"

// Unreadable is the Detail of an answer that violates the protocol. Its Status is 0, or 200 if the first line of an answer to a
// single message still says so; that status is then true.
const Unreadable = "unreadable"

// Event is one event. At, BegunAt and CompleteAt are microseconds on the run's clock; WaitMs and LeftMs are milliseconds.
type Event struct {
	At         int64              `json:"t"`
	Kind       Kind               `json:"e"`
	Relay      string             `json:"relay,omitempty"`
	Proc       string             `json:"proc,omitempty"`
	PID        int                `json:"pid,omitempty"`
	ID         string             `json:"id,omitempty"`
	FirstID    string             `json:"first,omitempty"` // the id under which the message was first sent
	Class      string             `json:"class,omitempty"`
	Tenant     string             `json:"tenant,omitempty"`
	Key        string             `json:"key,omitempty"`
	BodySum    string             `json:"sum,omitempty"` // checksum of the body
	Dest       int                `json:"dest,omitempty"`
	LeftMs     int64              `json:"left,omitempty"`
	Call       int64              `json:"call,omitempty"`
	IDs        []string           `json:"ids,omitempty"`
	BodySums   []string           `json:"sums,omitempty"`
	Outcomes   []string           `json:"ends,omitempty"`
	Endpoint   string             `json:"endpoint,omitempty"`
	Agreed     string             `json:"agreed,omitempty"` // of a call: revision, generation, the generation joined to it or 0, mode
	BegunAt    int64              `json:"begun,omitempty"`
	CompleteAt int64              `json:"whole,omitempty"`
	Status     int                `json:"status,omitempty"`
	WaitMs     int64              `json:"wait,omitempty"`
	Version    int64              `json:"version,omitempty"`
	State      string             `json:"state,omitempty"`
	Detail     string             `json:"how,omitempty"`
	Text       string             `json:"text,omitempty"`
	Values     map[string]float64 `json:"figures,omitempty"`
	Terms      *Terms             `json:"terms,omitempty"`
}

func (e Event) String() string {
	b, err := json.Marshal(e)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Class contains what the rules need to know about a class of messages.
type Class struct {
	Name      string        `json:"name"`
	Effect    string        `json:"effect"` // idempotent, deduplicated or at_most_once, as in the settings
	SameZone  bool          `json:"same_zone,omitempty"`
	Window    time.Duration `json:"window"`
	Aim       time.Duration `json:"aim"`
	Deadline  time.Duration `json:"deadline"`
	Worth     float64       `json:"worth"`
	LateShare float64       `json:"late_share"`
}

// Terms are the values by which a history is judged. The first event contains them, so that a history can be checked
// without the scenario that produced it.
type Terms struct {
	Seed        uint64            `json:"seed"`
	Classes     []Class           `json:"classes"`
	MaxAttempts int               `json:"max_attempts"`
	DrainGrace  time.Duration     `json:"drain_grace"`
	AskWithin   time.Duration     `json:"ask_within"`
	Endpoints   map[string]int    `json:"endpoints"` // the destination of each endpoint at the start
	Zones       map[string]string `json:"zones"`     // the zone of each endpoint
	Rates       []float64         `json:"rates"`     // calls per second that each destination accepts from all relays together; 0 for no limit
	Limits      map[string]Limits `json:"limits"`    // by process
	// TakeOver is the time allowed for taking over the messages of a lost machine; none of them is overdue before it has passed.
	// 0 if messages are not taken over.
	TakeOver time.Duration `json:"take_over,omitempty"`
}

// Limits are the resource limits of a process.
type Limits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// Read calls onEvent for each event of a history, in order. A line that is not an event ends it with an error that gives the
// line's number, and so does a first event without terms. An incomplete last line, which a killed lab leaves, is skipped and
// reported as truncated.
func Read(r io.Reader, onEvent func(Event)) (truncated bool, err error) {
	reader := bufio.NewReaderSize(r, 1<<18)
	for n := 1; ; n++ {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return len(line) > 0, nil
		}
		if err != nil {
			return false, err
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return false, fmt.Errorf("line %d: %w", n, err)
		}
		if n == 1 && (e.Kind != Run || e.Terms == nil) {
			return false, errors.New("line 1: the first event is not a run event with its terms")
		}
		onEvent(e)
	}
}

// WorthAfter returns the worth of a message that was delivered with the given latency: all of it within the class's aim, then
// halved with each further aim, but at least the class's late share.
func (c *Class) WorthAfter(latency time.Duration) float64 {
	if latency <= c.Aim {
		return c.Worth
	}
	return c.Worth * max(c.LateShare, math.Pow(0.5, float64(latency-c.Aim)/float64(c.Aim)))
}
