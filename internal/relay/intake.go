package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/steady"
)

const (
	maxBody  = 64 << 10
	maxName  = 200              // bytes of an id or a key
	maxLeft  = 24 * time.Hour   // a longer deadline is a mistake
	comeBack = time.Second      // advice where the decisions give none
	idleIn   = 60 * time.Second // for a client's idle connection
	// requestIn is for a request to come in whole, from connecting on. Whoever sends too little
	// is owed a close within 3 s, and its place is wanted: a client stops waiting after 400 ms.
	requestIn = 2200 * time.Millisecond
)

// intake is a message that waits for the answer whether it is taken on.
type intake struct {
	entry *journal.Entry
	due   time.Duration
	ctx   context.Context // of the client's request
	reply chan answer
}

type answer struct {
	status int
	after  time.Duration // Retry-After
	text   string
}

func (r *Relay) serveAPI(w http.ResponseWriter, req *http.Request) {
	came := r.now() - sinceArrival(connOf(req))
	in, status, err := r.read(w, req, came)
	if err != nil {
		r.leave(w)
		http.Error(w, err.Error(), status)
		return
	}
	r.post(func() { r.take(in) })
	var a answer
	select {
	case a = <-in.reply:
	case <-r.halted: // what the loop has answered by then holds: the record says so
		select {
		case a = <-in.reply:
		default:
			a = answer{status: http.StatusServiceUnavailable, after: comeBack, text: "stopping"}
		}
	}
	if a.status == http.StatusAccepted && req.Context().Err() != nil {
		a = r.afterLeaving(in)
	}
	r.leave(w)
	if a.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.after.Seconds(), 'f', 3, 64))
	}
	if a.status == http.StatusAccepted {
		isClient(req)
		w.WriteHeader(a.status)
		return
	}
	http.Error(w, a.text, a.status)
}

// read checks a request; its error is the client's.
func (r *Relay) read(w http.ResponseWriter, req *http.Request, came time.Duration) (*intake, int, error) {
	bad := func(text string) (*intake, int, error) { return nil, http.StatusBadRequest, errors.New(text) }
	e := &journal.Entry{ID: req.Header.Get("X-Request-Id"), Class: req.Header.Get("X-Class"),
		Key: req.Header.Get("Idempotency-Key"), Tenant: req.Header.Get("X-Tenant")}
	if !isName(e.ID) {
		return bad("X-Request-Id is missing or malformed")
	}
	if set := r.standingAt(req); set != nil { // the next process may know other classes
		terms, err := admit(set, e, came)
		if err != nil {
			return bad(err.Error())
		}
		e.Terms = terms
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxLeft.Milliseconds() {
		return bad("X-Deadline-Ms is missing or malformed")
	}
	if len(e.Tenant) > maxName {
		return bad("X-Tenant is too long")
	}
	dest, ok := destOf(req.Header.Get("X-Addressing"))
	if !ok {
		return bad("X-Addressing is missing or malformed")
	}
	e.Dest = dest
	e.Body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body is over 64 KiB")
	}
	if err != nil {
		return bad("body could not be read")
	}
	left := time.Duration(ms) * time.Millisecond
	e.Due = steady.Now().Add(left - (r.now() - came)).UnixMilli()
	return &intake{entry: e, due: came + left, ctx: req.Context(), reply: make(chan answer, 1)}, 0, nil
}

// standingAt are the settings by which a request came: those in force as its first byte did, for its client wrote it by
// them. It is nil for one that is the next process's to judge.
func (r *Relay) standingAt(req *http.Request) *standing {
	if set, ok := peerOf(req).termsOf().(*standing); ok {
		return set
	}
	return r.snapshot()
}

// snapshot are the settings that hold for a request which begins now.
func (r *Relay) snapshot() *standing {
	if r.passedAt.Load() > 0 {
		return nil
	}
	return r.set.Load()
}

// admit finds the terms of a message's class, and tells what the class wants of it.
func admit(set *standing, e *journal.Entry, now time.Duration) (*choice.Terms, error) {
	class := set.class(e.Class, now)
	switch {
	case class < 0:
		return nil, errors.New("X-Class is missing or unknown")
	case e.Key != "" && !isName(e.Key):
		return nil, errors.New("Idempotency-Key is malformed")
	}
	terms := set.terms(class, e.Key != "", now)
	if e.Key == "" && terms.Class.Effect == choice.Keyed {
		return nil, errors.New("Idempotency-Key is missing")
	}
	return terms, nil
}

// isName tells whether text can stand in a header and in a line of /receive-many.
func isName(s string) bool {
	return s != "" && len(s) <= maxName && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// destOf reads the number of the destination.
func destOf(s string) (int, bool) {
	for part := range strings.FieldsFuncSeq(s, func(c rune) bool { return c == ';' || c == ',' || c == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.Atoi(v)
			return n, err == nil && n >= 0
		}
	}
	return 0, false
}

// take decides with the next Step whether a message is taken on.
func (r *Relay) take(in *intake) {
	id, set := in.entry.ID, r.set.Load()
	var err error
	if in.entry.Terms == nil { // it came by way of the process before this one, and under this one's settings
		in.entry.Terms, err = admit(set, in.entry, r.now())
	}
	refuse := answer{status: http.StatusServiceUnavailable, after: comeBack, text: "no room"}
	switch {
	case r.heir != nil:
		r.pass(in)
	case len(r.askers) > 0 && r.copies != nil: // the next process is to have all that counts first
		r.deferred = append(r.deferred, in)
	case r.held[id] != nil: // the client sent it again after its connection broke
		m := r.held[id]
		m.twice = true
		if m.fresh == nil {
			in.reply <- answer{status: http.StatusAccepted}
		} else {
			m.fresh = append(m.fresh, in)
		}
	case r.liesOnDisk(in):
	case r.past.has(id):
		in.reply <- answer{status: http.StatusAccepted}
	case r.journal.Entry(id) != nil:
		r.answerRecorded(in, r.journal.Entry(id))
	case in.ctx.Err() != nil: // the client has gone; its handler still waits, and holds the connection
		in.reply <- refuse
	case err != nil:
		in.reply <- answer{status: http.StatusBadRequest, text: err.Error()}
	case r.dests[in.entry.Dest] == nil:
		r.figures.ended(in.entry.Class, failedEnd)
		in.reply <- answer{status: http.StatusNotFound, text: "unknown destination"}
	case r.stopped || !r.copies.takes(r.now()) || set.MaxHeld > 0 && len(r.held)+r.overflow.len() >= set.MaxHeld ||
		r.owed >= maxOwed || r.overflow.broken() || !r.holdersHaveRoom(in.entry):
		r.figures.ended(in.entry.Class, refusedEnd)
		in.reply <- refuse
	case r.toDisk(in):
	default:
		if r.copies != nil {
			in.entry.Group = r.copies.main
		}
		due := in.due - r.endMargin(in.due-r.now())
		m := &message{Entry: in.entry, due: due, fresh: []*intake{in}}
		r.held[id] = m
		r.overflow.enter(m)
		r.fresh = append(r.fresh, m)
		r.events = append(r.events, choice.Arrival{ID: id, Class: -1, Dest: in.entry.Dest, Terms: in.entry.Terms,
			Left: due - r.now(), Key: in.entry.OrderKey, Tenant: slices.Index(set.TenantNames, in.entry.Tenant)})
	}
}
