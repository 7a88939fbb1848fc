package lab

import (
	"time"

	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/proc"
	"larchrouter/internal/lab/rules"
	"larchrouter/internal/lab/scenario"
)

// What a run is given, and what it gives.

// Options are what a run needs beside its scenario.
type Options struct {
	Root    string         // where the command is started
	Command string         // that starts one relay, as the deploy file has it
	Keeper  string         // that starts one keeper
	Env     []string       // further variables for it
	Folder  string         // where the run's folder is made; empty for the system's
	Keep    bool           // the run's folder, with logs and configurations
	History string         // file for the history; empty for none
	Draw    *platform.Draw // in place of what the seed would draw; nil for that
	Each    func(Progress) // told every second; nil for nobody
}

// Row is what is known of a relay at a time.
type Row struct {
	Name, State string
	Use         proc.Usage
	Figures     map[string]float64
}

// Progress is how a run stands.
type Progress struct {
	At     time.Duration
	Of     time.Duration
	Rows   []Row
	Faults []string // that are on
	Asked  int
	InTime int
	Broken int
}

// Failure is an expectation that did not hold.
type Failure struct {
	Expectation string `json:"expectation"`
	Text        string `json:"text"`
}

// Result is a run's.
type Result struct {
	Scenario *scenario.Scenario `json:"scenario"`
	Draw     *platform.Draw     `json:"draw"`
	Report   *rules.Report      `json:"report"`
	Failures []Failure          `json:"failures,omitempty"`
	Void     string             `json:"void,omitempty"` // why the run shows nothing; empty if it does
	Faults   []Span             `json:"faults"`
	Lateness Lateness           `json:"lateness_ms"`
	LabCPU   float64            `json:"lab_cpu_s"`
	Folder   string             `json:"folder,omitempty"`
	Trouble  []string           `json:"trouble,omitempty"` // what the lab could not do
}

// Lateness is by how much the lab's own timers came late, in milliseconds: the error of its stamps.
type Lateness struct{ P50, P99, Max float64 }

// Span is when a fault was on, in seconds.
type Span struct {
	From, To float64
	Text     string
}

// tooLate is the lateness of the lab's timers, 99 of 100, above which a run shows nothing of the relays: the
// machine is too busy for what is asked of it.
const tooLate = 50 * time.Millisecond

// tooFarBehind is the lag of the load above which it was not the load that was asked for.
const tooFarBehind = 500 * time.Millisecond
