// Package link is the network between the parties of a run. Every connection between two of them goes through
// a link, which knows who is at either end and can be cut, refused, reset, delayed, narrowed, half open or
// closed late, each way by itself. Sockets of processes under test end at the link's front; parties that the
// lab emulates hold the other end in memory.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"larchrouter/internal/lab/history"
)

// Faults are what is wrong with one way of a link. The zero value is a sound one.
type Faults struct {
	Cut       bool          // nothing comes through; what is sent is kept until it ends, as TCP would send it again
	Refused   bool          // new connections are refused
	Reset     bool          // each connection is reset ...
	ResetAt   int64         // ... once so many further bytes have come through
	Delay     time.Duration // before anything comes through
	Spread    time.Duration // by chance as much as this longer
	Rate      int64         // bytes a second; 0 for no limit
	Loss      float64       // share of what is sent at a time that is lost; a connection is reset by it
	Resent    float64       // share of what is sent at a time that TCP has to send again ...
	ResentIn  time.Duration // ... and that comes so much later, with all behind it
	HalfOpen  bool          // the end of a connection is not told
	LateClose time.Duration // the end of a connection is told so much later
}

// with is what holds if both do.
func (f *Faults) with(g *Faults) *Faults {
	if f == nil {
		return g
	}
	both := Faults{Cut: f.Cut || g.Cut, Refused: f.Refused || g.Refused, Reset: f.Reset || g.Reset, ResetAt: f.ResetAt + g.ResetAt,
		Delay: max(f.Delay, g.Delay), Spread: max(f.Spread, g.Spread), Rate: min(f.Rate, g.Rate), Loss: max(f.Loss, g.Loss),
		Resent: max(f.Resent, g.Resent), ResentIn: max(f.ResentIn, g.ResentIn), HalfOpen: f.HalfOpen || g.HalfOpen, LateClose: max(f.LateClose, g.LateClose)}
	if f.Rate == 0 || g.Rate == 0 {
		both.Rate = max(f.Rate, g.Rate)
	}
	if f.Reset && g.Reset {
		both.ResetAt = min(f.ResetAt, g.ResetAt)
	}
	return &both
}

// way is one way of a link.
type way struct {
	faults atomic.Pointer[Faults]
	mu     sync.Mutex
	queues map[*queue]struct{}
}

func (w *way) now() *Faults {
	if f := w.faults.Load(); f != nil {
		return f
	}
	return &sound
}

var sound Faults

func (w *way) add(q *queue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queues[q] = struct{}{}
}

func (w *way) remove(q *queue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.queues, q)
}

func (w *way) set(f *Faults) {
	w.faults.Store(f)
	w.mu.Lock()
	var all []*queue
	for q := range w.queues {
		all = append(all, q)
	}
	w.mu.Unlock()
	for _, q := range all {
		q.wake()
	}
}

// Link joins two parties.
type Link struct {
	From, To string // From opens the connections
	net      *Net
	there    way // what From sends
	back     way // what To sends

	mu     sync.Mutex
	front  *net.TCPListener // where From, a process, connects; nil where From is the lab's
	addr   *net.TCPAddr
	bars   map[string]bool // connections that fill the backlog while the link is cut, by their address
	mended sync.Cond
	on     map[string][2]*Faults
	shut   bool // nobody listens at the front
	parked bool // accepts nothing until the link is mended
	conns  map[*Conn]struct{}
	serve  func(*Conn)
	to     string // To's address, if it is a process
	over   bool
}

// Net is all links of a run.
type Net struct {
	Clock *history.Clock
	mu    sync.Mutex
	links map[[2]string]*Link
	// fronts serve more than one link.
	fronts []*net.TCPListener
	// trouble is why the network itself did not do as it should, the first time; nil for never.
	trouble error
}

// Trouble tells why the network itself failed the parties, if it did: what they then saw is not to be blamed on them.
func (n *Net) Trouble() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.trouble
}

// failed notes a failure of the lab's own sockets. Refusals and resets are none.
func (n *Net) failed(err error) {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.trouble == nil {
				n.trouble = err
			}
		}
	}
}

// accepted takes the next connection of a front. A machine that has no more descriptors is none that stopped
// listening: it goes on once it can, and the run is known to show nothing.
func (n *Net) accepted(front *net.TCPListener) (*net.TCPConn, error) {
	for {
		sock, err := front.AcceptTCP()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return sock, err
		}
		n.failed(err)
		time.Sleep(10 * time.Millisecond)
	}
}

// NewNet returns a network without links.
func NewNet(clock *history.Clock) *Net {
	return &Net{Clock: clock, links: map[[2]string]*Link{}}
}

// Link is the link between two parties, of which the first opens the connections.
func (n *Net) Link(from, to string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[[2]string{from, to}]
	if l == nil {
		l = &Link{From: from, To: to, net: n, conns: map[*Conn]struct{}{}}
		l.mended.L = &l.mu
		l.there.queues, l.back.queues = map[*queue]struct{}{}, map[*queue]struct{}{}
		n.links[[2]string{from, to}] = l
	}
	return l
}

// Links has all links between two parties of which the first satisfies a and the second b.
func (n *Net) Links(a, b func(party string) bool) []*Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*Link
	for _, l := range n.links {
		if a(l.From) && b(l.To) {
			found = append(found, l)
		}
	}
	return found
}

// Close ends all links.
func (n *Net) Close() {
	n.mu.Lock()
	for _, f := range n.fronts {
		f.Close()
	}
	n.mu.Unlock()
	for _, l := range n.Links(func(string) bool { return true }, func(string) bool { return true }) {
		l.close()
	}
}

// Serve opens a front for a process at an address of the link's own, and has a party of the lab serve what
// comes. It returns the address.
func (n *Net) Serve(from, to, addr string, serve func(*Conn)) (string, error) {
	l := n.Link(from, to)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serve = serve
	return l.listen(addr)
}

// Forward opens a front for a process that leads to another process.
func (n *Net) Forward(from, to, addr, target string) (string, error) {
	l := n.Link(from, to)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = target
	return l.listen(addr)
}

// listen opens the front. The lock is held.
func (l *Link) listen(addr string) (string, error) {
	front, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("link from %s to %s: %w", l.From, l.To, err)
	}
	l.front = front.(*net.TCPListener)
	l.addr = front.Addr().(*net.TCPAddr)
	go l.accept(l.front)
	return l.addr.String(), nil
}

func (l *Link) accept(front *net.TCPListener) {
	for {
		sock, err := l.net.accepted(front)
		if err != nil {
			return
		}
		l.mu.Lock()
		bar := l.bars[sock.RemoteAddr().String()]
		l.mu.Unlock()
		switch {
		case bar:
			sock.Close()
		default:
			go l.join(sock)
		}
		l.mu.Lock()
		for l.cut() && !l.over { // what asks for a connection now waits in vain
			l.parked = true
			l.mended.Wait()
		}
		l.parked = false
		l.mu.Unlock()
	}
}

// cut tells whether a connection cannot come up.
func (l *Link) cut() bool { return l.there.now().Cut || l.back.now().Cut }

// join carries a connection that came in at the front.
func (l *Link) join(sock *net.TCPConn) {
	if l.serve == nil {
		var d net.Dialer
		back, err := d.Dial("tcp4", l.to)
		if err != nil {
			l.net.failed(err)
			abort(sock)
			return
		}
		l.carry(sock, back.(*net.TCPConn))
		return
	}
	c := l.newConn(sock, nil, false)
	go c.carryIn(sock, c.in, c.leave)
	go c.carryOut(c.out, sock)
	l.serve(c)
}

// carry carries what two processes send each other.
func (l *Link) carry(front, back *net.TCPConn) {
	c := l.newConn(front, back, false)
	go c.carryIn(front, c.in, c.leave)
	go c.carryOut(c.out, front)
	go c.carryIn(back, c.out, nil)
	go c.carryOut(c.in, back)
}

// Dial opens a connection from a party of the lab, at an address of its own, to a process.
func (n *Net) Dial(ctx context.Context, from, to, source, addr string) (*Conn, error) {
	l := n.Link(from, to)
	for l.cut() { // the machine's packets go nowhere
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("link from %s to %s: %w", from, to, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	if l.there.now().Refused {
		return nil, fmt.Errorf("link from %s to %s: %w", from, to, syscall.ECONNREFUSED)
	}
	d := net.Dialer{}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	sock, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		n.failed(err)
		return nil, err
	}
	c := l.newConn(sock.(*net.TCPConn), nil, true)
	go c.carryIn(c.sock, c.in, c.leave)
	go c.carryOut(c.out, c.sock)
	return c, nil
}

// Set puts the only faults on the ways of a link; nil mends a way.
func (l *Link) Set(there, back *Faults) { l.Put("", there, back) }

// Put puts faults on the ways of a link beside those of other names, or takes those of this name away. Of two
// that are on at once both hold: the longer delay, the smaller rate.
func (l *Link) Put(name string, there, back *Faults) {
	l.mu.Lock()
	if l.on == nil {
		l.on = map[string][2]*Faults{}
	}
	l.on[name] = [2]*Faults{there, back}
	if there == nil && back == nil {
		delete(l.on, name)
	}
	var sum [2]*Faults
	for i := range sum {
		for _, f := range l.on {
			if f[i] != nil {
				sum[i] = sum[i].with(f[i])
			}
		}
	}
	l.mu.Unlock()
	l.there.set(sum[0])
	l.back.set(sum[1])
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.addr == nil || l.over:
	case l.there.now().Refused:
		l.front.Close()
		l.shut = true
	case l.shut:
		l.shut = false
		front, err := net.ListenTCP("tcp4", l.addr)
		if err != nil { // its port was taken meanwhile: the party at the other end stays away
			l.shut = true
			return
		}
		l.front = front
		go l.accept(front)
		if l.cut() {
			l.bar()
		}
	case l.cut():
		l.bar()
	default:
		backlog(l.front, backlogSize)
		l.mended.Broadcast()
	}
}

// bar has the kernel drop what asks for a connection, as a machine that is gone would: the backlog is full, and
// nothing is accepted. An Accept that waits already takes one more out. The lock is held.
func (l *Link) bar() {
	backlog(l.front, 0)
	l.bars = map[string]bool{}
	for range barsMost {
		bar, err := net.DialTimeout("tcp4", l.addr.String(), barIn)
		if err == nil {
			l.bars[bar.LocalAddr().String()] = true
			defer bar.Close() // it keeps its place in the backlog
		} else if l.parked {
			return
		}
		if !l.parked {
			l.mu.Unlock()
			time.Sleep(time.Millisecond)
			l.mu.Lock()
		}
		if !l.cut() || l.over {
			return
		}
	}
}

const (
	backlogSize = 4096
	barsMost    = 100
	barIn       = 10 * time.Millisecond
)

// Reset ends all connections of the link at once, as a process's death does.
func (l *Link) Reset() {
	l.mu.Lock()
	var all []*Conn
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		c.Abort()
	}
}

func (l *Link) close() {
	l.mu.Lock()
	l.over = true
	if l.front != nil {
		l.front.Close()
	}
	l.mended.Broadcast()
	l.mu.Unlock()
	l.Reset()
}

// newConn makes a connection of a link, whole before the link knows of it: it may be reset from then on.
func (l *Link) newConn(sock, far *net.TCPConn, dialled bool) *Conn {
	c := &Conn{link: l, sock: sock, far: far, dialled: dialled, gone: make(chan struct{})}
	c.in, c.out = newQueue(&l.there), newQueue(&l.back)
	if dialled { // the process is at the far end: what it sends is the way back
		c.in, c.out = c.out, c.in
	}
	c.in.onReset, c.out.onReset = c.Abort, c.Abort
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		c.in.reset()
		c.out.reset()
	}
	l.conns[c] = struct{}{}
	return c
}

// Conn is one connection through a link. A party of the lab reads and writes it as its end.
type Conn struct {
	link    *Link
	in      *queue // what the process at the front sends
	out     *queue // what it is sent
	sock    *net.TCPConn
	far     *net.TCPConn // a process at the other end
	dialled bool

	rest   []byte
	came   int64 // of what Read returned last
	once   sync.Once
	gone   chan struct{}
	goneAt atomic.Int64
	shut   atomic.Bool
}

// Peer is the name of the process at the front.
func (c *Conn) Peer() string {
	if c.dialled {
		return c.link.To
	}
	return c.link.From
}

// Read reads what came through.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		got, err := c.in.pop(64 << 10)
		if err != nil {
			return 0, err
		}
		if got.end != nil {
			return 0, got.eof()
		}
		c.rest, c.came = got.data, got.came
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Came is when what Read returned last was read at the front, on the run's clock.
func (c *Conn) Came() int64 { return c.came }

// Write sends bytes on their way.
func (c *Conn) Write(p []byte) (int, error) { return len(p), c.Send(p, nil) }

// Send sends bytes on their way, and tells when the last of them was written at the front, or that it never was.
func (c *Conn) Send(p []byte, after func(at int64, ok bool)) error {
	return c.out.push(chunk{data: append([]byte(nil), p...), came: c.link.net.Clock.Now(), after: after})
}

// SetReadDeadline bounds Read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// Close ends the connection in order: what is on its way still comes.
func (c *Conn) Close() error {
	if c.shut.Swap(true) {
		return nil
	}
	c.out.end(io.EOF, c.link.net.Clock.Now())
	return nil
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.shut.Store(true)
	c.in.reset()
	c.out.reset()
	if c.far != nil {
		abort(c.far)
	}
	if c.sock != nil {
		abort(c.sock)
	}
	c.leave()
}

// Gone is closed once the process at the front has ended its sending, whether the other end has heard or not.
func (c *Conn) Gone() <-chan struct{} { return c.gone }

// GoneAt is when that was.
func (c *Conn) GoneAt() int64 { return c.goneAt.Load() }

func (c *Conn) leave() {
	c.once.Do(func() {
		c.goneAt.Store(c.link.net.Clock.Now())
		close(c.gone)
	})
}

// carryIn takes in what a socket brings.
func (c *Conn) carryIn(from *net.TCPConn, to *queue, left func()) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		came := c.link.net.Clock.Now()
		if n > 0 {
			if to.push(chunk{data: append([]byte(nil), buf[:n]...), came: came}) != nil {
				abort(from)
				if left != nil {
					left()
				}
				return
			}
		}
		if err != nil {
			if left != nil {
				left()
			}
			how := io.EOF
			if !errors.Is(err, io.EOF) {
				how = errReset
			}
			to.end(how, came)
			return
		}
	}
}

// carryOut brings a socket what is due.
func (c *Conn) carryOut(from *queue, to *net.TCPConn) {
	defer c.drop()
	for {
		got, err := from.pop(64 << 10)
		if err != nil {
			abort(to)
			return
		}
		if got.end != nil {
			if got.end == errReset {
				abort(to)
			} else if c.far != nil {
				to.CloseWrite()
			} else {
				to.Close()
			}
			return
		}
		// Stamped before it is written: the process may read it, and close, before this goes on.
		at := c.link.net.Clock.Now()
		_, err = to.Write(got.data)
		if got.after != nil {
			got.after(at, err == nil)
		}
		if err != nil {
			from.reset()
			abort(to)
			return
		}
	}
}

// drop forgets a connection that has ended.
func (c *Conn) drop() {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	delete(c.link.conns, c)
	c.in.way.remove(c.in)
	c.out.way.remove(c.out)
}

// abort closes a socket with a reset.
func abort(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// backlog sets how many connections wait at a listener.
func backlog(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
