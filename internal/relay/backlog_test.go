package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/backlog/state"
	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
)

// partners stand behind all endpoints of a test. They note each message that they get, in the order in which it came.
type partners struct {
	addr string
	mu   sync.Mutex
	got  []string // ids
	body map[string]string
	out  map[string]int // calls out, by order key: what stands in an id before the dot
	most int            // of them at once
	now  func(id string) int
	news chan struct{}
}

func newPartners(t *testing.T) *partners {
	p := &partners{body: map[string]string{}, out: map[string]int{}, news: make(chan struct{}, 1)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		id := req.Header.Get("X-Request-Id")
		key, _, _ := strings.Cut(id, ".")
		p.mu.Lock()
		p.got, p.body[id] = append(p.got, id), string(body)
		p.out[key]++
		p.most = max(p.most, p.out[key])
		status := 200
		if p.now != nil {
			status = p.now(id)
		}
		p.mu.Unlock()
		w.WriteHeader(status)
		p.mu.Lock()
		p.out[key]--
		p.mu.Unlock()
		select {
		case p.news <- struct{}{}:
		default:
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	p.addr = s.Listener.Addr().String()
	return p
}

// await waits until so many messages came, and returns their ids.
func (p *partners) await(t *testing.T, n int) []string {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; {
		p.mu.Lock()
		got := append([]string(nil), p.got...)
		p.mu.Unlock()
		if len(got) >= n {
			return got
		}
		if time.Now().After(end) {
			t.Fatalf("%d messages came, want %d", len(got), n)
		}
		select {
		case <-p.news:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// once fails if a message came twice, or another than these.
func (p *partners) once(t *testing.T, ids ...string) {
	t.Helper()
	got := p.await(t, len(ids))
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	for _, id := range got {
		if !wanted[id] {
			t.Fatalf("%s came twice, or was not to come; %d came", id, len(got))
		}
		delete(wanted, id)
		if p.body[id] != "body of "+id {
			t.Fatalf("%s came with %q", id, p.body[id])
		}
	}
}

// cell is an endpoint of a destination, ready or not.
func (p *partners) cell(dest int, ready bool) discovery.Server {
	s := at(fmt.Sprint("s-", dest), p.addr, "taller")
	if s.Cell = dest; !ready {
		s.State = "leaving"
	}
	return s
}

// keeper says how a relay with a backlog is started: by default with a window of 8 messages.
type keeping struct {
	state  string
	window state.Load
	wrap   func(store) store
	change func(*Config)
}

func keep(conf *Config) {
	conf.Backlog, conf.DiskMB = &Backlog{DiskMB: 8}, 12
	conf.Settings.MaxHeld = 1e6
	withAdmin(conf)
}

// newKeeping makes a relay with a backlog; serving starts it.
func newKeeping(t testing.TB, p *platform, k keeping) (*Relay, error) {
	t.Helper()
	if k.state == "" {
		k.state = t.TempDir()
	}
	conf, err := readTestConfig(t, testConfig(t, p), k.state)
	if err != nil {
		t.Fatal(err)
	}
	keep(&conf)
	if k.change != nil {
		k.change(&conf)
	}
	r, err := New(conf)
	if err == nil && r.overflow != nil {
		r.overflow.window.Total = k.window
		if k.window.N == 0 {
			r.overflow.window.Total = state.Load{N: 8, Bytes: 1 << 20}
		}
		if k.wrap != nil {
			r.overflow.store = k.wrap(r.overflow.store)
		}
	}
	return r, err
}

// serving runs a relay; stop ends it as it is, as a kill does but for open files.
func serving(t testing.TB, r *Relay) (stop func()) {
	done := make(chan struct{})
	go func() { r.Serve(); close(done) }()
	stop = func() { r.stop(); <-done }
	t.Cleanup(stop)
	return stop
}

func startKeeping(t testing.TB, p *platform, k keeping) (*Relay, func()) {
	t.Helper()
	r, err := newKeeping(t, p, k)
	if err != nil {
		t.Fatal(err)
	}
	return r, serving(t, r)
}

// given is what a test hands in.
type given struct {
	id, class, order string
	dest             int
	left             time.Duration
	body             string
}

// give hands messages in, as many handlers at once would, and returns their answers.
func give(t testing.TB, r *Relay, all ...given) []answer {
	t.Helper()
	replies := make([]chan answer, len(all))
	for i, g := range all {
		if g.class == "" {
			g.class = "status-update"
		}
		if g.left == 0 {
			g.left = time.Minute
		}
		if g.body == "" {
			g.body = "body of " + g.id
		}
		e := &journal.Entry{ID: g.id, Class: g.class, Dest: g.dest, Order: g.order, Key: "key-" + g.id, Body: []byte(g.body), Due: time.Now().Add(g.left).UnixMilli()}
		terms, err := admit(r.set.Load(), e, r.now())
		if err != nil {
			t.Fatal(err)
		}
		e.Terms, replies[i] = terms, make(chan answer, 1)
		r.post(func() { r.take(&intake{entry: e, due: r.now() + g.left, ctx: context.Background(), reply: replies[i]}) })
	}
	answers := make([]answer, len(all))
	for i, reply := range replies {
		select {
		case answers[i] = <-reply:
		case <-time.After(30 * time.Second):
			t.Fatalf("no answer to %s", all[i].id)
		}
	}
	return answers
}

// promised hands messages in and wants all of them taken on.
func promised(t testing.TB, r *Relay, all ...given) (ids []string) {
	t.Helper()
	for i, a := range give(t, r, all...) {
		if a.status != 202 {
			t.Fatalf("%s is answered %d %s, want 202", all[i].id, a.status, a.text)
		}
		ids = append(ids, all[i].id)
	}
	return ids
}

func many(n, dest int, name string, of given) (all []given) {
	for i := range n {
		of.id, of.dest = fmt.Sprintf("%s.%d", name, i), dest
		all = append(all, of)
	}
	return all
}

// inLoop runs something in the loop.
func inLoop(t testing.TB, r *Relay, f func()) {
	t.Helper()
	done := make(chan struct{})
	r.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the loop hangs")
	}
}

// counts are what the decisions have and what the disk has.
func counts(t testing.TB, r *Relay) (held, disk int) {
	t.Helper()
	inLoop(t, r, func() { held, disk = len(r.held), r.overflow.len() })
	return held, disk
}

// ends collects notices until there are so many, and wants them to be of different messages.
func (p *platform) ends(t *testing.T, n int) map[string]string {
	t.Helper()
	ends := map[string]string{}
	for len(ends) < n {
		v := wait(t, p.notices, "notice")
		if ends[v.ID] != "" {
			t.Fatalf("%s ended twice", v.ID)
		}
		ends[v.ID] = v.Status
	}
	return ends
}

// Guards against one destination that is down for long and fills the room of others, and against what waited for it being
// lost, doubled or mixed up as it is back.
func TestOneDownWhileOthersAreServed(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	r, _ := startKeeping(t, p, keeping{})
	ids := promised(t, r, many(300, 7, "down", given{})...)
	held, disk := counts(t, r)
	if held > 8 || held+disk != 300 {
		t.Fatalf("the decisions have %d, the disk %d, of 300 and a window of 8", held, disk)
	}
	shows(t, r, "svc.in_flight=300", fmt.Sprintf("svc.backlog.messages=%d", disk))
	for n := range 5 {
		ids := promised(t, r, many(40, 8, fmt.Sprint("up", n), given{})...)
		ps.await(t, (n+1)*len(ids))
	}
	if _, now := counts(t, r); now < disk {
		t.Errorf("%d came in for a destination that takes nothing", disk-now)
	}
	ps.mu.Lock()
	ps.got = nil
	ps.mu.Unlock()
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	ps.once(t, ids...)
	shows(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
}

// Guards against thousands of destinations that are down, each with a little, and that together keep out one that is well; and
// against a return of all at once in which something is lost or doubled.
func TestThousandsDownAtOnceAndBack(t *testing.T) {
	const dests = 1500
	ps := newPartners(t)
	all := []discovery.Server{ps.cell(9000, true)}
	for d := range dests {
		all = append(all, ps.cell(d, false))
	}
	p := newPlatform(t, all...)
	r, _ := startKeeping(t, p, keeping{window: state.Load{N: 64, Bytes: 1 << 20}})
	var gs []given
	for n := range 3 {
		for d := range dests {
			gs = append(gs, given{id: fmt.Sprintf("d%d.%d", d, n), dest: d})
		}
	}
	ids := promised(t, r, gs...)
	held, disk := counts(t, r)
	if held > dests+64 || held+disk != len(ids) {
		t.Fatalf("the decisions have %d, the disk %d, of %d", held, disk, len(ids))
	}
	up := promised(t, r, many(200, 9000, "up", given{})...)
	ps.once(t, up...)
	ps.mu.Lock()
	ps.got = nil
	ps.mu.Unlock()
	for i := range all {
		all[i].State = "active"
	}
	p.publish(2, true, all...)
	ps.once(t, ids...)
}

// Guards against messages on disk whose time runs out unanswered, or is answered twice; and against thousands that do so at
// once and stop what can still be served.
func TestManyOutOfTimeAtOnce(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	p.notices = make(chan notice, 10000)
	r, _ := startKeeping(t, p, keeping{})
	ids := promised(t, r, many(4000, 7, "late", given{left: 3 * time.Second})...)
	up := promised(t, r, many(50, 8, "up", given{})...)
	ends := p.ends(t, 1)
	up = append(up, promised(t, r, many(50, 8, "more", given{})...)...)
	ps.once(t, up...)
	for id, status := range p.ends(t, len(ids)-1) {
		ends[id] = status
	}
	for _, id := range ids {
		if ends[id] != deferred {
			t.Fatalf("%s ended as %q", id, ends[id])
		}
	}
	shows(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
	want(t, "further notices", len(p.notices), 0)
}

// ordered has a class whose messages go in the order of their keys.
func ordered(conf *Config) {
	for i := range conf.Settings.Classes {
		conf.Settings.Classes[i].Ordered = conf.Settings.Classes[i].Name == "status-update"
	}
}

// Guards against a key whose order is lost by way of the disk: its head in the window, its middle on disk, its tail new, and a
// restart between; and against one that overtakes itself at another destination.
func TestOrderOfAKey(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	k := keeping{state: t.TempDir(), change: ordered}
	r, stop := startKeeping(t, p, k)
	var ids []string
	hand := func(n int) {
		for range n {
			ids = append(ids, promised(t, r, given{id: fmt.Sprint("k.", len(ids)), dest: 7, order: "k"})...)
			promised(t, r, given{id: fmt.Sprint("other.", len(ids)), dest: 7})
		}
	}
	hand(15)
	a := give(t, r, given{id: "astray", dest: 8, order: "k"})[0]
	want(t, "the key for another destination", a.status, 503)
	want(t, "and when to come again", a.after > 0, true)
	stop()
	r, stop = startKeeping(t, p, k)
	hand(5)
	stop()
	r, _ = startKeeping(t, p, k)
	hand(5)
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	hand(5) // new ones while the head goes
	got := ps.await(t, 2*len(ids))
	n := 0
	for _, id := range got {
		if strings.HasPrefix(id, "k.") {
			if id != ids[n] {
				t.Fatalf("%s came where it was the turn of %s", id, ids[n])
			}
			n++
		}
	}
	want(t, "messages of the key", n, len(ids))
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.most > 1 && ps.out["k"] > 1 {
		t.Error("two of the key were out at once")
	}
}

// Guards against settings that are lost by way of the disk: a class that the settings of the next start do not know, and a
// destination that its list does not have.
func TestAStartWithLess(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, false))
	k := keeping{state: t.TempDir()}
	r, stop := startKeeping(t, p, k)
	kept := promised(t, r, many(30, 7, "kept", given{class: "payment"})...)
	gone := promised(t, r, many(20, 8, "gone", given{left: 2 * time.Second})...)
	stop()
	p = newPlatform(t, ps.cell(7, true))
	k.change = func(conf *Config) {
		conf.Backlog.DiskMB = 0.001
		conf.Settings.Classes = conf.Settings.Classes[:2:2]
		want(t, "dropped class", conf.Settings.Classes[1].Name, "status-update")
	}
	r, _ = startKeeping(t, p, k)
	ps.once(t, kept...)
	ends := p.ends(t, len(gone))
	for _, id := range gone {
		want(t, "end of one whose destination is gone", ends[id], deferred)
	}
	shows(t, r, "svc.in_flight=0")
}

