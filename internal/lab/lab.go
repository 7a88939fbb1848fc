// Package lab plays a scenario: it emulates the platform, starts real relays and keepers as processes, sends them load,
// injects faults into links and processes, and judges the run by a single history of what every party observed.
package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/proc"
	"larchrouter/internal/lab/rules"
	"larchrouter/internal/lab/scenario"
)

// labRun is the state of one run of a scenario.
type labRun struct {
	scenario            *scenario.Scenario
	options             Options
	draw                *platform.Draw
	dir                 string
	addrs               addrBlock
	clock               *history.Clock
	recorder            *history.Recorder
	network             *link.Net
	partners            *platform.Partners
	discovery           *platform.Discovery
	loadBalancer        *platform.RelayPool
	clients             *platform.Clients
	strangers           *platform.Strangers
	relays              []*relay
	keepers             []*keeper
	fronts              *sharedFronts  // nil without keepers
	proposedSettings    map[string]any // the settings that the operators proposed last
	acceptedGenerations []uint64       // generations that the keepers reported to the operators as accepted
	stepCount           int
	sharedEndpointAddrs map[string]string // the address of each endpoint by name, if all relays reach it at the same one; else nil
	// relayCores are the cores that all relays share; nil for any.
	relayCores proc.Cores

	mu             sync.Mutex
	checker        *rules.Checker
	spans          []Span
	activeFaults   map[string]int // index in spans by the fault's name
	problems       []string
	rand           *rand.Rand
	recorderClosed bool
}

// record adds an event with the current time.
func (run *labRun) record(e history.Event) {
	e.At = run.clock.Now()
	run.add(e)
}

// add adds an event that has its time already. Events of parties that are still active after the end of the run are dropped.
func (run *labRun) add(e history.Event) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if !run.recorderClosed {
		run.recorder.Add(e)
	}
}

// deathNoticeDelay returns how long the platform's load balancer takes to notice that a relay has died.
func (run *labRun) deathNoticeDelay() time.Duration {
	return time.Duration(run.draw.Notice * float64(time.Second))
}

// Run plays a scenario. The error reports a failure of the lab itself; violations by the relays are in the result.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (result *Result, err error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	raiseDescriptorLimit()
	relayCores, restoreCores, err := splitCores(s.Fleet.SharedCores)
	if err != nil {
		return nil, err
	}
	defer restoreCores()
	run := &labRun{relayCores: relayCores, scenario: s, options: o, draw: platform.NewDraw(s), clock: history.NewClock(), loadBalancer: platform.NewRelayPool(),
		checker: rules.New(), activeFaults: map[string]int{}, rand: rand.New(rand.NewPCG(s.Seed, 0x4d))}
	if o.Draw != nil {
		run.draw = o.Draw
	}
	if run.dir, err = proc.NewRunDir(runDirParent(o.RunDirParent)); err != nil {
		return nil, err
	}
	if run.addrs, err = reserveBlock(); err != nil {
		return nil, err
	}
	defer run.addrs.lock.Close()
	if !o.KeepRunDir {
		defer os.RemoveAll(run.dir)
	}
	var historyFile io.WriteCloser
	if o.HistoryPath != "" {
		if historyFile, err = os.Create(o.HistoryPath); err != nil {
			return nil, err
		}
	}
	var checkerMu sync.Mutex
	run.recorder = history.NewRecorder(historyFile, func(e history.Event) {
		checkerMu.Lock()
		defer checkerMu.Unlock()
		run.checker.Observe(e)
	})
	run.add(history.Event{Kind: history.Run, Text: s.Name, Terms: run.draw.Terms(s)})
	run.network = link.NewNet(run.clock)
	env := platform.Env{Clock: run.clock, ClientIP: run.addrs.clientIP, Record: run.add, Net: run.network, Scenario: s, Draw: run.draw}
	run.partners = platform.NewPartners(env)
	run.discovery = platform.NewDiscovery(env, run.partners)
	run.clients = platform.NewClients(env, run.loadBalancer)
	run.discovery.OnNotice = run.clients.HandleNotice
	run.strangers = &platform.Strangers{Env: env, Relays: run.loadBalancer, Source: run.addrs.strangerIP()}
	if err := run.openSharedEndpoints(); err != nil {
		return nil, err
	}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	lateness := watchLateness(ctx)
	defer func() {
		var shutdowns sync.WaitGroup
		for _, r := range run.relays {
			shutdowns.Go(r.shutDown)
		}
		shutdowns.Wait()
		for _, k := range run.keepers {
			shutdowns.Go(k.shutDown)
		}
		shutdowns.Wait()
		run.clients.Close()
		run.network.Close()
		run.discovery.AwaitOutcomes()
		run.record(history.Event{Kind: history.End})
		run.mu.Lock()
		run.recorderClosed = true
		run.mu.Unlock()
		if closeErr := run.recorder.Close(); closeErr != nil && err == nil {
			err = fmt.Errorf("history: %w", closeErr)
		}
		if err == nil { // OnProgress may still be reading the checker
			checkerMu.Lock()
			defer checkerMu.Unlock()
			result = run.result(lateness())
		}
	}()
	if err := run.startKeepers(ctx); err != nil {
		return nil, err
	}
	if err := run.startRelays(ctx); err != nil {
		return nil, err
	}
	run.play(ctx, &checkerMu)
	run.checkAcceptedGenerations(ctx)
	return nil, nil
}

// startRelays creates all relays and starts them, 16 at a time.
func (run *labRun) startRelays(ctx context.Context) error {
	for i := range run.scenario.Fleet.Relays {
		r, err := newRelay(run, i)
		if err != nil {
			return err
		}
		run.relays = append(run.relays, r)
		run.loadBalancer.Add(r.name, r.listenAddr)
		for c := range run.scenario.Load.Clients {
			run.network.Link(fmt.Sprintf("client/%d", c), r.name)
		}
		for _, k := range run.keepers {
			run.network.Link(r.name, k.name)
		}
	}
	var g errgroup.Group
	g.SetLimit(16)
	for _, r := range run.relays {
		g.Go(func() error {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.start(ctx, false)
		})
	}
	return g.Wait()
}

// openSharedEndpoints opens, if the scenario says so, one address for each endpoint at which all relays reach it.
func (run *labRun) openSharedEndpoints() error {
	if !run.scenario.Platform.Shared {
		return nil
	}
	relays := map[string]string{}
	for i := range run.scenario.Fleet.Relays {
		relays[run.addrs.relayIP(i)] = fmt.Sprintf("relay/%d", i)
	}
	run.sharedEndpointAddrs = map[string]string{}
	for _, p := range run.scenario.Parties() {
		if p.Kind() != "endpoint" {
			continue
		}
		addr, err := run.partners.ServeAll(p.Name, run.addrs.sharedIP()+":0", func(ip string) string { return relays[ip] })
		if err != nil {
			return err
		}
		run.sharedEndpointAddrs[p.Name] = addr
	}
	return nil
}

// reportProblem records an action of the scenario that the lab could not carry out.
func (run *labRun) reportProblem(action string, err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.problems = append(run.problems, fmt.Sprintf("%.3f s: %s: %v", float64(run.clock.Now())/1e6, action, err))
}
