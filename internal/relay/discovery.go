package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/choice"
)

// server is one entry of discovery's list.
type server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// list is an answer of discovery.
type list struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// host is what the relay needs to call an endpoint.
type host struct {
	entry      server // as last listed
	id, addr   string
	dest, zone int
	perCall    int
	listed     choice.State
	closed     atomic.Bool // drains, is gone or out by hand: nothing new may go there
	waiting    *waiting    // of its destination; its own where routes are apart
}

// waiting is until when nothing may go to a destination, by the relay's clock. The decisions hear of a wait
// with the end of the call that told it; calls that still wait for their connection by then look here.
type waiting struct{ until atomic.Int64 }

// heed takes in a wait that ends at a time.
func (w *waiting) heed(until time.Duration) {
	for {
		old := w.until.Load()
		if int64(until) <= old || w.until.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// left is how much of the wait there is.
func (w *waiting) left(now time.Duration) time.Duration {
	return max(0, time.Duration(w.until.Load())-now)
}

const (
	watchFor   = 5 * time.Second // a silent agent is noticed not long after
	watchSlack = time.Second
	answerIn   = 3 * time.Second // for a whole list, which waits for its turn
	firstPause = 50 * time.Millisecond
	longPause  = time.Second
)

// pacer spaces this relay's calls for the list. Discovery serves all relays in turn, and a change, an
// outage or a mass restart is one for all of them: asking again at once, or after equal pauses, they come
// in step, and what each failed call costs keeps discovery overbooked. Pauses are by chance, and as much
// longer as the fleet is larger, so that what all ask together does not grow with it.
type pacer struct {
	rand  *rand.Rand
	level int // doublings: one more with each failed call, one less with each answer
}

// share is the time in which one call of this relay is its even part of what the fleet asks.
func share(fleet int) time.Duration { return max(firstPause, 2*firstPause*time.Duration(fleet-2)) }

// polls tells whether a relay asks for the whole list now and then, and watches no changes. A watch has to
// be renewed within 200 ms: a change in that time counts as told, whether the next call comes or not. Where
// that is far less than a relay's share, all renewals at once would overbook discovery with each change.
func polls(fleet int) bool { return share(fleet) > longPause }

// first is the pause before the first call of a process that has a list to work from.
func (p *pacer) first(set *standing) time.Duration {
	return time.Duration(p.rand.Float64() * float64(min(share(set.Fleet), max(longPause, set.AskWithin))))
}

// next is the time from one call to the next. The settings bound it: a relay that has not asked for so long
// counts as told of what it does not know. After a failed call they allow four times that.
func (p *pacer) next(failed bool, set *standing) time.Duration {
	mean := share(set.Fleet)
	most := max(longPause, min(mean*(longPause/firstPause), 3*set.AskWithin/2))
	if !failed {
		p.level = max(0, p.level-1)
		most = max(longPause, 3*set.AskWithin/4)
	}
	mean = min(mean<<p.level, most)
	if failed && mean < most {
		p.level++
	}
	return time.Duration((0.75 + p.rand.Float64()/2) * float64(mean))
}

// platformAt is where discovery and the taker of notices are. It may change while the relay runs.
type platformAt struct {
	mu    sync.Mutex
	addr  string
	valid context.Context // ends when the address changes
	end   context.CancelFunc
}

func newPlatformAt(addr string) *platformAt {
	p := &platformAt{}
	p.set(addr)
	return p
}

// get returns the address, and a context that ends when it no longer holds.
func (p *platformAt) get() (addr string, valid context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, p.valid
}

func (p *platformAt) set(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end != nil {
		p.end()
	}
	p.addr = addr
	p.valid, p.end = context.WithCancel(context.Background())
}

// follow keeps up with discovery until the context ends. The list counts as told while the next call
// comes within 200 ms of the last answer, so a watch is renewed at once.
func (r *Relay) follow(ctx context.Context, version int64) {
	p := &pacer{rand: rand.New(rand.NewPCG(r.conf.Seed, 1))}
	full := true  // the known list may be old
	held := false // version is that of a list which discovery itself told
	addr, valid := r.discovery.get()
	var pause time.Duration
	if r.conf.Known.Full {
		pause = p.first(r.set.Load())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-valid.Done():
		case <-time.After(pause):
		}
		begin := time.Now()
		var l list
		var err error
		if valid.Err() == nil {
			l, err = r.ask(ctx, valid, addr, version, full)
		}
		if ctx.Err() != nil {
			return
		}
		if valid.Err() != nil { // what the old address said last may be older than what the new one says
			addr, valid = r.discovery.get()
			full, held, pause = true, false, p.first(r.set.Load())
			continue
		}
		set := r.set.Load()
		pause = p.next(err != nil, set)
		if err != nil {
			slog.Warn("discovery does not answer", "err", err)
			continue
		}
		news := len(l.Servers) > 0 && !l.Full || l.Full && !(held && l.Version == version)
		// A version that runs backwards is that of another history: changes cannot be built on it.
		if full = !l.Full && l.Version < version; full {
			version, held = 0, false
		} else {
			version, held = l.Version, held || l.Full
			if news {
				r.post(func() { r.listed(l) })
			}
		}
		switch took := time.Since(begin); {
		case polls(set.Fleet):
			full, pause = true, pause-took
		case news || took >= firstPause: // else asking at once would go round and round
			pause = 0
		}
	}
}

// check tells what makes a list unfit to act on. Discovery's word ends calls and closes
// endpoints, so what is malformed leaves the list held as it is.
func (l *list) check() error {
	if l.Full && l.Servers == nil {
		return errors.New("a whole list without servers")
	}
	for i, s := range l.Servers {
		if s.ID == "" || s.State != "left" && s.Addr == "" {
			return fmt.Errorf("servers[%d]: id is %q and addr %q", i, s.ID, s.Addr)
		}
		if s.State != "active" && s.State != "leaving" && s.State != "left" {
			return fmt.Errorf("servers[%d]: %q is no state", i, s.State)
		}
	}
	return nil
}

// ask makes one call, which ends at the latest when the address is no longer valid.
func (r *Relay) ask(ctx, valid context.Context, addr string, version int64, full bool) (l list, err error) {
	url := "http://" + addr + "/discovery/hosts"
	limit := answerIn
	if !full {
		url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", url, version, watchFor.Milliseconds())
		limit = watchFor + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(valid, cancel)()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := r.platform.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, 4<<20)).Decode(&l); err != nil {
		return l, err
	}
	return l, l.check()
}

// listed takes in news of the list: at once for the calls that have not gone yet, and for the decisions.
func (r *Relay) listed(l list) {
	ev, set := choice.Listing{Whole: l.Full}, r.set.Load()
	r.version = l.Version
	old := r.hosts
	if l.Full {
		r.hosts = map[string]*host{}
	}
	for _, s := range l.Servers {
		h := choice.Host{Addr: s.ID, Dest: s.Cell, Kind: slices.Index(set.KindNames, s.Kind),
			Zone: r.zone(s.Zone), Rate: s.Weight}
		switch s.State {
		case "active":
			h.State = choice.Ready
		case "leaving":
			h.State = choice.Draining
		}
		ev.Hosts = append(ev.Hosts, h)
		if was := old[s.ID]; was != nil {
			was.closed.Store(h.State != choice.Ready || r.isOut(s.ID))
		}
		if h.State == choice.Gone {
			delete(r.hosts, s.ID)
			continue
		}
		n := &host{id: s.ID, addr: s.Addr, dest: s.Cell, zone: h.Zone, perCall: 1}
		if was := old[s.ID]; was != nil && was.addr == n.addr && was.dest == n.dest {
			n = was // calls that are out hold on to it
		} else if was != nil {
			was.closed.Store(true)
		}
		if h.Kind >= 0 {
			n.perCall = set.Kinds[h.Kind].PerCall
		}
		n.closed.Store(h.State != choice.Ready || r.isOut(s.ID))
		n.entry, n.listed = s, h.State
		r.hosts[s.ID] = n
		if r.dests[s.Cell] == nil {
			r.dests[s.Cell] = &waiting{}
		}
		if n.waiting == nil {
			n.waiting = r.dests[s.Cell]
			if h.Kind >= 0 && set.Kinds[h.Kind].Apart {
				n.waiting = &waiting{}
			}
		}
	}
	if l.Full { // only now: one that stays must not look closed for a moment to a call about to go
		for id, h := range old {
			if r.hosts[id] != h {
				h.closed.Store(true)
			}
		}
	}
	r.events = append(r.events, ev)
}

// zone is the number of a zone; one that the settings do not name gets the next.
// A change of settings leaves the numbers as they are.
func (r *Relay) zone(name string) int {
	i := slices.Index(r.zones, name)
	if i < 0 {
		i = len(r.zones)
		r.zones = append(r.zones, name)
	}
	return i
}
