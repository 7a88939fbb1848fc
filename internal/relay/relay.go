// Package relay is the real relay round package choice: it keeps the time, the
// sockets and the durable record, and decides nothing about hosts, time-outs
// or further tries.
//
// One goroutine, the loop, owns the Chooser and all state. Everything else
// posts functions to it; it runs those that have come in as one batch, lets
// the Chooser decide once, writes the journal, and carries the actions out.
package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
	"larchrouter/internal/listen"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

const (
	batchMost = 256
	maxOwed   = 8192
)

// Relay is one relay. The parts that it embeds, and the fields below the channels, belong to the loop unless they say
// otherwise.
type Relay struct {
	conf     Config
	set      atomic.Pointer[standing]
	began    time.Time
	server   *http.Server
	listener *peers
	tcp      *net.TCPListener // under listener
	platform *http.Client     // for discovery
	// platformAt is where discovery and the taker of notices are.
	platformAt *discovery.Address
	list       discovery.Source // of the endpoints
	calls      context.Context
	endCalls   context.CancelCauseFunc
	inbox      chan func()
	quit       chan struct{} // the loop is to end
	halted     chan struct{} // and has
	once       sync.Once
	admin      *http.Server // of the second address; nil where there is none
	adminPeers *peers
	adminAt    net.Addr
	ready      atomic.Bool // clients may come
	draining   atomic.Bool // and may not any more
	closing    atomic.Bool // their connections end with the next answer
	figures    figures

	books
	endpoints
	listLease
	sending sendGate
	agreement
	succession
	chooser     *choice.Chooser
	events      []choice.Event
	fresh       []*message
	wake        *time.Timer
	wakeAt      time.Duration
	delays      delayMeter
	woken       bool
	out         int  // calls
	stopped     bool // no more decisions; outcomes are still recorded
	endPlatform context.CancelFunc
}

// New replays the journal and listens; Serve does the rest.
func New(conf Config) (r *Relay, err error) {
	set := conf.Settings
	r = &Relay{conf: conf, platformAt: discovery.NewAddress(conf.Discovery), began: time.Now(), inbox: make(chan func(), 1024),
		books:     books{held: map[string]*message{}},
		endpoints: endpoints{zones: set.ZoneNames, hosts: map[string]*host{}, dests: map[int]*waiting{}},
		quit:      make(chan struct{}), halted: make(chan struct{}), wake: time.NewTimer(time.Hour)}
	clients, kept := conf.parts(set.Workers)
	r.hostSide.Store(newTransport(&set, kept, r.dial(set.DialTimeout)))
	r.platform = &http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn, DialContext: r.dial(0)}}
	r.notices = newNoticeSender(r.platformAt, r.dial(noticeIn), r.noticesSending, r.noticesAccepted)
	list := &discovery.Platform{Client: r.platform, Address: r.platformAt, Seed: conf.Seed, HasList: conf.Known.Full, Version: conf.Known.Version,
		LeaseChanged: r.leaseRenewed,
		Fleet: func() discovery.Fleet {
			set := r.set.Load()
			return discovery.Fleet{Size: set.Fleet, MaxPollInterval: set.MaxPollInterval}
		}}
	r.list = list
	r.calls, r.endCalls = context.WithCancelCause(context.Background())
	r.set.Store((&standing{}).succeed(set, 0))
	for _, k := range set.Classes {
		r.figures.declare(k.Name)
	}
	if conf.Admin != "" {
		if err := r.listenAdmin(conf.Admin); err != nil {
			return nil, err
		}
		admin := r.admin
		defer func() {
			if err != nil {
				admin.Close()
			}
		}()
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	tcp, heritage := r.tcp, r.heritage
	defer func() {
		if err != nil {
			tcp.Close()
			if heritage != nil {
				heritage.close()
			}
		}
	}()
	if r.chooser, err = choice.New(set.Settings, conf.Seed); err != nil {
		return nil, err
	}
	if err := steady.Anchor(conf.State); err != nil {
		slog.Warn("no steady time across restarts", "err", err, "remedy", remedy.Of(err))
	}
	version := conf.Known.Version
	if r.heritage != nil {
		version = r.heritage.Version
	}
	if list.PreviousLease = leaseBefore(conf.State, version); list.PreviousLease != nil {
		r.bindLease(*list.PreviousLease)
	}
	if r.journal, err = journal.Open(conf.State, conf.journalBytes()); err != nil {
		return nil, err
	}
	if err = r.openBacklog(); err != nil {
		return nil, err
	}
	waiting := r.overflow
	defer func() {
		if err != nil {
			waiting.shut()
		}
	}()
	if conf.Fleet != nil {
		r.kept = fleet.Open(conf.State, newInstance(), fleet.File{Raw: conf.settings, Settings: set})
		r.look()
		if r.copies = newCopying(conf.Fleet); r.copies != nil {
			if r.heritage != nil {
				r.copies.adopted = r.heritage.Writer
			}
			r.newOwner()
		}
	}
	r.listener = newPeers(r.tcp, clients)
	r.listener.lack = func() { r.hostSide.Load().CloseIdleConnections() }
	r.listener.snapshot = func() any { return r.snapshot() }
	r.server = newServer(r.handler(), r.listener)
	if h := r.heritage; h != nil {
		// Until the other process has ended the limit on sockets is for both.
		r.listener.allow(max(clients/4, clients-h.Peers))
		r.listed(discovery.List{Version: h.Version, Full: true, Servers: append(h.Servers, h.Gone...)})
		r.adopt(h)
		if r.copies != nil {
			r.adoptEstates(h.Writer)
		}
		r.startLease(list.PreviousLease)
		r.restore()
		for i := range h.Gone {
			h.Gone[i].State = "left"
		}
		r.listed(discovery.List{Version: h.Version, Servers: h.Gone})
		return r, h.accept()
	}
	if conf.Known.Full || len(conf.Known.Servers) > 0 {
		r.listed(conf.Known)
	}
	r.startLease(list.PreviousLease)
	r.restore()
	return r, nil
}

// listen takes the clients' address from the process that runs as this relay, if there is one.
// Before that the journal is not this process's to open.
func (r *Relay) listen() (err error) {
	if r.heritage, err = inherit(r.conf.State); err != nil {
		// It may have died; if it has not, the address is taken.
		slog.Warn("nothing taken over", "err", err)
	}
	if r.heritage != nil {
		r.tcp = r.heritage.tcp
		return nil
	}
	l, err := listen.TCP(r.conf.Listen)
	if err != nil {
		return err
	}
	r.tcp = l.(*net.TCPListener)
	return nil
}

// Addr is where clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }
