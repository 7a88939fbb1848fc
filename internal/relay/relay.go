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
func New(config Config) (relay *Relay, err error) {
	settings := config.Settings
	relay = &Relay{config: config, platformAddr: discovery.NewAt(config.Discovery), startedAt: time.Now(), inbox: make(chan func(), 1024),
		books:        books{held: map[string]*message{}},
		endpointList: endpointList{zoneNames: settings.Zones, hosts: map[string]*host{}, destWaits: map[int]*hostWait{}},
		quit:         make(chan struct{}), loopEnded: make(chan struct{}), wakeTimer: time.NewTimer(time.Hour)}
	maxClients, maxIdleHostConns := config.parts(settings.Workers)
	relay.hostTransport.Store(newHostTransport(&settings, maxIdleHostConns, relay.dial(settings.DialTimeout)))
	relay.platformClient = &http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn, DialContext: relay.dial(0)}}
	relay.notices = newNoticeSender(relay.platformAddr, relay.dial(noticeTimeout), relay.noticesSending, relay.noticesAccepted)
	listSource := &discovery.Platform{Client: relay.platformClient, At: relay.platformAddr, Seed: config.Seed, Known: config.Known.Full, Version: config.Known.Version,
		Renewed: relay.leaseRenewed,
		Fleet: func() discovery.Fleet {
			settings := relay.settings.Load()
			return discovery.Fleet{Size: settings.Fleet, AskWithin: settings.AskWithin}
		}}
	relay.listSource = listSource
	relay.callContext, relay.cancelCalls = context.WithCancelCause(context.Background())
	relay.settings.Store((&standing{}).succeed(settings, 0))
	for _, class := range settings.Classes {
		relay.figures.declare(class.Name)
	}
	if config.Admin != "" {
		if err := relay.listenAdmin(config.Admin); err != nil {
			return nil, err
		}
		admin := relay.admin
		defer func() {
			if err != nil {
				admin.Close()
			}
		}()
	}
	if err := relay.listen(); err != nil {
		return nil, err
	}
	tcp, handover := relay.tcp, relay.heritage
	defer func() {
		if err != nil {
			tcp.Close()
			if handover != nil {
				handover.close()
			}
		}
	}()
	if relay.chooser, err = choice.New(settings.Settings, config.Seed); err != nil {
		return nil, err
	}
	if err := steady.Anchor(config.State); err != nil {
		slog.Warn("no steady time across restarts", "err", err, "remedy", remedy.Of(err))
	}
	version := config.Known.Version
	if relay.heritage != nil {
		version = relay.heritage.Version
	}
	if listSource.Before = loadLease(config.State, version); listSource.Before != nil {
		relay.setSendUntil(*listSource.Before)
	}
	if relay.journal, err = journal.Open(config.State, config.journalBytes()); err != nil {
		return nil, err
	}
	if err = relay.openBacklog(); err != nil {
		return nil, err
	}
	overflow := relay.overflow
	defer func() {
		if err != nil {
			overflow.shut()
		}
	}()
	if config.Fleet != nil {
		relay.fleetConfig = fleet.Open(config.State, newInstanceID(), fleet.File{Raw: config.settings, Set: settings})
		relay.refreshAgreed()
		if relay.copies = newCopying(config.Fleet); relay.copies != nil {
			if relay.heritage != nil {
				relay.copies.adopted = relay.heritage.Writer
			}
			relay.newOwner()
		}
	}
	relay.listener = newPeers(relay.tcp, maxClients)
	relay.listener.lack = func() { relay.hostTransport.Load().CloseIdleConnections() }
	relay.listener.snapshot = func() any { return relay.snapshot() }
	relay.server = newServer(relay.handler(), relay.listener)
	if handover := relay.heritage; handover != nil {
		// Until the other process has ended the limit on sockets is for both.
		relay.listener.allow(max(maxClients/4, maxClients-handover.Peers))
		relay.applyList(discovery.List{Version: handover.Version, Full: true, Servers: append(handover.Servers, handover.Gone...)})
		relay.adopt(handover)
		if relay.copies != nil {
			relay.adoptEstates(handover.Writer)
		}
		relay.resumeLease(listSource.Before)
		relay.restore()
		for i := range handover.Gone {
			handover.Gone[i].State = "left"
		}
		relay.applyList(discovery.List{Version: handover.Version, Servers: handover.Gone})
		return relay, handover.accept()
	}
	if config.Known.Full || len(config.Known.Servers) > 0 {
		relay.applyList(config.Known)
	}
	relay.resumeLease(listSource.Before)
	relay.restore()
	return relay, nil
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
