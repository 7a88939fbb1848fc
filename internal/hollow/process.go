package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet"
	"larchrouter/internal/settings"
)

// Share is the members of one process, and what they are told at the start.
type Share struct {
	Player    string          `json:"player"` // address that the process reports to
	Dir       string          `json:"dir"`    // of its members' folders
	Members   []int           `json:"members"`
	Fleet     int             `json:"fleet"` // members of all processes
	Keepers   []Keeper        `json:"keepers"`
	Distances [][]Distance    `json:"distances"`
	Settings  json.RawMessage `json:"settings"` // of each member's own file
	List      discovery.List  `json:"list"`
}

// What a process is told to do.
const (
	Begin = "begin" // processes of members
	Kill  = "kill"  // them, without a word to anybody
	Cut   = "cut"   // a region off from the others
	Mend  = "mend"
)

// Order is one of those.
type Order struct {
	Do      string `json:"do"`
	Members []int  `json:"members,omitempty"`
	Region  int    `json:"region,omitempty"`
}

// Report is what a process tells every so often.
type Report struct {
	Acts  []Act  `json:"acts,omitempty"`
	Bytes int64  `json:"bytes"` // that its members have read and written so far
	Error string `json:"error,omitempty"`
}

// reportEvery is how often; a report is one line.
const reportEvery = 100 * time.Millisecond

// process is the members of one process.
type process struct {
	wan     *WAN
	members map[int]*member

	mu     sync.Mutex
	report Report
}

// Region is where a member is: members are dealt out in turn.
func Region(member, regions int) int { return member % regions }

// Play has this process's members do what the player says until that ends the connection.
func Play(s Share) error {
	set, err := settings.Parse(s.Settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	list, err := json.Marshal(s.List)
	if err != nil {
		return err
	}
	p := &process{wan: NewWAN(s.Keepers, s.Distances), members: map[int]*member{}}
	defer p.wan.Net.Close()
	for _, n := range s.Members {
		m := &member{number: n, region: Region(n, len(s.Distances)), fleet: s.Fleet, wan: p.wan, dir: filepath.Join(s.Dir, fmt.Sprint(n)),
			file: fleet.File{Raw: s.Settings, Settings: set}, tell: p.tell}
		if err := json.Unmarshal(list, &m.list); err != nil { // each has its own copy, as relays have
			return err
		}
		if err := os.MkdirAll(m.dir, 0o755); err != nil {
			return err
		}
		p.members[n] = m
	}
	player, err := net.Dial("tcp4", s.Player)
	if err != nil {
		return err
	}
	defer player.Close()
	var both sync.WaitGroup
	defer both.Wait()
	over := make(chan struct{})
	defer close(over)
	both.Go(func() { p.reports(player, over) })
	for orders := json.NewDecoder(player); ; {
		var o Order
		if err := orders.Decode(&o); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return err
		}
		p.do(o)
	}
	for _, m := range p.members {
		both.Go(m.kill)
	}
	return nil
}

// do does what the player says.
func (p *process) do(o Order) {
	switch o.Do {
	case Cut, Mend:
		p.wan.Cut(o.Region, o.Do == Cut)
	case Begin, Kill:
		var all sync.WaitGroup
		defer all.Wait()
		for _, n := range o.Members {
			m := p.members[n]
			if m == nil {
				continue // another process's
			}
			all.Go(func() {
				if o.Do == Kill {
					m.kill()
				} else if err := m.start(); err != nil {
					p.failed(err)
				}
			})
		}
	}
}

// tell notes an act for the next report.
func (p *process) tell(a Act) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Acts = append(p.report.Acts, a)
}

// failed notes what the process itself could not do: the play then shows nothing.
func (p *process) failed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Error = err.Error()
}

// reports reports every so often.
func (p *process) reports(to io.Writer, over <-chan struct{}) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for out := json.NewEncoder(to); ; {
		select {
		case <-over:
			return
		case <-tick.C:
		}
		if err := p.wan.Net.Failure(); err != nil {
			p.failed(err)
		}
		p.mu.Lock()
		r := p.report
		p.report.Acts = nil
		p.mu.Unlock()
		r.Bytes = p.wan.Bytes()
		if out.Encode(r) != nil { // the player is gone
			return
		}
	}
}
