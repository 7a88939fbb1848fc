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
	maxEventsPerStep  = 256
	maxPendingNotices = 8192
)

// Relay is one relay. The parts that it embeds, and the fields below the channels, belong to the loop unless they say
// otherwise.
type Relay struct {
	config         Config
	settings       atomic.Pointer[standing]
	startedAt      time.Time
	server         *http.Server
	listener       *peers
	tcp            *net.TCPListener // under listener
	platformClient *http.Client     // for discovery
	// platformAt is where discovery and the taker of notices are.
	platformAddr *discovery.At
	listSource   discovery.Source // of the endpoints
	callContext  context.Context
	cancelCalls  context.CancelCauseFunc
	inbox        chan func()
	quit         chan struct{} // the loop is to end
	loopEnded    chan struct{} // and has
	stopOnce     sync.Once
	admin        *http.Server // of the second address; nil where there is none
	adminPeers   *peers
	adminAt      net.Addr
	ready        atomic.Bool // clients may come
	draining     atomic.Bool // and may not any more
	closing      atomic.Bool // their connections end with the next answer
	figures      figures

	books
	endpointList
	listLease
	writeGate sendGate
	agreement
	succession
	chooser        *choice.Chooser
	events         []choice.Event
	newMessages    []*message
	wakeTimer      *time.Timer
	wakeAt         time.Duration
	timerDelays    delayMeter
	wakeDue        bool
	callsInFlight  int  // calls
	stopped        bool // no more decisions; outcomes are still recorded
	cancelPlatform context.CancelFunc
}

// New replays the journal and listens; Serve does the rest.
func New(config Config) (r *Relay, err error) {
	settings := config.Settings
	r = &Relay{config: config, platformAddr: discovery.NewAt(config.Discovery), startedAt: time.Now(), inbox: make(chan func(), 1024),
		books:        books{held: map[string]*message{}},
		endpointList: endpointList{zoneNames: settings.Zones, hosts: map[string]*host{}, destWaits: map[int]*hostWait{}},
		quit:         make(chan struct{}), loopEnded: make(chan struct{}), wakeTimer: time.NewTimer(time.Hour)}
	maxClients, maxIdleHostConns := config.parts(settings.Workers)
	r.hostTransport.Store(newHostTransport(&settings, maxIdleHostConns, r.dial(settings.DialTimeout)))
	r.platformClient = &http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn, DialContext: r.dial(0)}}
	r.notices = newNoticeSender(r.platformAddr, r.dial(noticeTimeout), r.noticesSending, r.noticesAccepted)
	listSource := &discovery.Platform{Client: r.platformClient, At: r.platformAddr, Seed: config.Seed, Known: config.Known.Full, Version: config.Known.Version,
		Renewed: r.leaseRenewed,
		Fleet: func() discovery.Fleet {
			settings := r.settings.Load()
			return discovery.Fleet{Size: settings.Fleet, AskWithin: settings.AskWithin}
		}}
	r.listSource = listSource
	r.callContext, r.cancelCalls = context.WithCancelCause(context.Background())
	r.settings.Store((&standing{}).succeed(settings, 0))
	for _, class := range settings.Classes {
		r.figures.declare(class.Name)
	}
	if config.Admin != "" {
		if err := r.listenAdmin(config.Admin); err != nil {
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
	tcp, handover := r.tcp, r.heritage
	defer func() {
		if err != nil {
			tcp.Close()
			if handover != nil {
				handover.close()
			}
		}
	}()
	if r.chooser, err = choice.New(settings.Settings, config.Seed); err != nil {
		return nil, err
	}
	if err := steady.Anchor(config.State); err != nil {
		slog.Warn("no steady time across restarts", "err", err, "remedy", remedy.Of(err))
	}
	version := config.Known.Version
	if r.heritage != nil {
		version = r.heritage.Version
	}
	if listSource.Before = loadLease(config.State, version); listSource.Before != nil {
		r.setSendUntil(*listSource.Before)
	}
	if r.journal, err = journal.Open(config.State, config.journalBytes()); err != nil {
		return nil, err
	}
	if err = r.openBacklog(); err != nil {
		return nil, err
	}
	overflow := r.overflow
	defer func() {
		if err != nil {
			overflow.shut()
		}
	}()
	if config.Fleet != nil {
		r.fleetConfig = fleet.Open(config.State, newInstanceID(), fleet.File{Raw: config.settings, Set: settings})
		r.refreshAgreed()
		if r.copies = newCopying(config.Fleet); r.copies != nil {
			if r.heritage != nil {
				r.copies.adopted = r.heritage.Writer
			}
			r.newOwner()
		}
	}
	r.listener = newPeers(r.tcp, maxClients)
	r.listener.lack = func() { r.hostTransport.Load().CloseIdleConnections() }
	r.listener.snapshot = func() any { return r.snapshot() }
	r.server = newServer(r.handler(), r.listener)
	if handover := r.heritage; handover != nil {
		// Until the other process has ended the limit on sockets is for both.
		r.listener.allow(max(maxClients/4, maxClients-handover.Peers))
		r.applyList(discovery.List{Version: handover.Version, Full: true, Servers: append(handover.Servers, handover.Gone...)})
		r.adopt(handover)
		if r.copies != nil {
			r.adoptEstates(handover.Writer)
		}
		r.resumeLease(listSource.Before)
		r.restore()
		for i := range handover.Gone {
			handover.Gone[i].State = "left"
		}
		r.applyList(discovery.List{Version: handover.Version, Servers: handover.Gone})
		return r, handover.accept()
	}
	if config.Known.Full || len(config.Known.Servers) > 0 {
		r.applyList(config.Known)
	}
	r.resumeLease(listSource.Before)
	r.restore()
	return r, nil
}

// listen takes the clients' address from the process that runs as this relay, if there is one.
// Before that the journal is not this process's to open.
func (r *Relay) listen() (err error) {
	if r.heritage, err = inherit(r.config.State); err != nil {
		// It may have died; if it has not, the address is taken.
		slog.Warn("nothing taken over", "err", err)
	}
	if r.heritage != nil {
		r.tcp = r.heritage.tcp
		return nil
	}
	listener, err := listen.TCP(r.config.Listen)
	if err != nil {
		return err
	}
	r.tcp = listener.(*net.TCPListener)
	return nil
}

// Addr is where clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }
