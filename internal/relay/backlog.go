package relay

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"

	"larchrouter/internal/backlog"
	"larchrouter/internal/backlog/entry"
	"larchrouter/internal/backlog/state"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
)

const (
	backlogName = "backlog" // in the folder that lasts
	// moveMost and moveBytes bound what one turn brings in, lookMost the destinations that it looks at for that.
	moveMost, moveBytes, lookMost = 128, 512 << 10, 512
	noKeyMemory                   = 192 // MB, where limits has no memory_mb
)

// openStore is how the folder is opened. Tests set it.
var openStore = func(dir string, o backlog.Options) (store, error) { return backlog.Open(dir, o) }

// Owing is a folder whose backlog holds messages, and a configuration that wants none.
type Owing struct {
	Path     string
	Messages int
}

func (o *Owing) Error() string {
	return fmt.Sprintf("%s holds %d messages that are owed their end, and the configuration has no backlog", o.Path, o.Messages)
}

// Remedy says what an operator can do.
func (o *Owing) Remedy() string {
	return `put "backlog" back into the configuration until svc.backlog.messages is 0, then take it out`
}

// openBacklog takes up what lies on disk; the journal is open. Without the key there must be nothing.
func (r *Relay) openBacklog() error {
	dir := filepath.Join(r.conf.State, backlogName)
	if r.conf.Backlog == nil {
		if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		s, err := openStore(dir, backlog.Options{})
		if err != nil {
			return err
		}
		n := s.Len()
		if s.Close(); n > 0 {
			return &Owing{dir, n}
		}
		return errors.Join(os.RemoveAll(dir), journal.RemoveFence(r.conf.State))
	}
	memory := r.conf.MemoryMB
	if memory <= 0 {
		memory = noKeyMemory
	}
	bytes := min(int(memory*1e6/6), int(r.conf.journalBytes()/4))
	r.overflow = newOverflow(dir, int64(r.conf.Backlog.DiskMB*1e6), state.Load{Messages: windowMost, Bytes: bytes})
	return r.openFolder()
}

// openFolder opens the backlog's folder. What the journal has as well is off it from then on.
func (r *Relay) openFolder() error {
	o := r.overflow
	s, err := openStore(o.dir, backlog.Options{DiskBytes: o.disk})
	if err != nil {
		return err
	}
	o.store = s
	r.toldOfDamage()
	for e := range r.journal.All() {
		if s.LenOf(e.Dest) == 0 {
			continue
		}
		h, there, err := s.Find(e.Dest, e.ID)
		if err == nil && there {
			err = s.Remove(e.Dest, h.Sequence)
		}
		if err != nil {
			o.shut()
			return err
		}
	}
	for _, m := range o.moved {
		m.place = 0
	}
	slog.Info("backlog opened", "held", s.Len(), "bytes", s.Bytes())
	return nil
}

func (r *Relay) toldOfDamage() {
	for _, err := range r.overflow.store.TakeDamageReports() {
		slog.Error("backlog is damaged", "err", err, "remedy", remedy.Of(err))
	}
}

// liesOnDisk answers a client whose message waits on disk, or is about to: it sent it again after its connection broke.
func (r *Relay) liesOnDisk(in *intake) bool {
	o := r.overflow
	if o == nil || o.store == nil {
		return false
	}
	e := in.entry
	if i := slices.IndexFunc(o.fresh, func(m *message) bool { return m.ID == e.ID }); i >= 0 {
		o.again.add(e.ID)
		o.fresh[i].fresh = append(o.fresh[i].fresh, in)
		return true
	}
	if o.store.LenOf(e.Dest) == 0 {
		return false
	}
	switch _, there, err := o.store.Find(e.Dest, e.ID); {
	case err != nil:
		slog.Error("backlog not searched", "err", err, "remedy", remedy.Of(err))
		in.reply <- answer{status: http.StatusServiceUnavailable, after: comeBack, text: "no room"}
	case there:
		o.again.add(e.ID)
		in.reply <- answer{status: http.StatusAccepted}
	default:
		return false
	}
	return true
}

// toDisk has a message wait on disk, if it must, until the next step has put it there.
func (r *Relay) toDisk(in *intake) bool {
	o, e := r.overflow, in.entry
	switch {
	case o == nil:
		return false
	case o.keyElsewhere(e.OrderKey, e.Dest):
		r.figures.ended(e.Class, refusedEnd)
		in.reply <- answer{status: http.StatusServiceUnavailable, after: comeBack, text: "its key waits for another destination"}
	case o.waits(e.Dest, r.now(), r.journal.NearlyFull()):
		o.fresh = append(o.fresh, &message{Entry: e, due: in.due, fresh: []*intake{in}})
	default:
		return false
	}
	return true
}

// putFresh puts on disk what came since the last step, and answers.
func (r *Relay) putFresh() {
	o := r.overflow
	if o == nil || len(o.fresh) == 0 {
		return
	}
	fresh := o.fresh
	o.fresh = nil
	err := r.put(fresh)
	if len(fresh) > 1 && errors.Is(err, backlog.ErrFull) { // some may fit
		for _, m := range fresh {
			r.answerPut(m, r.put([]*message{m}))
		}
		return
	}
	for _, m := range fresh {
		r.answerPut(m, err)
	}
}

func (r *Relay) put(ms []*message) error {
	o := r.overflow
	if r.stopped || o.store == nil {
		return &backlog.FileError{Problem: "is given up", Path: o.dir, Err: errStopping}
	}
	if !o.fenced {
		if err := journal.FenceOlderVersions(r.conf.State, "The folder backlog holds messages that are owed their end. Start a version of larchrouter that knows it."); err != nil {
			return err
		}
		o.fenced = true
	}
	all := make([]backlog.Message, len(ms))
	for i, m := range ms {
		all[i] = entry.Pack(m.Entry)
	}
	return o.store.Put(all...)
}

func (r *Relay) answerPut(m *message, err error) {
	if err == nil {
		m.answer(answer{status: http.StatusAccepted})
		return
	}
	after := comeBack
	if full := (*backlog.FullError)(nil); errors.As(err, &full) && full.RetryAfter > 0 {
		after = min(full.RetryAfter, r.set.Load().MaxRetryAfter)
	}
	if r.overflow.refused++; !r.stopped && r.overflow.refused%batchMost == 1 {
		slog.Error("message not put on disk", "err", err, "remedy", remedy.Of(err), "refused", r.overflow.refused)
	}
	r.refuse(m, after)
}

// withdrawStored ends a message on disk whose client left unanswered. One that came twice goes on.
func (r *Relay) withdrawStored(e *journal.Entry) bool {
	o := r.overflow
	if o == nil || o.store == nil || r.heir != nil || o.again.has(e.ID) || r.journal.Entry(e.ID) != nil || o.store.LenOf(e.Dest) == 0 {
		return false
	}
	h, there, err := o.store.Find(e.Dest, e.ID)
	if err == nil && there {
		err = o.store.Remove(e.Dest, h.Sequence)
	}
	if err != nil {
		slog.Error("message not withdrawn", "err", err, "remedy", remedy.Of(err))
	}
	return err == nil && there
}

// openAgain goes on with the folder after a hand-over that failed. If that cannot be, it is tried again with the next turns, and
// nothing is taken on meanwhile.
func (r *Relay) openAgain() {
	if o := r.overflow; o.broken() {
		if err := r.openFolder(); err != nil {
			r.cannotRead("backlog not opened", err, comeBack)
		}
	}
}
