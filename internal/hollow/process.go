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

// ProcessConfig configures one process of members.
type ProcessConfig struct {
	ControllerAddr string          `json:"player"` // address of the controller, which the process connects to
	Dir            string          `json:"dir"`    // parent of its members' directories
	Members        []int           `json:"members"`
	FleetSize      int             `json:"fleet"` // number of members in all processes together
	Keepers        []Keeper        `json:"keepers"`
	Paths          [][]Path        `json:"distances"`
	Settings       json.RawMessage `json:"settings"` // content of each member's own settings file
	List           discovery.List  `json:"list"`
}

// Actions of a Command.
const (
	StartMembers = "begin" // start the simulated processes of members
	KillMembers  = "kill"  // kill members without leaving their sessions
	CutRegion    = "cut"   // cut a region off from the others
	RepairRegion = "mend"  // end the cut of a region
)

// Command tells a process to perform an action on members or a region.
type Command struct {
	Action  string `json:"do"`
	Members []int  `json:"members,omitempty"`
	Region  int    `json:"region,omitempty"`
}

// Report is what a process sends to the controller at each reportInterval.
type Report struct {
	Transitions []Transition `json:"acts,omitempty"`
	Bytes       int64        `json:"bytes"`           // read and written by its members so far
	Error       string       `json:"error,omitempty"` // latest failure of the process itself
}

// reportInterval is the time between two reports of a process; each report is one line of JSON.
const reportInterval = 100 * time.Millisecond

// process runs the members of one operating-system process.
type process struct {
	wan     *WAN
	members map[int]*member

	mu     sync.Mutex
	report Report
}

// Region returns the region of a member: members are assigned to regions in turn.
func Region(member, regions int) int { return member % regions }

// RunMembers runs this process's members by the controller's commands until the controller closes the connection.
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
			file: fleet.File{Raw: config.Settings, Settings: parsed}, report: p.recordTransition}
		if err := json.Unmarshal(encodedList, &m.list); err != nil { // each member has its own copy, as relays do
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

// execute performs a command of the controller; it returns when all of its members have been started or killed.
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
				continue // a member of another process
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

// recordTransition adds a transition to the next report.
func (p *process) recordTransition(a Transition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Transitions = append(p.report.Transitions, a)
}

// recordError reports a failure of the process itself, which makes the whole run invalid.
func (p *process) recordError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Error = err.Error()
}

// sendReports sends a report at each reportInterval until finished is closed or the connection fails.
func (p *process) sendReports(controller io.Writer, finished <-chan struct{}) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for encoder := json.NewEncoder(controller); ; {
		select {
		case <-finished:
			return
		case <-tick.C:
		}
		if err := p.wan.Net.Failure(); err != nil {
			p.recordError(err)
		}
		p.mu.Lock()
		report := p.report
		p.report.Transitions = nil
		p.mu.Unlock()
		report.Bytes = p.wan.Bytes()
		if encoder.Encode(report) != nil { // the controller has closed the connection
			return
		}
	}
}
