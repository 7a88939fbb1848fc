package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/scenario"
)

// Env is what all parties of a run share.
type Env struct {
	Clock    *history.Clock
	Record   func(history.Event)
	Net      *link.Net
	Scenario *scenario.Scenario
	Draw     *Draw
	ClientIP func(n int) string // where the nth client connects from; nil for anywhere
}

// Sum is what the history keeps of a body.
func Sum(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Partners are all destinations with their endpoints.
type Partners struct {
	Env
	dests []*partner
	eps   map[string]*endpoint
	calls atomic.Int64
}

// partner is one destination: limit, outages and coldness are of all its endpoints together.
type partner struct {
	*Dest
	all *Partners

	mu       sync.Mutex
	rand     *rand.Rand
	eps      []*endpoint
	tokens   float64
	filled   time.Time
	span     time.Time // when the span that runs began
	counted  float64
	shut     time.Time // until when it turns all away
	fails    float64   // share of calls that fail
	slow     float64   // calls take so many times as long
	out      bool      // no endpoint answers
	warmFrom time.Time // came back cold then; zero for warm
	fallen   bool
	burnt    map[string]bool // relays that have seen it fail while the outage lasted; all, once its machines are down
	load     []arrival       // while cold
}

// everyone stands for all relays in what they have seen.
const everyone = "*"

type arrival struct {
	at     time.Time
	relay  string
	weight float64
}

// endpoint is one machine of a destination.
type endpoint struct {
	name, id string // endpoint/3 in scenario and history, s-3 on the list
	of       *partner
	workers  int
	busy     int
	waiting  []*job
	conns    int
	refuses  bool // it has drained
	trouble  Trouble
	applied  map[string]time.Time // keys that took effect
	report   string
	reported time.Time
}

// job is a call that an endpoint has taken.
type job struct {
	call   int64
	relay  string
	conn   *link.Conn
	many   bool
	ids    []string
	keys   []string
	weight float64
	done   func() // once
}

// NewPartners makes the destinations of a draw.
func NewPartners(env Env) *Partners {
	p := &Partners{Env: env, eps: map[string]*endpoint{}}
	for i := range env.Draw.Dests {
		d := &partner{Dest: &env.Draw.Dests[i], all: p, rand: rand.New(rand.NewPCG(env.Scenario.Seed, 0x100+uint64(i))),
			burnt: map[string]bool{}, slow: 1, filled: time.Now(), span: time.Now()}
		d.tokens = d.burst()
		p.dests = append(p.dests, d)
	}
	for i := range env.Scenario.Platform.Destinations * env.Scenario.Platform.Endpoints {
		d := p.dests[i%len(p.dests)]
		e := &endpoint{name: fmt.Sprintf("endpoint/%d", i), id: fmt.Sprintf("s-%d", i), of: d, trouble: Trouble{Slow: 1}, applied: map[string]time.Time{}}
		e.workers = max(1, int(math.Round(d.Capacity*d.mean())))
		d.eps = append(d.eps, e)
		p.eps[e.name] = e
	}
	return p
}

// mean is the mean time of a call in seconds.
func (d *Dest) mean() float64 { return d.Median * math.Exp(d.Sigma*d.Sigma/2) }

// burst is how many calls a plain rate lets through at once.
func (d *Dest) burst() float64 { return max(1, d.Rate/4) }

// Serve lets a relay reach an endpoint at an address of their own.
func (p *Partners) Serve(relay, name, addr string) (string, error) {
	e := p.eps[name]
	return p.Net.Serve(relay, name, addr, func(c *link.Conn) { e.serve(relay, c) })
}

// ServeAll lets all relays reach an endpoint at one address.
func (p *Partners) ServeAll(name, addr string, who func(ip string) string) (string, error) {
	e := p.eps[name]
	o, err := p.Net.ServeAll(name, addr, who, func(c *link.Conn) { e.serve(c.Peer(), c) })
	if err != nil {
		return "", err
	}
	return o.Addr, nil
}

// ID is the name of an endpoint on the list.
func ID(name string) string { return "s-" + name[len("endpoint/"):] }

func (e *endpoint) serve(relay string, c *link.Conn) {
	d := e.of
	time.Sleep(time.Duration(d.all.Draw.Handshake * float64(time.Second)))
	d.mu.Lock()
	over := e.conns >= d.Conns
	e.conns++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		e.conns--
		d.mu.Unlock()
	}()
	const idle = 10 * time.Second
	c.SetReadDeadline(time.Now().Add(idle))
	var call int64
	requests(c, maxBody, func(a *asked) bool {
		c.SetReadDeadline(time.Time{})
		ended := make(chan struct{})
		call = e.take(relay, a, over, func() { close(ended) })
		select {
		case <-ended: // the answer is written at the front, or there will be none
		case <-c.Gone(): // whether the relay still waits is known at the front alone
			d.all.Record(history.Event{T: c.GoneAt(), Kind: history.Gone, Relay: relay, Call: call})
			return false
		}
		c.SetReadDeadline(time.Now().Add(idle))
		return !over
	})
	if at := c.GoneAt(); at > 0 && call > 0 { // perhaps as the last answer came, and without having read it
		d.all.Record(history.Event{T: at, Kind: history.Gone, Relay: relay, Call: call})
	}
}

// take decides what becomes of a call, as it comes. One on a connection too many is turned away.
func (e *endpoint) take(relay string, a *asked, over bool, done func()) (call int64) {
	d, p := e.of, e.of.all
	j := &job{call: p.calls.Add(1), relay: relay, conn: a.conn, done: done, weight: 1}
	bodies := [][]byte{a.body}
	var err error
	switch {
	case a.Method == "POST" && a.URL.Path == "/receive":
		j.ids, j.keys = []string{a.Header.Get("X-Request-Id")}, []string{a.Header.Get("Idempotency-Key")}
		if j.ids[0] == "" {
			err = fmt.Errorf("a call without id")
		}
	case a.Method == "POST" && a.URL.Path == "/receive-many":
		j.many = true
		j.ids, j.keys, bodies, err = frames(a.body)
		j.weight += d.ItemCost * float64(len(j.ids)-1)
	default:
		err = fmt.Errorf("%s %s", a.Method, a.URL.Path)
	}
	if err != nil {
		p.Record(history.Event{T: p.Clock.Now(), Kind: history.Bad, Relay: relay, Endpoint: e.name, Text: err.Error()})
		e.answer(j, 400, 0)
		return j.call
	}
	came := history.Event{T: p.Clock.Now(), Kind: history.Call, Relay: relay, Call: j.call, IDs: j.ids, Endpoint: e.name, Dest: d.Number,
		Begun: a.begun, Whole: a.whole, Agreed: a.Header.Get("X-Agreed")}
	for i, b := range bodies {
		came.Sums = append(came.Sums, Sum(append([]byte(j.keys[i]+"\n"), b...)))
	}
	p.Record(came)
	if j.many && len(j.ids) > p.Draw.Kinds[d.Kind].PerCall {
		e.answer(j, 413, 0)
		return j.call
	}
	d.mu.Lock()
	now := time.Now()
	d.weigh(relay, j.weight, now)
	status, wait := 503, time.Duration(0)
	if !over {
		status, wait = e.admit(j, now)
	}
	if status != 0 {
		d.burn(relay, now)
		d.mu.Unlock()
		e.answer(j, status, wait)
		return j.call
	}
	if e.busy < e.workers {
		e.begin(j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	d.mu.Unlock()
	return j.call
}

// admit tells with which status a call is turned away, or 0. The lock is held.
func (e *endpoint) admit(j *job, now time.Time) (status int, wait time.Duration) {
	d := e.of
	turn := func(wait time.Duration) (int, time.Duration) {
		if wait > 0 && d.rand.Float64() < d.Tells {
			return 429, wait
		}
		return 503, 0
	}
	if e.refuses || d.fallen || d.out {
		return 503, 0
	}
	if now.Before(d.shut) {
		return turn(d.shut.Sub(now))
	}
	if wait, ok := d.allow(now); !ok {
		return turn(wait)
	}
	if queue := max(2, int(d.Depth*d.Capacity*d.warmth(now))); e.busy >= e.workers && len(e.waiting) >= queue {
		return turn(0)
	}
	return 0, 0
}

// allow counts a call against the limit of its destination. The lock is held.
func (d *partner) allow(now time.Time) (wait time.Duration, ok bool) {
	if d.Rate <= 0 {
		return 0, true
	}
	if d.Window > 0 {
		length := time.Duration(d.Window * float64(time.Second))
		if n := now.Sub(d.span) / length; n > 0 {
			d.span, d.counted = d.span.Add(n*length), 0
		}
		if d.counted+1 > d.Rate*d.Window {
			if d.Spend {
				d.counted++
			}
			return d.span.Add(length).Sub(now), false
		}
		d.counted++
		return 0, true
	}
	d.tokens = min(d.burst(), d.tokens+now.Sub(d.filled).Seconds()*d.Rate)
	d.filled = now
	if d.tokens < 1 {
		if d.Spend {
			d.tokens = max(-d.burst(), d.tokens-1)
		}
		return time.Duration(max(d.Wait, (1-d.tokens)/d.Rate) * float64(time.Second)), false
	}
	d.tokens--
	return 0, true
}

// left is the share of the allowance that is left. The lock is held.
func (d *partner) left() float64 {
	switch {
	case d.Rate <= 0:
		return 0
	case d.Window > 0:
		return max(0, 1-d.counted/(d.Rate*d.Window))
	}
	return max(0, min(1, d.tokens/d.burst()))
}

// warmth is the share of its capacity that a destination has at a time. The lock is held.
func (d *partner) warmth(now time.Time) float64 {
	if d.warmFrom.IsZero() {
		return 1
	}
	part := now.Sub(d.warmFrom).Seconds() / d.all.Draw.Cold
	return min(1, d.ColdFrom+(1-d.ColdFrom)*max(0, part))
}

// The figures of the rule on cold returns, and a slack for chance, in calls.
const (
	fallSpan  = 2 * time.Second
	fallTimes = 1.5
	fallSlack = 3
)

// weigh counts what reaches a cold destination, and has it fall over when that is too much. The lock is held.
func (d *partner) weigh(relay string, weight float64, now time.Time) {
	if d.warmFrom.IsZero() || d.fallen || d.out {
		return
	}
	if d.warmth(now) >= 1 {
		d.warmFrom, d.load, d.burnt = time.Time{}, nil, map[string]bool{}
		return
	}
	d.load = append(d.load, arrival{now, relay, weight})
	d.load = slices.DeleteFunc(d.load, func(a arrival) bool { return now.Sub(a.at) > fallSpan })
	var sum float64
	by := map[string]float64{}
	for _, a := range d.load {
		sum += a.weight
		by[a.relay] += a.weight
	}
	var capacity float64
	for _, e := range d.eps {
		if !e.refuses {
			capacity += float64(e.workers) / d.mean()
		}
	}
	if sum <= fallTimes*capacity*d.warmth(now)*fallSpan.Seconds()+fallSlack {
		return
	}
	d.fallen = true
	figures := map[string]float64{}
	for r, w := range by {
		name := "new:" + r
		if d.burnt[r] || d.burnt[everyone] {
			name = "knew:" + r
		}
		figures[name] = w
	}
	d.all.Record(history.Event{T: d.all.Clock.At(now), Kind: history.Fell, Dest: d.Number, Figures: figures,
		Text: fmt.Sprintf("%.1f calls in %v at %.0f%% of %.1f a second", sum, fallSpan, 100*d.warmth(now), capacity)})
}

// burn notes that a relay has seen a destination fail during its outage. The lock is held.
func (d *partner) burn(relay string, now time.Time) {
	if d.out || now.Before(d.shut) || d.fails > 0.5 {
		d.burnt[relay] = true
	}
}

// begin starts on a call. The lock is held.
func (e *endpoint) begin(j *job) {
	d := e.of
	e.busy++
	takes := d.Median * math.Exp(d.Sigma*d.rand.NormFloat64()) * d.slow * e.trouble.Slow / d.warmth(time.Now()) * j.weight
	time.AfterFunc(time.Duration(takes*float64(time.Second)), func() { e.finish(j) })
}

// finish ends a call that has run, and starts on the next.
func (e *endpoint) finish(j *job) {
	d := e.of
	now := time.Now()
	d.mu.Lock()
	e.busy--
	if len(e.waiting) > 0 && e.busy < e.workers {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.begin(next)
	}
	if d.out || d.fallen { // its machine went down under it
		d.mu.Unlock()
		j.done()
		return
	}
	status, failed := 200, max(d.fails, e.trouble.Fails)
	if d.rand.Float64() < max(d.all.Draw.Error, failed) {
		status = 500
		d.burn(j.relay, now)
	} else {
		for _, key := range j.keys {
			if key != "" {
				e.applied[key] = now
			}
		}
		if len(e.applied) > 4096 {
			for key, at := range e.applied {
				if now.Sub(at) > time.Minute {
					delete(e.applied, key)
				}
			}
		}
	}
	d.mu.Unlock()
	if status == 200 {
		d.all.Record(history.Event{T: d.all.Clock.At(now), Kind: history.Ran, Call: j.call})
	}
	e.answer(j, status, 0)
}

// answer sends an answer, and records when the relay had it.
func (e *endpoint) answer(j *job, status int, wait time.Duration) {
	d, p := e.of, e.of.all
	header := ""
	if wait > 0 {
		wait = wait.Round(time.Millisecond)
		header = fmt.Sprintf("Retry-After: %.3f\r\n", wait.Seconds())
	}
	d.mu.Lock()
	drained := e.refuses
	if !drained {
		header += e.load()
	}
	garbled := status < 400 && e.trouble.Garbles > 0 && d.rand.Float64() < e.trouble.Garbles
	text, says := "", 0
	if garbled {
		text, says = garble(d.rand, j.many)
	}
	d.mu.Unlock()
	var body []byte
	if j.many && status == 200 {
		for _, id := range j.ids {
			body = append(body, id+" ok\r\n"...)
		}
	}
	written := func(at int64, ok bool) {
		e := history.Event{T: at, Kind: history.Answer, Relay: j.relay, Call: j.call, Status: status, Wait: wait.Milliseconds()}
		if garbled {
			e.Status, e.How = says, history.Unreadable
		}
		if gone := j.conn.GoneAt(); gone > 0 && gone <= at { // it was written to nobody
			e = history.Event{T: gone, Kind: history.Gone, Relay: j.relay, Call: j.call}
		}
		if ok || e.Kind == history.Gone {
			p.Record(e)
		}
		j.done()
	}
	if !garbled {
		respond(j.conn, status, header, body, written)
		return
	}
	j.conn.Send([]byte(text), written)
	j.conn.Close()
}

// garble is an answer that no relay can read, and the status that it still tells: 200 where its first line says so
// and it answers one message, else 0.
func garble(r *rand.Rand, many bool) (text string, says int) {
	junk := make([]byte, 20+r.IntN(200))
	for i := range junk {
		junk[i] = byte(r.Uint32())
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	switch r.IntN(6) {
	case 0:
		return string(junk), 0
	case 1:
		return "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", 0
	case 2:
		return "HTTP/1.1 200"[:5+r.IntN(7)], 0
	case 3:
		text = ok + "Content-Length: many\r\n\r\n"
	case 4:
		text = ok + "Content-Length: 500\r\n\r\n" + string(junk)
	default:
		text = ok + "\x00" + string(junk) + "\r\n\r\n"
	}
	if many {
		return text, 0
	}
	return text, 200
}

// load is the report of an answer, which is as old as the last refreshing. The lock is held.
func (e *endpoint) load() string {
	d := e.of
	if d.Rate <= 0 {
		return ""
	}
	if now := time.Now(); now.Sub(e.reported).Seconds() > d.all.Draw.ReportEvery {
		noise := func() float64 { return 1 + d.all.Draw.ReportNoise*d.rand.NormFloat64() }
		data, err := json.Marshal(map[string]float64{"x0": max(0, d.left()*noise()), "x1": max(0, d.Rate*noise())})
		if err != nil {
			return ""
		}
		e.report, e.reported = "X-Load: "+string(data)+"\r\n", now
	}
	return e.report
}

// Out takes destinations down, each with all its endpoints: they reset what they have and refuse what comes.
func (p *Partners) Out(dest int, down bool) {
	d := p.dests[dest]
	d.mu.Lock()
	d.out = down
	kind := history.Down
	if !down {
		kind = history.Up
		d.comeBack(time.Now())
	} else {
		// Connections that are refused show at nobody's socket here. Whoever has called meanwhile has seen it.
		d.fallen, d.burnt = false, map[string]bool{everyone: true}
		for _, e := range d.eps {
			for _, j := range e.waiting {
				go j.done()
			}
			e.waiting = nil
		}
	}
	d.mu.Unlock()
	var f *link.Faults
	if down {
		f = &link.Faults{Refused: true}
	}
	for _, e := range d.eps {
		for _, l := range p.Net.Links(func(string) bool { return true }, func(to string) bool { return to == e.name }) {
			l.Put("outage", f, nil)
			if down {
				l.Reset()
			}
		}
	}
	p.Record(history.Event{T: p.Clock.Now(), Kind: kind, Dest: dest, How: "outage"})
}

// comeBack has a destination begin cold. The lock is held.
func (d *partner) comeBack(now time.Time) {
	d.warmFrom, d.load, d.tokens, d.filled, d.counted, d.span = now, nil, d.burst(), now, 0, now
}

// Shut has a destination turn all away for a time, after which it is cold.
func (p *Partners) Shut(dest int, length time.Duration) {
	d := p.dests[dest]
	d.mu.Lock()
	d.shut, d.burnt = time.Now().Add(length), map[string]bool{}
	d.mu.Unlock()
	p.Record(history.Event{T: p.Clock.Now(), Kind: history.Down, Dest: dest, How: "shut"})
	time.AfterFunc(length, func() {
		d.mu.Lock()
		d.comeBack(time.Now())
		d.mu.Unlock()
		p.Record(history.Event{T: p.Clock.Now(), Kind: history.Up, Dest: dest, How: "shut"})
	})
}

// Trouble is what is wrong with an endpoint.
type Trouble struct {
	Fails   float64 // share of its calls
	Slow    float64 // they take so many times as long
	Garbles float64 // share of the answers to calls that ran that cannot be read
}

// Trouble changes what is wrong with an endpoint.
func (p *Partners) Trouble(name string, change func(*Trouble)) {
	e := p.eps[name]
	e.of.mu.Lock()
	defer e.of.mu.Unlock()
	change(&e.trouble)
}

// Limit changes what a destination takes from all relays together by a factor.
func (p *Partners) Limit(dest int, factor float64) {
	d := p.dests[dest]
	d.mu.Lock()
	d.allow(time.Now())
	d.Rate *= factor
	d.tokens = min(d.tokens, d.burst())
	rate := d.Rate
	d.mu.Unlock()
	p.Record(history.Event{T: p.Clock.Now(), Kind: history.Limit, Dest: dest, Figures: map[string]float64{"rate": rate}})
}

// Drained has an endpoint turn away what comes, for it has been given up.
func (p *Partners) Drained(name string) {
	e := p.eps[name]
	e.of.mu.Lock()
	defer e.of.mu.Unlock()
	e.refuses = true
}
