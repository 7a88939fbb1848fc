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
type ProcessConfig struct {
	ControllerAddr string          `json:"player"` // address that the process reports to
	Dir            string          `json:"dir"`    // of its members' folders
	Members        []int           `json:"members"`
	FleetSize      int             `json:"fleet"` // members of all processes
	Keepers        []Keeper        `json:"keepers"`
	Paths          [][]Path        `json:"distances"`
	Settings       json.RawMessage `json:"settings"` // of each member's own file
	List           discovery.List  `json:"list"`
}

// What a process is told to do.
const (
	StartMembers = "begin" // processes of members
	KillMembers  = "kill"  // them, without a word to anybody
	CutRegion    = "cut"   // a region off from the others
	RepairRegion = "mend"
)

// Order is one of those.
type Command struct {
	Action  string `json:"do"`
	Members []int  `json:"members,omitempty"`
	Region  int    `json:"region,omitempty"`
}

// Report is what a process tells every so often.
type Report struct {
	Transitions []Transition `json:"acts,omitempty"`
	Bytes       int64        `json:"bytes"` // that its members have read and written so far
	Error       string       `json:"error,omitempty"`
}

// reportEvery is how often; a report is one line.
const reportInterval = 100 * time.Millisecond

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
func RunMembers(config ProcessConfig) error {
	parsed, err := settings.Parse(config.Settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	encodedList, err := json.Marshal(config.List)
	if err != nil {
		return err
	}
	p := &process{wan: NewWAN(config.Keepers, config.Paths), members: map[int]*member{}}
	defer p.wan.Net.Close()
	for _, n := range config.Members {
		m := &member{number: n, region: Region(n, len(config.Paths)), fleetSize: config.FleetSize, wan: p.wan, dir: filepath.Join(config.Dir, fmt.Sprint(n)),
			file: fleet.File{Raw: config.Settings, Set: parsed}, report: p.recordTransition}
		if err := json.Unmarshal(encodedList, &m.list); err != nil { // each has its own copy, as relays have
			return err
		}
		if err := os.MkdirAll(m.dir, 0o755); err != nil {
			return err
		}
		p.members[n] = m
	}
	controller, err := net.Dial("tcp4", config.ControllerAddr)
	if err != nil {
		return err
	}
	defer controller.Close()
	var background sync.WaitGroup
	defer background.Wait()
	finished := make(chan struct{})
	defer close(finished)
	background.Go(func() { p.sendReports(controller, finished) })
	for commands := json.NewDecoder(controller); ; {
		var command Command
		if err := commands.Decode(&command); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return err
		}
		p.execute(command)
	}
	for _, m := range p.members {
		background.Go(m.kill)
	}
	return nil
}

// do does what the player says.
func (p *process) execute(command Command) {
	switch command.Action {
	case CutRegion, RepairRegion:
		p.wan.SetCut(command.Region, command.Action == CutRegion)
	case StartMembers, KillMembers:
		var tasks sync.WaitGroup
		defer tasks.Wait()
		for _, n := range command.Members {
			m := p.members[n]
			if m == nil {
				continue // another process's
			}
			tasks.Go(func() {
				if command.Action == KillMembers {
					m.kill()
				} else if err := m.start(); err != nil {
					p.recordError(err)
				}
			})
		}
	}
}

// tell notes an act for the next report.
func (p *process) recordTransition(a Transition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Transitions = append(p.report.Transitions, a)
}

// failed notes what the process itself could not do: the play then shows nothing.
func (p *process) recordError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Error = err.Error()
}

// reports reports every so often.
func (p *process) sendReports(controller io.Writer, finished <-chan struct{}) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for encoder := json.NewEncoder(controller); ; {
		select {
		case <-finished:
			return
		case <-tick.C:
		}
		if err := p.wan.Net.Trouble(); err != nil {
			p.recordError(err)
		}
		p.mu.Lock()
		report := p.report
		p.report.Transitions = nil
		p.mu.Unlock()
		report.Bytes = p.wan.Bytes()
		if encoder.Encode(report) != nil { // the player is gone
			return
		}
	}
}
