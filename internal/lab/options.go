package lab

import (
	"time"

	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/proc"
	"larchrouter/internal/lab/rules"
	"larchrouter/internal/lab/scenario"
)

// Options are the parameters of a run besides its scenario.
type Options struct {
	Root          string         // working directory of the commands
	RelayCommand  string         // shell command that starts one relay, as in the deploy file
	KeeperCommand string         // shell command that starts one keeper
	Env           []string       // additional environment variables of the processes
	RunDirParent  string         // directory in which the run's directory is created; empty for the default
	KeepRunDir    bool           // do not remove the run's directory, which contains logs and configurations
	HistoryPath   string         // file to which the history is written; empty for none
	Draw          *platform.Draw // used instead of the draw from the scenario's seed; nil for that draw
	OnProgress    func(Progress) // called every second; may be nil
}

// Row is the state of one relay in a Progress. State is up, changing (a process is being started or ended), down, paused, or
// silent (it does not report its metrics).
type Row struct {
	Name, State string
	Usage       proc.Usage
	Metrics     map[string]float64
}

// Progress is the state of a run at a time. Messages counts the messages sent by clients, InTime those served within their aim,
// Violations the broken rules so far.
type Progress struct {
	Elapsed    time.Duration
	Duration   time.Duration
	Rows       []Row
	Faults     []string // active faults
	Messages   int
	InTime     int
	Violations int
}

// Failure is an expectation that was not met.
type Failure struct {
	Expectation string `json:"expectation"`
	Text        string `json:"text"`
}

// Result is the result of a run.
type Result struct {
	Scenario      *scenario.Scenario `json:"scenario"`
	Draw          *platform.Draw     `json:"draw"`
	Report        *rules.Report      `json:"report"`
	Failures      []Failure          `json:"failures,omitempty"`
	VoidReason    string             `json:"void,omitempty"` // why the run is void, so that it proves nothing; empty if it is valid
	Faults        []Span             `json:"faults"`
	Lateness      Lateness           `json:"lateness_ms"`
	LabCPUSeconds float64            `json:"lab_cpu_s"`
	RunDir        string             `json:"folder,omitempty"`
	Problems      []string           `json:"trouble,omitempty"` // actions of the scenario that the lab could not carry out
}

// Lateness is by how many milliseconds the lab's own timers were late, which is the error of its timestamps.
type Lateness struct{ P50, P99, Max float64 }

// Span is the time during which a fault was active, in seconds since the run began. Text describes the fault.
type Span struct {
	From, To float64
	Text     string
}

// maxLateness is the 99th percentile of the lateness of the lab's timers above which a run is void, because the machine is too
// busy for the scenario.
const maxLateness = 50 * time.Millisecond

// maxLoadLag is the lag of the clients behind their schedule above which the load was not the scenario's, so that the run is void.
const maxLoadLag = 500 * time.Millisecond
