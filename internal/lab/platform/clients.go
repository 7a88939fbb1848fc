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

// Clients are the mills' programs.
type Clients struct {
	Env
	Front *Front

	mu   sync.Mutex
	idle map[string][]*clientConn // by client and relay
	open map[string]*message      // taken on, by id
	wait sync.WaitGroup
	n    atomic.Int64
	stop atomic.Bool
	lag  atomic.Int64 // the most by which a message was handed in late, nanoseconds
}

// message is one that a client wants delivered, under whatever ids.
type message struct {
	first, key string
	class      history.Class
	tenant     string
	dest       int
	body       []byte
	begun      time.Time
	client     int
	again      int // times that it was handed in after a refusal
	early      bool
	halfClosed bool // its client ends its sending behind the request
}

// The times of a client.
const (
	patience   = 400 * time.Millisecond
	earlyAfter = 2 * time.Millisecond
	idleMost   = 4
	handsMost  = 4 // ids for one message, whatever becomes of them
)

// NewClients returns clients that hand nothing in yet.
func NewClients(env Env, front *Front) *Clients {
	return &Clients{Env: env, Front: front, idle: map[string][]*clientConn{}, open: map[string]*message{}}
}

// Play hands messages in until the context ends, at the scenario's rate. It returns once all have their answer.
func (c *Clients) Play(ctx context.Context) {
	s, r := c.Scenario, rand.New(rand.NewPCG(c.Scenario.Seed, 0x2b))
	early := rand.New(rand.NewPCG(c.Scenario.Seed, 0x3c))
	manners := rand.New(rand.NewPCG(c.Scenario.Seed, 0x3d))
	next := time.Now()
	burstFrom, burstTo := next, next
	for i := 0; ctx.Err() == nil && s.Load.Rate > 0; i++ {
		rate := s.Load.Rate
		if s.Load.Burst > 1 {
			if next.After(burstTo) { // a burst of a few seconds, a third of the time
				burstFrom = next.Add(time.Duration(between(r, 3, 8) * float64(time.Second)))
				burstTo = burstFrom.Add(time.Duration(between(r, 2, 4) * float64(time.Second)))
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
		c.lag.Store(max(c.lag.Load(), int64(time.Since(next))))
		size, dest := 1, -1
		if s.Load.Clump > 1 {
			size = 1 + r.IntN(2*s.Load.Clump-1)
		}
		for range size {
			m := c.draw(r)
			if dest < 0 {
				dest = m.dest
			}
			m.dest = dest
			m.early = early.Float64() < s.Load.Early
			if s.Load.Pipelined > 0 && manners.Float64() < s.Load.Pipelined {
				behind := c.draw(r)
				behind.client = m.client
				c.wait.Go(func() { c.handBoth(m, behind) })
				continue
			}
			m.halfClosed = s.Load.HalfClosed > 0 && manners.Float64() < s.Load.HalfClosed
			c.wait.Go(func() { c.hand(m, "") })
		}
	}
	c.stop.Store(true)
	c.wait.Wait()
}

// Behind is the most by which the load was late: then it was not the load that was asked for.
func (c *Clients) Behind() time.Duration { return time.Duration(c.lag.Load()) }

// draw makes a message.
func (c *Clients) draw(r *rand.Rand) *message {
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
	m := &message{class: d.Classes[r.IntN(len(d.Classes))], begun: time.Now(), client: r.IntN(c.Scenario.Load.Clients),
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

// hand has a message taken on, or gives it up.
func (c *Clients) hand(m *message, mark string) {
	for hands := 0; hands < handsMost; hands++ {
		left := m.class.Deadline - time.Since(m.begun)
		if left <= 0 {
			return
		}
		relay, addr := c.relayFor(m.client)
		if relay == "" { // none is up
			time.Sleep(50 * time.Millisecond)
			hands--
			continue
		}
		id := c.begin(m, relay, left)
		status, after, how := c.try(m, id, relay, addr, mark, left)
		var again bool
		if mark, again = c.settle(m, id, relay, status, after, how); !again {
			return
		}
	}
}

// relayFor is the relay that a client hands its next message in to: in turn, but for some that go on with a connection which they
// have to a relay that leaves.
func (c *Clients) relayFor(client int) (relay, addr string) {
	if rand.IntN(leavingPart) == 0 {
		if relay, addr = c.Front.left(func(relay string) bool { return c.hasKept(client, relay) }); relay != "" {
			return relay, addr
		}
	}
	return c.Front.next()
}

// leavingPart is one in how many messages goes to a relay that leaves, if its client has a connection there.
const leavingPart = 3

// begin gives a message an id under which it is handed in to a relay, and records that.
func (c *Clients) begin(m *message, relay string, left time.Duration) (id string) {
	id = fmt.Sprintf("m%09x%08x", c.n.Add(1), uint32(c.Scenario.Seed))
	if m.first == "" {
		m.first = id
	}
	c.mu.Lock()
	c.open[id] = m
	c.mu.Unlock()
	time.AfterFunc(left+10*time.Second, func() { c.forget(id) })
	how := ""
	if m.halfClosed {
		how = history.HalfClosed
	}
	c.Record(history.Event{At: c.Clock.Now(), Kind: history.RequestSent, Relay: relay, ID: id, Detail: how, FirstID: m.first, Class: m.class.Name, Tenant: m.tenant,
		Dest: m.dest, Key: m.key, LeftMs: left.Milliseconds(), BodySum: Sum(append([]byte(m.key+"\n"), m.body...))})
	return id
}

// settle does what a client does after it has tried, and tells whether and with which mark it hands the message in again.
func (c *Clients) settle(m *message, id, relay string, status int, after time.Duration, how string) (mark string, again bool) {
	switch status {
	case 0:
		c.Record(history.Event{At: c.Clock.Now(), Kind: history.ClientLeft, Relay: relay, ID: id, Detail: how})
		c.forget(id)
		return "again", how != leftEarly
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "", c.comeAgain(m, after)
	}
	return "", false
}

// forget drops an id whose end makes no difference any more.
func (c *Clients) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
}

// comeAgain waits as a client does that was refused, and tells whether it hands the message in again.
func (c *Clients) comeAgain(m *message, after time.Duration) bool {
	if m.again >= c.Draw.Retries {
		return false
	}
	m.again++
	wait := time.Duration(c.Draw.Backoff * float64(time.Second))
	if after > 0 && float64(m.client%100)/100 < c.Draw.Honour {
		wait = min(after, 3*time.Second)
	}
	if time.Since(m.begun)+wait >= m.class.Deadline {
		return false
	}
	time.Sleep(wait)
	return true
}

// Noticed has a message come again that a relay handed back.
func (c *Clients) Noticed(id, status string, after time.Duration) {
	c.mu.Lock()
	m := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if m == nil || status != "deferred" || c.stop.Load() {
		return
	}
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		if c.comeAgain(m, after) {
			c.hand(m, "")
		}
	}()
}
