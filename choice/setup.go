package choice

// What a Chooser starts from, how it comes to know parties, and how it tells what it wants done. No decisions.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// New returns a Chooser for one relay. Pauses are drawn from the seed.
func New(s Settings, seed uint64) (*Chooser, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("choice: settings: %w", err)
	}
	c := &Chooser{index: newIndex(), settings: s, messages: map[string]*message{}, dests: map[int]*dest{},
		hosts: map[string]*host{}, keyQueues: map[string]*keyQueue{},
		disabled: map[string]bool{}, enabledAt: map[string]time.Duration{},
		rand: rand.New(rand.NewPCG(seed, 0)), pooledLatencies: latencyTable{weight: 1}}
	if !s.MustSubscribe {
		c.subscribeAt = -1
	}
	c.applySettings(s)
	return c, nil
}

func (c *Chooser) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Chooser) log(format string, args ...any) { c.emit(Log{fmt.Sprintf(format, args...)}) }

// LastLook is how long before its end a waiting message gets its final answer at the latest; a wake-up comes
// at least as often as its smaller part. It changes only by a Step with Reconfigured, and binds what waits then, too.
func (c *Chooser) FinalAnswerMargin() time.Duration {
	return finalAnswerTicks*c.settings.Tick + c.checkInterval
}

// table holds the latencies of one destination. Old samples fade: each new one weighs a
// little more than the one before it.
type latencyTable struct {
	width       time.Duration
	weight      float64
	counts      []float64     // N_i; made with the first sample
	sums        []float64     // N_i times M_i, seconds
	overBound   float64       // N_tau
	samples     float64       // samples, not faded
	bestTimeout time.Duration // least-E edge, 0 for none
	p98         time.Duration // edge below which 98% of the answers lie, 0 if unknown
	outdated    bool
}

// dest returns what is known of a destination, from the first time that one is heard of.
func (c *Chooser) destination(id int) *dest {
	d := c.dests[id]
	if d == nil {
		c.destCount++
		d = &dest{id: id, kind: Kind{PerCall: 1}, retrySuccess: &c.retrySuccess[0], knownNumber: c.destCount,
			waiting: indexedSlice[message]{index: func(m *message) *int { return &m.sliceIndex }}}
		d.latencies = latencyTable{width: c.maxTimeout / buckets, weight: 1}
		c.dests[id] = d
		c.destOrder.add(d)
	}
	return d
}

// host returns what is known of an endpoint, from the first time that one is heard of.
func (c *Chooser) addHost(n Host) *host {
	d := c.destination(n.Dest)
	c.markChanged(d)
	h := &host{dest: d, preference: c.rand.Float64()}
	c.hosts[n.Addr], d.hosts = h, append(d.hosts, h)
	if n.Kind >= 0 && n.Kind < len(c.settings.Kinds) {
		d.kind, d.retrySuccess = c.settings.Kinds[n.Kind], &c.retrySuccess[n.Kind]
	}
	if d.kind.SeparateRoutes || len(d.units) == 0 {
		u := &unit{name: n.Addr, createdAt: c.now - time.Second, lastServed: c.now - time.Second}
		d.units = append(d.units, u)
	}
	h.unit = d.units[len(d.units)-1]
	return h
}

// take has an event go to the part that it is for.
func (c *Chooser) handle(e Event) {
	switch e := e.(type) {
	case Arrival:
		c.accept(e)
	case Restored:
		c.restoreMessage(e)
	case KnownOutage:
		c.restoreOutage(e)
	case ManualChange:
		c.manualChange(e)
	case RetryAfter:
		if h := c.hosts[e.Host]; h != nil {
			h.unit.retryAfter = max(h.unit.retryAfter, c.now+e.Remaining)
		}
	case Snapshot:
		c.restoreSnapshot(e)
	case Reconfigured:
		c.reconfigure(e.Settings)
	case Result:
		c.handleResult(e)
	case Withdrawn:
		if m := c.messages[e.ID]; m != nil && !m.ended {
			c.endMessage(m)
		}
	case ListUpdate:
		c.updateList(e)
	case ListExpiry:
		c.listExpired = e.Expired
		c.markAllChanged()
	}
}

// rename has an outage remembered under an endpoint that is still listed. A restarted relay knows only
// those, and a destination may have all of its endpoints replaced while it is out or cold.
func (c *Chooser) renameUnit(u *unit, d *dest) {
	if h := c.hosts[u.name]; h != nil && h.State != Removed {
		return
	}
	i := slices.IndexFunc(d.hosts, func(h *host) bool { return h.unit == u && h.State == Ready })
	if i < 0 {
		return
	}
	old := u.name
	if u.name = d.hosts[i].Addr; u.state != healthy {
		c.emit(Health{u.name, true, u.baseRate})
		c.emit(Health{old, false, 0})
	}
}
