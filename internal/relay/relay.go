// Package relay runs the decision logic of package choice: it owns the clock, the sockets and the durable records, and
// makes no decision about hosts, time-outs or retries itself.
//
// One goroutine, the loop, owns the Chooser and all state. All other goroutines post functions to it. The loop runs the
// functions that are queued as one batch, calls the Chooser once, writes the journal, and carries out the Chooser's
// actions.
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
	"larchrouter/internal/clientconn"
	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet"
	"larchrouter/internal/framing"
	"larchrouter/internal/journal"
	"larchrouter/internal/listen"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

const (
	// maxBatch limits the functions that the loop runs before a step, and the notices in one POST.
	maxBatch = 256
	// maxPendingNotices is the number of pending notices from which on no more messages are accepted.
	maxPendingNotices = 8192
)

// Relay is one relay. Its embedded parts, and the fields below the channels, belong to the loop unless their comments
// say otherwise.
type Relay struct {
	config         Config
	settings       atomic.Pointer[activeSettings]
	startedAt      time.Time // zero of the relay's clock
	clientServer   *http.Server
	clientListener *limitListener
	tcpListener    *net.TCPListener // the listening socket that clientListener wraps
	platformClient *http.Client     // for calls to discovery
	// platformAddr is the current address of discovery and of the receiver of notices.
	platformAddr       *discovery.Address
	listSource         discovery.Source // the source of the endpoint list
	callContext        context.Context  // parent of the contexts of all calls to endpoints
	cancelCalls        context.CancelCauseFunc
	inbox              chan func()   // functions for the loop to run
	quit               chan struct{} // closed when the loop must end
	loopEnded          chan struct{} // closed when the loop has ended
	stopOnce           sync.Once
	adminServer        *http.Server // serves the admin address; nil if none is configured
	adminListener      *limitListener
	adminAddr          net.Addr
	ready              atomic.Bool // clients may connect
	draining           atomic.Bool // the relay is shutting down, and clients should no longer connect
	closeAfterResponse atomic.Bool // client connections are closed after the next answer
	metrics            relayMetrics

	messageRecords
	endpointList
	listLease
	writeGate sendGate // used by any goroutine
	agreement
	handoverState
	chooser     *choice.Chooser
	events      []choice.Event // for the next step
	newMessages []*message     // arrived since the last step, and not accepted yet

	unrecordedErrors errorThrottle // for messages that could not be recorded
	wakeTimer        *time.Timer
	wakeAt           time.Duration // when wakeTimer fires, by the relay's clock
	timerDelays      delayMeter
	wakeDue          bool               // wakeTimer has fired since the last step
	callsInFlight    int                // number of calls to endpoints in flight
	stopped          bool               // no more decisions are made; outcomes are still recorded
	cancelPlatform   context.CancelFunc // ends the goroutines that serve discovery, notices and the keepers' session
}

// New opens the relay's stored state, replays the journal, and starts listening. Call Serve to run the relay.
func New(config Config) (relay *Relay, err error) {
	settings := config.Settings
	relay = &Relay{config: config, platformAddr: discovery.NewAddress(config.Discovery), startedAt: time.Now(), inbox: make(chan func(), 1024),
		messageRecords: messageRecords{pending: map[string]*message{}, endedIDs: newRecentIDs(config.MemoryMB)},
		endpointList:   endpointList{zoneNames: settings.ZoneNames, hosts: map[string]*host{}, destWaits: map[int]*hostWait{}},
		quit:           make(chan struct{}), loopEnded: make(chan struct{}), wakeTimer: time.NewTimer(time.Hour)}
	maxClients, maxIdleHostConns := config.connectionLimits(settings.Workers)
	relay.hostTransport.Store(newHostTransport(&settings, maxIdleHostConns, relay.newDialFunc(settings.DialTimeout)))
	relay.platformClient = &http.Client{Transport: clientconn.NewTransport(&http.Transport{DisableCompression: true, IdleConnTimeout: idleConnTimeout, DialContext: relay.newDialFunc(0)})}
	relay.notices = newNoticeSender(relay.platformAddr, relay.newDialFunc(noticeTimeout), relay.noticesSending, relay.noticesAccepted)
	listSource := &discovery.Platform{Client: relay.platformClient, Address: relay.platformAddr, Seed: config.Seed, HasList: config.InitialList.Full, Version: config.InitialList.Version,
		LeaseChanged: relay.leaseRenewed,
		Fleet: func() discovery.Fleet {
			settings := relay.settings.Load()
			return discovery.Fleet{Size: settings.Fleet, MaxPollInterval: settings.MaxPollInterval}
		}}
	relay.listSource = listSource
	relay.callContext, relay.cancelCalls = context.WithCancelCause(context.Background())
	relay.settings.Store((&activeSettings{}).replacedBy(settings, 0))
	for _, class := range settings.Classes {
		relay.metrics.declareClass(class.Name)
	}
	if config.AdminAddr != "" {
		if err := relay.listenAdmin(config.AdminAddr); err != nil {
			return nil, err
		}
		admin := relay.adminServer
		defer func() {
			if err != nil {
				admin.Close()
			}
		}()
	}
	if err := relay.listen(); err != nil {
		return nil, err
	}
	tcp, handover := relay.tcpListener, relay.previousProcess
	if handover != nil {
		relay.useMemoryPart(sharedMemoryPart)
	}
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
	if err := steady.Anchor(config.StateDir); err != nil {
		slog.Warn("steady clock is not available across restarts", "err", err, "remedy", remedy.Of(err))
	}
	version := config.InitialList.Version
	if relay.previousProcess != nil {
		version = relay.previousProcess.Version
	}
	if listSource.PreviousLease = loadLease(config.StateDir, version); listSource.PreviousLease != nil {
		relay.setSendUntil(*listSource.PreviousLease)
	}
	if relay.journal, err = journal.Open(config.StateDir, config.journalBytes()); err != nil {
		return nil, err
	}
	relay.resumeClassTerms()
	if err = relay.openBacklog(); err != nil {
		return nil, err
	}
	overflow := relay.overflow
	defer func() {
		if err != nil {
			overflow.closeStore()
		}
	}()
	if config.Fleet != nil {
		relay.fleetConfig = fleet.Open(config.StateDir, newInstanceID(), fleet.File{Raw: config.rawSettings, Settings: settings})
		relay.refreshAgreed()
		if relay.replication = newReplication(config.Fleet); relay.replication != nil {
			if relay.previousProcess != nil {
				relay.replication.adoptedWriter = relay.previousProcess.Writer
			}
			relay.newGroupOwner()
		}
	}
	relay.clientListener = newLimitListener(relay.tcpListener, maxClients)
	relay.clientListener.setMemoryLimit(config.memoryPart(clientMemoryDivisor))
	relay.metrics.observeConnections(relay.clientListener)
	relay.clientListener.freeDescriptors = func() { relay.hostTransport.Load().CloseIdleConnections() }
	relay.clientListener.settingsSnapshot = func() any { return relay.currentSettings() }
	relay.clientServer = newHTTPServer(relay.handler(), framing.CheckLength, relay.clientListener)
	if handover := relay.previousProcess; handover != nil {
		// Until the previous process has ended, both processes share the limit on sockets.
		relay.clientListener.setLimit(max(maxClients/4, min(int(sharedMemoryPart*float64(maxClients)), maxClients-handover.ClientConns)))
		relay.useMemoryPart(sharedMemoryPart)
		relay.applyList(discovery.List{Version: handover.Version, Full: true, Servers: append(handover.Servers, handover.Departed...)})
		relay.adoptCalls(handover)
		if relay.replication != nil {
			relay.adoptGroups(handover.Writer)
		}
		relay.resumeLease(listSource.PreviousLease)
		relay.restore()
		for i := range handover.Departed {
			handover.Departed[i].State = "left"
		}
		relay.applyList(discovery.List{Version: handover.Version, Servers: handover.Departed})
		return relay, handover.confirm()
	}
	if config.InitialList.Full || len(config.InitialList.Servers) > 0 {
		relay.applyList(config.InitialList)
	}
	relay.resumeLease(listSource.PreviousLease)
	relay.restore()
	return relay, nil
}

// listen takes over the clients' address from the running process of this relay, if there is one, and opens it
// otherwise. The journal may be opened only after that: until then it belongs to the other process.
func (r *Relay) listen() (err error) {
	if r.previousProcess, err = requestHandover(r.config.StateDir); err != nil {
		// The other process may have died. If it still runs, listening on the address below fails.
		slog.Warn("no state taken over from a running process", "err", err)
	}
	if r.previousProcess != nil {
		r.tcpListener = r.previousProcess.listener
		return nil
	}
	listener, err := listen.TCP(r.config.Listen)
	if err != nil {
		return err
	}
	r.tcpListener = listener.(*net.TCPListener)
	return nil
}

// Addr returns the address on which clients connect.
func (r *Relay) Addr() string { return r.clientListener.Addr().String() }
