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
	backlogFolder = "backlog" // in the folder that lasts
	// moveMost and moveBytes bound what one turn brings in, lookMost the destinations that it looks at for that.
	maxMovedMessages, maxMovedBytes, maxCheckedDests = 128, 512 << 10, 512
	defaultMemoryMB                                  = 192 // MB, where limits has no memory_mb
)

// openStore is how the folder is opened. Tests set it.
var openStore = func(dir string, o backlog.Options) (store, error) { return backlog.Open(dir, o) }

// Owing is a folder whose backlog holds messages, and a configuration that wants none.
type PendingBacklogError struct {
	Path     string
	Messages int
}

func (o *PendingBacklogError) Error() string {
	return fmt.Sprintf("%s holds %d messages that are owed their end, and the configuration has no backlog", o.Path, o.Messages)
}

// Remedy says what an operator can do.
func (o *PendingBacklogError) Remedy() string {
	return `put "backlog" back into the configuration until svc.backlog.messages is 0, then take it out`
}

// openBacklog takes up what lies on disk; the journal is open. Without the key there must be nothing.
func (r *Relay) openBacklog() error {
	dir := filepath.Join(r.conf.State, backlogFolder)
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
			return &PendingBacklogError{dir, n}
		}
		return errors.Join(os.RemoveAll(dir), journal.Unfence(r.conf.State))
	}
	memory := r.conf.MemoryMB
	if memory <= 0 {
		memory = defaultMemoryMB
	}
	bytes := min(int(memory*1e6/6), int(r.conf.journalBytes()/4))
	r.overflow = newOverflow(dir, int64(r.conf.Backlog.DiskMB*1e6), state.Load{N: maxWindowMessages, Bytes: bytes})
	return r.openBacklogFolder()
}

// openFolder opens the backlog's folder. What the journal has as well is off it from then on.
func (r *Relay) openBacklogFolder() error {
	o := r.overflow
	s, err := openStore(o.dir, backlog.Options{Disk: o.diskBytes})
	if err != nil {
		return err
	}
	o.store = s
	r.logBacklogDamage()
	for e := range r.journal.All() {
		if s.LenOf(e.Dest) == 0 {
			continue
		}
		h, found, err := s.Find(e.Dest, e.ID)
		if err == nil && found {
			err = s.Out(e.Dest, h.Place)
		}
		if err != nil {
			o.close()
			return err
		}
	}
	for _, m := range o.moving {
		m.place = 0
	}
	slog.Info("backlog opened", "held", s.Len(), "bytes", s.Bytes())
	return nil
}

func (r *Relay) logBacklogDamage() {
	for _, err := range r.overflow.store.Damage() {
		slog.Error("backlog is damaged", "err", err, "remedy", remedy.Of(err))
	}
}

// liesOnDisk answers a client whose message waits on disk, or is about to: it sent it again after its connection broke.
func (r *Relay) answerStoredDuplicate(in *intake) bool {
	o := r.overflow
	if o == nil || o.store == nil {
		return false
	}
	e := in.entry
	if i := slices.IndexFunc(o.queued, func(m *message) bool { return m.ID == e.ID }); i >= 0 {
		o.resentIDs.add(e.ID)
		o.queued[i].unanswered = append(o.queued[i].unanswered, in)
		return true
	}
	if o.store.LenOf(e.Dest) == 0 {
		return false
	}
	switch _, found, err := o.store.Find(e.Dest, e.ID); {
	case err != nil:
		slog.Error("backlog not searched", "err", err, "remedy", remedy.Of(err))
		in.reply <- answer{status: http.StatusServiceUnavailable, after: comeBack, text: "no room"}
	case found:
		o.resentIDs.add(e.ID)
		in.reply <- answer{status: http.StatusAccepted}
	default:
		return false
	}
	return true
}

// toDisk has a message wait on disk, if it must, until the next step has put it there.
func (r *Relay) queueForDisk(in *intake) bool {
	o, e := r.overflow, in.entry
	switch {
	case o == nil:
		return false
	case o.keyPendingElsewhere(e.Order, e.Dest):
		r.figures.ended(e.Class, refusedEnd)
		in.reply <- answer{status: http.StatusServiceUnavailable, after: comeBack, text: "its key waits for another destination"}
	case o.mustWait(e.Dest, r.now(), r.journal.Crowded()):
		o.queued = append(o.queued, &message{Entry: e, due: in.due, unanswered: []*intake{in}})
	default:
		return false
	}
	return true
}

// putFresh puts on disk what came since the last step, and answers.
func (r *Relay) storeQueued() {
	o := r.overflow
	if o == nil || len(o.queued) == 0 {
		return
	}
	queued := o.queued
	o.queued = nil
	err := r.storeMessages(queued)
	if len(queued) > 1 && errors.Is(err, backlog.ErrFull) { // some may fit
		for _, m := range queued {
			r.answerStoreResult(m, r.storeMessages([]*message{m}))
		}
		return
	}
	for _, m := range queued {
		r.answerStoreResult(m, err)
	}
}

func (r *Relay) storeMessages(messages []*message) error {
	o := r.overflow
	if r.stopped || o.store == nil {
		return &backlog.Failure{Did: "is given up", Path: o.dir, Err: errStopping}
	}
	if !o.fenced {
		if err := journal.Fence(r.conf.State, "The folder backlog holds messages that are owed their end. Start a version of larchrouter that knows it."); err != nil {
			return err
		}
		o.fenced = true
	}
	packed := make([]backlog.Message, len(messages))
	for i, m := range messages {
		packed[i] = entry.Pack(m.Entry)
	}
	return o.store.Put(packed...)
}

func (r *Relay) answerStoreResult(m *message, err error) {
	if err == nil {
		m.answer(answer{status: http.StatusAccepted})
		return
	}
	retryAfter := comeBack
	if full := (*backlog.Full)(nil); errors.As(err, &full) && full.Wait > 0 {
		retryAfter = min(full.Wait, r.set.Load().MaxRetryAfter)
	}
	if r.overflow.refused++; !r.stopped && r.overflow.refused%batchMost == 1 {
		slog.Error("message not put on disk", "err", err, "remedy", remedy.Of(err), "refused", r.overflow.refused)
	}
	r.refuse(m, retryAfter)
}

// withdrawStored ends a message on disk whose client left unanswered. One that came twice goes on.
func (r *Relay) withdrawStored(e *journal.Entry) bool {
	o := r.overflow
	if o == nil || o.store == nil || r.nextProcess != nil || o.resentIDs.has(e.ID) || r.journal.Entry(e.ID) != nil || o.store.LenOf(e.Dest) == 0 {
		return false
	}
	h, found, err := o.store.Find(e.Dest, e.ID)
	if err == nil && found {
		err = o.store.Out(e.Dest, h.Place)
	}
	if err != nil {
		slog.Error("message not withdrawn", "err", err, "remedy", remedy.Of(err))
	}
	return err == nil && found
}

// openAgain goes on with the folder after a hand-over that failed. If that cannot be, it is tried again with the next turns, and
// nothing is taken on meanwhile.
func (r *Relay) reopenBacklog() {
	if o := r.overflow; o.broken() {
		if err := r.openBacklogFolder(); err != nil {
			r.pauseLoading("backlog not opened", err, comeBack)
		}
	}
}
