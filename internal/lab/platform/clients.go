package platform

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/lab/history"
)

// Clients emulates the programs that send messages to the relays.
type Clients struct {
	Env
	Relays *RelayPool

	mu           sync.Mutex
	idle         map[string][]*clientConn // unused connections, by client and relay
	openMessages map[string]*message      // submitted messages that may still end with a notice, by id
	inProgress   sync.WaitGroup
	lastNumber   atomic.Int64
	stopped      atomic.Bool
	maxLagNanos  atomic.Int64 // longest delay of a submission behind its schedule, nanoseconds
}

// message is a message that a client wants delivered. It has an id of its own for each submission.
type message struct {
	firstID, key  string
	class         history.Class
	tenant        string
	dest          int
	body          []byte
	createdAt     time.Time
	client        int
	retries       int // submissions after a refusal
	abandonsEarly bool
	halfClosed    bool // the client closes its sending side after the request
}

// Limits of a client's submissions.
const (
	answerTimeout     = 400 * time.Millisecond
	earlyAbandonAfter = 2 * time.Millisecond
	maxIdleConns      = 4
	maxSubmissions    = 4 // submissions of one message, each under its own id, whatever their outcomes
)

// NewClients returns clients that send to the relays of a pool once Submit is called.
func NewClients(env Env, relays *RelayPool) *Clients {
	return &Clients{Env: env, Relays: relays, idle: map[string][]*clientConn{}, openMessages: map[string]*message{}}
}

// Submit submits messages at the scenario's rate until the context ends. It returns once the last submission has finished.
func (c *Clients) Submit(ctx context.Context) {
	s, r := c.Scenario, rand.New(rand.NewPCG(c.Scenario.Seed, 0x2b))
	earlyDraws := rand.New(rand.NewPCG(c.Scenario.Seed, 0x3c))
	behaviourDraws := rand.New(rand.NewPCG(c.Scenario.Seed, 0x3d))
	next := time.Now()
	burstFrom, burstTo := next, next
	for i := 0; ctx.Err() == nil && s.Load.Rate > 0; i++ {
		rate := s.Load.Rate
		if s.Load.Burst > 1 {
			if next.After(burstTo) { // bursts last 2 to 4 s and take about a third of the time
				burstFrom = next.Add(time.Duration(uniform(r, 3, 8) * float64(time.Second)))
				burstTo = burstFrom.Add(time.Duration(uniform(r, 2, 4) * float64(time.Second)))
			}
			if next.After(burstFrom) {
				rate *= s.Load.Burst
			}
		}
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(s.Load.Clump) * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.maxLagNanos.Store(max(c.maxLagNanos.Load(), int64(time.Since(next))))
		size, dest := 1, -1
		if s.Load.Clump > 1 {
			size = 1 + r.IntN(2*s.Load.Clump-1)
		}
		for range size {
			m := c.newMessage(r)
			if dest < 0 {
				dest = m.dest
			}
			m.dest = dest
			m.abandonsEarly = earlyDraws.Float64() < s.Load.Early
			if s.Load.Pipelined > 0 && behaviourDraws.Float64() < s.Load.Pipelined {
				second := c.newMessage(r)
				second.client = m.client
				c.inProgress.Go(func() { c.submitPipelined(m, second) })
				continue
			}
			m.halfClosed = s.Load.HalfClosed > 0 && behaviourDraws.Float64() < s.Load.HalfClosed
			c.inProgress.Go(func() { c.submit(m, "") })
		}
	}
	c.stopped.Store(true)
	c.inProgress.Wait()
}

// MaxLag returns the longest delay of a submission behind its schedule. If it is large, the load was not that of the scenario.
func (c *Clients) MaxLag() time.Duration { return time.Duration(c.maxLagNanos.Load()) }

// newMessage draws a message at random.
func (c *Clients) newMessage(r *rand.Rand) *message {
	pick := func(n int, share func(int) float64) int {
		v := r.Float64()
		for i := range n {
			if v -= share(i); v < 0 {
				return i
			}
		}
		return n - 1
	}
	d := c.Draw
	m := &message{class: d.Classes[r.IntN(len(d.Classes))], createdAt: time.Now(), client: r.IntN(c.Scenario.Load.Clients),
		tenant: d.Tenants[pick(len(d.Tenants), func(i int) float64 { return d.Tenants[i].Share })].Name,
		dest:   pick(len(d.Dests), func(i int) float64 { return d.Dests[i].Share }),
		key:    fmt.Sprintf("k%016x%016x", r.Uint64(), r.Uint64())}
	if m.class.Effect != "deduplicated" {
		m.key = ""
	}
	raw := make([]byte, 40+r.IntN(300))
	for i := range raw {
		raw[i] = byte(r.Uint32())
	}
	m.body = []byte(base64.StdEncoding.EncodeToString(raw))
	return m
}

// submit sends a message to relays until one answers without asking for a retry, or until the message's deadline or maxSubmissions
// is reached.
func (c *Clients) submit(m *message, retryMark string) {
	for submissions := 0; submissions < maxSubmissions; submissions++ {
		timeLeft := m.class.Deadline - time.Since(m.createdAt)
		if timeLeft <= 0 {
			return
		}
		relay, addr := c.chooseRelay(m.client)
		if relay == "" { // no relay is usable
			time.Sleep(50 * time.Millisecond)
			submissions--
			continue
		}
		id := c.startSubmission(m, relay, timeLeft)
		status, retryAfter, outcome := c.try(m, id, relay, addr, retryMark, timeLeft)
		var retry bool
		if retryMark, retry = c.finishSubmission(m, id, relay, status, retryAfter, outcome); !retry {
			return
		}
	}
}

// chooseRelay returns the relay to which a client submits its next message: round robin, except that one message in
// leavingRelayOneIn uses a connection that the client has to a relay that is leaving.
func (c *Clients) chooseRelay(client int) (relay, addr string) {
	if rand.IntN(leavingRelayOneIn) == 0 {
		if relay, addr = c.Relays.leavingRelay(func(relay string) bool { return c.hasIdleConn(client, relay) }); relay != "" {
			return relay, addr
		}
	}
	return c.Relays.next()
}

// leavingRelayOneIn is the number of messages of which one goes to a leaving relay, if its client has a connection there.
const leavingRelayOneIn = 3

// startSubmission assigns the id under which a message is submitted to a relay, and records the submission.
func (c *Clients) startSubmission(m *message, relay string, timeLeft time.Duration) (id string) {
	id = fmt.Sprintf("m%09x%08x", c.lastNumber.Add(1), uint32(c.Scenario.Seed))
	if m.firstID == "" {
		m.firstID = id
	}
	c.mu.Lock()
	c.openMessages[id] = m
	c.mu.Unlock()
	time.AfterFunc(timeLeft+10*time.Second, func() { c.forget(id) })
	sendMode := ""
	if m.halfClosed {
		sendMode = history.HalfClosed
	}
	c.Record(history.Event{At: c.Clock.Now(), Kind: history.RequestSent, Relay: relay, ID: id, Detail: sendMode, FirstID: m.firstID, Class: m.class.Name, Tenant: m.tenant,
		Dest: m.dest, Key: m.key, LeftMs: timeLeft.Milliseconds(), BodySum: Checksum(append([]byte(m.key+"\n"), m.body...))})
	return id
}

// finishSubmission handles the outcome of a submission. It reports whether the client submits the message again, and the value
// of the X-Retry header for that, empty for none. A status of 0 means that there was no answer.
func (c *Clients) finishSubmission(m *message, id, relay string, status int, retryAfter time.Duration, outcome string) (retryMark string, retry bool) {
	switch status {
	case 0:
		c.Record(history.Event{At: c.Clock.Now(), Kind: history.ClientLeft, Relay: relay, ID: id, Detail: outcome})
		c.forget(id)
		return "again", outcome != abandonedEarly
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "", c.waitToRetry(m, retryAfter)
	}
	return "", false
}

// forget drops an id whose outcome no longer matters.
func (c *Clients) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openMessages, id)
}

// waitToRetry waits as a client does after a refusal, and reports whether it submits the message again. Some clients honour the
// advised wait, up to 3 s; the others use the draw's backoff.
func (c *Clients) waitToRetry(m *message, retryAfter time.Duration) bool {
	if m.retries >= c.Draw.Retries {
		return false
	}
	m.retries++
	wait := time.Duration(c.Draw.Backoff * float64(time.Second))
	if retryAfter > 0 && float64(m.client%100)/100 < c.Draw.Honour {
		wait = min(retryAfter, 3*time.Second)
	}
	if time.Since(m.createdAt)+wait >= m.class.Deadline {
		return false
	}
	time.Sleep(wait)
	return true
}

// HandleNotice submits a message again whose notice has the status "deferred".
func (c *Clients) HandleNotice(id, status string, retryAfter time.Duration) {
	c.mu.Lock()
	m := c.openMessages[id]
	delete(c.openMessages, id)
	c.mu.Unlock()
	if m == nil || status != "deferred" || c.stopped.Load() {
		return
	}
	c.inProgress.Add(1)
	go func() {
		defer c.inProgress.Done()
		if c.waitToRetry(m, retryAfter) {
			c.submit(m, "")
		}
	}()
}
