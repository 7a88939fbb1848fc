// Package lab plays a scenario: it emulates the platform, starts real relays as processes, loads them, puts
// faults on links and processes, and judges by one history of what every party saw.
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

// world is a run.
type world struct {
	scenario  *scenario.Scenario
	options   Options
	draw      *platform.Draw
	dir       string
	block     block
	clock     *history.Clock
	recorder  *history.Recorder
	net       *link.Net
	partners  *platform.Partners
	discovery *platform.Discovery
	front     *platform.RelayPool
	clients   *platform.Clients
	strangers *platform.Strangers
	relays    []*relay
	keepers   []*keeper
	parties   *parties       // that share fronts; nil without keepers
	settings  map[string]any // that the operators asked the keepers for last
	accepted  []uint64       // generations that they were told to be accepted
	steps     int
	shared    map[string]string // the address of each endpoint, where it has one for all relays
	// relayCores are those that all relays share; nil for any.
	relayCores proc.Cores

	mu      sync.Mutex
	checker *rules.Checker
	spans   []Span
	on      map[string]int // faults, by their place in spans
	trouble []string
	rand    *rand.Rand
	closed  bool
}

// record adds an event, which is stamped now.
func (w *world) record(e history.Event) {
	e.T = w.clock.Now()
	w.add(e)
}

// add adds an event that has its stamp. Parties may still be at work as the run ends.
func (w *world) add(e history.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.recorder.Add(e)
	}
}

// noticed draws how long the front takes to notice a dead relay.
func (w *world) noticed() time.Duration {
	return time.Duration(w.draw.Notice * float64(time.Second))
}

// Run plays a scenario. An error is the lab's own: what the relays do wrong is in the result.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (result *Result, err error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	raiseLimits()
	relayCores, giveBack, err := divideCores(s.Fleet.SharedCores)
	if err != nil {
		return nil, err
	}
	defer giveBack()
	w := &world{relayCores: relayCores, scenario: s, options: o, draw: platform.NewDraw(s), clock: history.NewClock(), front: platform.NewRelayPool(),
		checker: rules.New(), on: map[string]int{}, rand: rand.New(rand.NewPCG(s.Seed, 0x4d))}
	if o.Draw != nil {
		w.draw = o.Draw
	}
	if w.dir, err = proc.Folder(folderIn(o.Folder)); err != nil {
		return nil, err
	}
	if w.block, err = takeBlock(); err != nil {
		return nil, err
	}
	defer w.block.lock.Close()
	if !o.Keep {
		defer os.RemoveAll(w.dir)
	}
	var out io.WriteCloser
	if o.History != "" {
		if out, err = os.Create(o.History); err != nil {
			return nil, err
		}
	}
	var checks sync.Mutex
	w.recorder = history.NewRecorder(out, func(e history.Event) {
		checks.Lock()
		defer checks.Unlock()
		w.checker.See(e)
	})
	w.add(history.Event{Kind: history.Run, Text: s.Name, Terms: w.draw.Terms(s)})
	w.net = link.NewNet(w.clock)
	env := platform.Env{Clock: w.clock, ClientIP: w.block.clientIP, Record: w.add, Net: w.net, Scenario: s, Draw: w.draw}
	w.partners = platform.NewPartners(env)
	w.discovery = platform.NewDiscovery(env, w.partners)
	w.clients = platform.NewClients(env, w.front)
	w.discovery.OnNotice = w.clients.HandleNotice
	w.strangers = &platform.Strangers{Env: env, Relays: w.front, Source: w.block.strangerIP()}
	if err := w.openShared(); err != nil {
		return nil, err
	}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	late := watchLateness(ctx)
	defer func() {
		var ends sync.WaitGroup
		for _, r := range w.relays {
			ends.Go(r.end)
		}
		ends.Wait()
		for _, k := range w.keepers {
			ends.Go(k.end)
		}
		ends.Wait()
		w.clients.Close()
		w.net.Close()
		w.discovery.AwaitOutcomes()
		w.record(history.Event{Kind: history.End})
		w.mu.Lock()
		w.closed = true
		w.mu.Unlock()
		if cerr := w.recorder.Close(); cerr != nil && err == nil {
			err = fmt.Errorf("history: %w", cerr)
		}
		if err == nil { // the table of a run that is watched is still drawn
			checks.Lock()
			defer checks.Unlock()
			result = w.result(late())
		}
	}()
	if err := w.startKeepers(ctx); err != nil {
		return nil, err
	}
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	w.play(ctx, &checks)
	w.lookForAccepted(ctx)
	return nil, nil
}

// start starts all relays, several at once.
func (w *world) start(ctx context.Context) error {
	for i := range w.scenario.Fleet.Relays {
		r, err := newRelay(w, i)
		if err != nil {
			return err
		}
		w.relays = append(w.relays, r)
		w.front.Add(r.name, r.listen)
		for c := range w.scenario.Load.Clients {
			w.net.Link(fmt.Sprintf("client/%d", c), r.name)
		}
		for _, k := range w.keepers {
			w.net.Link(r.name, k.name)
		}
	}
	var g errgroup.Group
	g.SetLimit(16)
	for _, r := range w.relays {
		g.Go(func() error {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.begin(ctx, false)
		})
	}
	return g.Wait()
}

// openShared gives each endpoint the one address at which all relays reach it, if the scenario says so.
func (w *world) openShared() error {
	if !w.scenario.Platform.Shared {
		return nil
	}
	relays := map[string]string{}
	for i := range w.scenario.Fleet.Relays {
		relays[w.block.relayIP(i)] = fmt.Sprintf("relay/%d", i)
	}
	w.shared = map[string]string{}
	for _, p := range w.scenario.Parties() {
		if p.Kind() != "endpoint" {
			continue
		}
		addr, err := w.partners.ServeAll(p.Name, w.block.sharedIP()+":0", func(ip string) string { return relays[ip] })
		if err != nil {
			return err
		}
		w.shared[p.Name] = addr
	}
	return nil
}

// cannot notes what the lab could not do.
func (w *world) cannot(what string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trouble = append(w.trouble, fmt.Sprintf("%.3f s: %s: %v", float64(w.clock.Now())/1e6, what, err))
}
