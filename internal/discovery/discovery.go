// Package discovery follows the list of endpoints: what it looks like, where it comes from, and how a relay of a
// large fleet asks for it without a crowd.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Source tells a relay of the list of endpoints.
type Source interface {
	// Follow passes on each list, whole or changed, in the order of versions, until the context ends.
	Follow(ctx context.Context, tell func(List))
}

// Server is one entry of the list.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// List is an answer of discovery: the whole list, or what has changed.
type List struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Fleet is what the settings say of how often a relay may ask.
type Fleet struct {
	Size      int           // relays
	AskWithin time.Duration // one that has not asked for so long counts as told of what it does not know
}

const (
	watchFor   = 5 * time.Second // a silent agent is noticed not long after
	watchSlack = time.Second
	answerIn   = 3 * time.Second // for a whole list, which waits for its turn
	// FirstPause and LongPause bound the pauses after a call to the platform that failed.
	FirstPause = 50 * time.Millisecond
	LongPause  = time.Second
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
func share(fleet int) time.Duration { return max(FirstPause, 2*FirstPause*time.Duration(fleet-2)) }

// polls tells whether a relay asks for the whole list now and then, and watches no changes. A watch has to
// be renewed within 200 ms: a change in that time counts as told, whether the next call comes or not. Where
// that is far less than a relay's share, all renewals at once would overbook discovery with each change.
func polls(fleet int) bool { return share(fleet) > LongPause }

// first is the pause before the first call of a process that has a list to work from.
func (p *pacer) first(f Fleet) time.Duration {
	return time.Duration(p.rand.Float64() * float64(min(share(f.Size), max(LongPause, f.AskWithin))))
}

// next is the time from one call to the next. The settings bound it: a relay that has not asked for so long
// counts as told of what it does not know. After a failed call they allow four times that.
func (p *pacer) next(failed bool, f Fleet) time.Duration {
	mean := share(f.Size)
	most := max(LongPause, min(mean*(LongPause/FirstPause), 3*f.AskWithin/2))
	if !failed {
		p.level = max(0, p.level-1)
		most = max(LongPause, 3*f.AskWithin/4)
	}
	mean = min(mean<<p.level, most)
	if failed && mean < most {
		p.level++
	}
	return time.Duration((0.75 + p.rand.Float64()/2) * float64(mean))
}

// At is where discovery and the taker of notices are. It may change while the relay runs.
type At struct {
	mu    sync.Mutex
	addr  string
	valid context.Context // ends when the address changes
	end   context.CancelFunc
}

// NewAt is an address that may change.
func NewAt(addr string) *At {
	p := &At{}
	p.Set(addr)
	return p
}

// Get returns the address, and a context that ends when it no longer holds.
func (p *At) Get() (addr string, valid context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, p.valid
}

// Set changes the address; what the old one is asked ends.
func (p *At) Set(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end != nil {
		p.end()
	}
	p.addr = addr
	p.valid, p.end = context.WithCancel(context.Background())
}

// Platform is the platform's discovery service as a source.
type Platform struct {
	Client  *http.Client
	At      *At
	Fleet   func() Fleet // asked anew before each call
	Seed    uint64
	Known   bool  // the relay has a whole list to work from
	Version int64 // of that list
}

// Follow keeps up with discovery until the context ends. The list counts as told while the next call
// comes within 200 ms of the last answer, so a watch is renewed at once.
func (s *Platform) Follow(ctx context.Context, tell func(List)) {
	p := &pacer{rand: rand.New(rand.NewPCG(s.Seed, 1))}
	version := s.Version
	full := true  // the known list may be old
	held := false // version is that of a list which discovery itself told
	addr, valid := s.At.Get()
	var pause time.Duration
	if s.Known {
		pause = p.first(s.Fleet())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-valid.Done():
		case <-time.After(pause):
		}
		begin := time.Now()
		var l List
		var err error
		if valid.Err() == nil {
			l, err = s.ask(ctx, valid, addr, version, full)
		}
		if ctx.Err() != nil {
			return
		}
		if valid.Err() != nil { // what the old address said last may be older than what the new one says
			addr, valid = s.At.Get()
			full, held, pause = true, false, p.first(s.Fleet())
			continue
		}
		fleet := s.Fleet()
		pause = p.next(err != nil, fleet)
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
				tell(l)
			}
		}
		switch took := time.Since(begin); {
		case polls(fleet.Size):
			full, pause = true, pause-took
		case news || took >= FirstPause: // else asking at once would go round and round
			pause = 0
		}
	}
}

// Check tells what makes a list unfit to act on. Discovery's word ends calls and closes
// endpoints, so what is malformed leaves the list held as it is.
func (l *List) Check() error {
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
func (s *Platform) ask(ctx, valid context.Context, addr string, version int64, full bool) (l List, err error) {
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
	resp, err := s.Client.Do(req)
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
	return l, l.Check()
}
