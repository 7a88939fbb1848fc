package choice

// This file creates a Chooser and its records of destinations and endpoints, dispatches events, and
// collects actions. It makes no decisions.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// New returns a Chooser for one relay, or an error for settings that are out of range. Random
// delays are drawn from the seed.
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

// emit adds an action to those that the current Step returns.
func (c *Chooser) emit(a Action) { c.actions = append(c.actions, a) }

// log emits a line for the operators.
func (c *Chooser) log(format string, args ...any) { c.emit(Log{fmt.Sprintf(format, args...)}) }

// FinalAnswerMargin returns how long before its deadline a waiting message gets its final answer at
// the latest. It includes checkInterval, after which a wake-up is asked for while messages are
// pending. It changes only by a Step with Reconfigured, which changes it for waiting messages too.
func (c *Chooser) FinalAnswerMargin() time.Duration {
	return finalAnswerTicks*c.settings.Tick + c.checkInterval
}

// latencyTable is a histogram of the latencies of one destination. Old samples fade: each new one
// weighs a little more than the one before it.
type latencyTable struct {
	width       time.Duration // of a bucket
	weight      float64       // of the next sample
	counts      []float64     // weighted samples by bucket; made with the first sample
	sums        []float64     // weighted sum of the samples by bucket, in seconds
	overBound   float64       // weighted number of attempts with no answer within the last bucket
	samples     float64       // number of samples, unweighted
	bestTimeout time.Duration // edge of a bucket, see refresh; 0 for none
	p98         time.Duration // edge of the bucket below which 98% of the answers lie; 0 if unknown
	outdated    bool          // samples were added since refresh
}

// destination returns the record of a destination, creating it at first use.
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

// addHost creates the record of an endpoint that is listed for the first time.
func (c *Chooser) addHost(entry Host) *host {
	d := c.destination(entry.Dest)
	c.markChanged(d)
	h := &host{dest: d, preference: c.rand.Float64()}
	c.hosts[entry.Addr], d.hosts = h, append(d.hosts, h)
	if entry.Kind >= 0 && entry.Kind < len(c.settings.Kinds) {
		d.kind, d.retrySuccess = c.settings.Kinds[entry.Kind], &c.retrySuccess[entry.Kind]
	}
	if d.kind.SeparateRoutes || len(d.units) == 0 {
		u := &unit{name: entry.Addr, createdAt: c.now - time.Second, lastServed: c.now - time.Second,
			wellUntil: c.now - time.Second}
		d.units = append(d.units, u)
	}
	h.unit = d.units[len(d.units)-1]
	return h
}

// handle passes an event to its handler.
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

// renameUnit has an outage recorded under an endpoint that is still listed. A restarted relay knows
// only listed endpoints, and a destination may have all of its endpoints replaced during an outage
// or while it is cold.
func (c *Chooser) renameUnit(u *unit, d *dest) {
	if h := c.hosts[u.name]; h != nil && h.State != Removed {
		return
	}
	i := slices.IndexFunc(d.hosts, func(h *host) bool { return h.unit == u && h.State == Ready })
	if i < 0 {
		return
	}
	old := u.name
	if u.name = d.hosts[i].Addr; u.state != Healthy {
		c.emit(Health{u.name, true, u.baseRate})
		c.emit(Health{old, false, 0})
	}
}
