package choice

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// record has TestDecisionsAreAsRecorded write testdata/recorded.txt, which has digests of the
// actions, the counts of excluded endpoints and the snapshots of random plays. They were first made
// by the program of commit 926a6db, in which each Step checked all that was pending, known and
// listed, with the change to it that a restart counts a window as used up (restoreOutage). Each
// later change of the cold budget (restore.go, health.go, manual.go) recorded them again with a
// program that decided as recorded before that change. They are made with
//
//	go test ./choice -run TestDecisionsAreAsRecorded -record
//
// A change that only makes decisions cheaper must keep the digests. One that changes decisions
// records them again, and says so.
var record = flag.Bool("record", false, "write testdata/recorded.txt again")

const (
	recordedFile  = "testdata/recorded.txt"
	recordedPlays = 320
	recordedSteps = 500
)

// TestDecisionsAreAsRecorded guards against decisions that change while they are made cheaper: by
// another order among equals, one random draw more or less, or a pace updated at other times.
func TestDecisionsAreAsRecorded(t *testing.T) {
	var lines bytes.Buffer
	for seed := range uint64(recordedPlays) {
		if *record || !testing.Short() || seed%8 == 0 {
			h := sha256.New()
			play(t, h, seed, recordedSteps)
			fmt.Fprintf(&lines, "%d %x\n", seed, h.Sum(nil)[:12])
		}
	}
	if *record {
		if err := os.WriteFile(recordedFile, lines.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	data, err := os.ReadFile(recordedFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(data)), "\n")
	if len(want) != recordedPlays {
		t.Fatalf("%d plays recorded, want %d", len(want), recordedPlays)
	}
	for s := bufio.NewScanner(&lines); s.Scan(); {
		if !slices.Contains(want, s.Text()) {
			t.Errorf("play %s differs from the recorded ones", s.Text())
		}
	}
}

// TestPrintPlay prints all that a play did, to compare two programs. The environment variable PLAY
// is the play's seed, PLAYS the number of plays to digest from there on, STEPS their length. It
// checks nothing, and is skipped without PLAY.
func TestPrintPlay(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("PLAY"), 10, 64)
	if err != nil {
		t.Skip("no PLAY")
	}
	steps, _ := strconv.Atoi(os.Getenv("STEPS"))
	many, _ := strconv.ParseUint(os.Getenv("PLAYS"), 10, 64)
	w := bufio.NewWriter(os.Stdout)
	defer w.Flush()
	if many == 0 {
		play(t, w, seed, steps)
	}
	for s := seed; s < seed+many; s++ {
		h := sha256.New()
		play(t, h, s, steps)
		fmt.Fprintf(w, "play %d %x\n", s, h.Sum(nil)[:12])
	}
}

// playedMessage is what a play knows of one message.
type playedMessage struct {
	Restored
	deadline, firstRunAt, sentAt time.Duration
	ended                        bool
	inFlight                     *Send
}

type scheduledResult struct {
	at time.Duration
	Result
}

// randomPlay plays a relay around one Chooser.
type randomPlay struct {
	t          testing.TB
	out        io.Writer
	chooser    *Chooser
	random     *rand.Rand
	settings   Settings
	now        time.Duration
	hosts      []Host // as listed, with the removed ones
	hostModes  map[string]int
	messages   map[string]*playedMessage
	ids        []string // of messages, in order of arrival
	results    []scheduledResult
	lastNumber int
}

func oneOf[T any](r *rand.Rand, of ...T) T { return of[r.IntN(len(of))] }

// randomSettings returns settings for a play.
func (p *randomPlay) randomSettings() Settings {
	s, r := settings(), p.random
	s.Fleet, s.Workers, s.Tick = oneOf(r, 1, 2, 2, 300), oneOf(r, 1, 2, 3, 7, 32, 32), oneOf(r, ms, 5*ms, 20*ms)
	s.MaxPending, s.MaxAttempts = oneOf(r, 0, 0, 12, 60, 400), oneOf(r, 1, 2, 4, 8)
	s.RatesListed, s.CanCancel, s.WorthHalves = r.IntN(3) > 0, r.IntN(2) > 0, r.IntN(2) > 0
	s.ReportLimitIndex, s.ReportLeftIndex = oneOf(r, -1, 1, 1), oneOf(r, -1, 0, 0)
	s.Rules.OverloadWindow, s.Rules.WarmUp = oneOf(r, time.Second, 2*time.Second), oneOf(r, 4*time.Second, 10*time.Second)
	for i := range s.Classes {
		s.Classes[i].LateShare = oneOf(r, 0, 0.3, 0.5)
		s.Classes[i].Worth = oneOf(r, 1, 1, 3.0)
		s.Classes[i].Aim = oneOf(r, 300*ms, time.Second, 2*time.Second)
		s.Classes[i].Ordered = s.Classes[i].Ordered || r.IntN(4) == 0
		s.Classes[i].SameZone = r.IntN(2) == 0
	}
	if r.IntN(2) == 0 {
		s.Tenants, s.OverShareFactor = []Tenant{{Name: "a", Quota: 40}, {Name: "b", Quota: 3}}, 0.2
	}
	return s
}

// step lets the Chooser decide, writes its actions down, and schedules the results of its sends.
func (p *randomPlay) step(events ...Event) {
	for _, a := range p.chooser.Step(p.now, events) {
		fmt.Fprintf(p.out, "%d %T%+v\n", p.now, a, a)
		switch a := a.(type) {
		case Send:
			p.scheduleResult(a)
		case Refuse:
			p.endMessage(a.ID)
		case Fail:
			p.endMessage(a.ID)
		case Cancel:
			for i := range p.results {
				if e := &p.results[i]; e.ID == a.ID && p.random.IntN(4) > 0 {
					e.at, e.Outcome, e.Done = p.now+5*ms, Cancelled, false
				}
			}
		}
	}
	fmt.Fprintln(p.out, p.chooser.Excluded())
}

func (p *randomPlay) endMessage(id string) {
	if m := p.messages[id]; m != nil {
		m.ended = true
		p.forget(id)
	}
}

func (p *randomPlay) forget(id string) {
	if m := p.messages[id]; m.ended && m.inFlight == nil {
		delete(p.messages, id)
		p.ids = slices.DeleteFunc(p.ids, func(o string) bool { return o == id })
	}
}

// scheduleResult decides how an attempt will end, by the mode of its endpoint.
func (p *randomPlay) scheduleResult(s Send) {
	m, r := p.messages[s.ID], p.random
	if m == nil || m.inFlight != nil || m.ended {
		p.t.Fatalf("sent %+v, which is in flight, ended or unknown", s)
	}
	m.inFlight, m.sentAt, m.Timeout = &s, p.now, s.Timeout
	e := Result{ID: s.ID, Host: s.Host, Attempt: m.Attempts, Outcome: Served, Took: time.Duration(1+r.IntN(60)) * ms}
	m.Attempts++
	switch mode := p.hostModes[s.Host]; {
	case mode == 1 || mode == 6 && r.IntN(2) == 0:
		e.Outcome = oneOf(r, NoConnection, NoConnection, Timeout)
	case mode == 2:
		e.Outcome, e.RetryAfter = Refused, time.Duration(r.IntN(3)*r.IntN(3000))*ms
	case mode == 3:
		e.Outcome = Timeout
	case mode == 4:
		e.Outcome, e.StaleConn = oneOf(r, Error, Error, Reset, Served), r.IntN(5) == 0
	case mode == 5:
		e.Outcome = oneOf(r, Served, Served, Refused, NotSent)
	}
	if e.Took > s.Timeout || e.Outcome == Timeout {
		e.Outcome, e.Took = Timeout, s.Timeout
	}
	if e.Outcome == Served || e.Outcome == Refused && r.IntN(2) == 0 {
		e.Report = []float64{r.Float64(), oneOf(r, 0, 3, 20.0) * (1 + r.Float64())}
	}
	e.Done = e.Outcome == Served
	p.results = append(p.results, scheduledResult{p.now + e.Took, e})
}

// takeDue removes and returns the results of the attempts that have ended by now.
func (p *randomPlay) takeDue() (events []Event) {
	p.results = slices.DeleteFunc(p.results, func(e scheduledResult) bool {
		m := p.messages[e.ID]
		if e.at > p.now {
			return false
		}
		certain := e.Outcome == Served || e.Outcome == Refused || e.Outcome == NoConnection || e.Outcome == NotSent
		if !certain && !m.MayHaveRun {
			m.MayHaveRun, m.firstRunAt = true, m.sentAt
			m.FirstRunZone = p.hosts[slices.IndexFunc(p.hosts, func(h Host) bool { return h.Addr == e.Host })].Zone
		}
		m.inFlight, m.ended = nil, m.ended || e.Done
		p.forget(e.ID)
		events = append(events, e.Result)
		return true
	})
	return events
}
