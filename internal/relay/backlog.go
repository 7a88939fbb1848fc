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
	backlogFolder = "backlog" // a directory in the state directory
	// maxMovedMessages and maxMovedBytes bound what one turn of the loop loads from disk, maxCheckedDests the
	// destinations that it checks for that.
	maxMovedMessages, maxMovedBytes, maxCheckedDests = 128, 512 << 10, 512
	// defaultMemoryMB is the memory limit where the configuration has no memory_mb.
	defaultMemoryMB = 192
)

// openStore opens the backlog's directory. Tests replace it.
var openStore = func(dir string, o backlog.Options) (store, error) { return backlog.Open(dir, o) }

// PendingBacklogError is the error for a directory whose backlog has messages while the configuration has no backlog.
type PendingBacklogError struct {
	Path     string
	Messages int
}

func (e *PendingBacklogError) Error() string {
	return fmt.Sprintf("%s holds %d messages that have not ended, but the configuration has no backlog", e.Path, e.Messages)
}

// Remedy says what an operator can do.
func (e *PendingBacklogError) Remedy() string {
	return `put "backlog" back into the configuration until svc.backlog.messages is 0, then take it out`
}

// openBacklog opens the backlog on disk; the journal must be open. If the configuration has no backlog, it removes an
// empty one, and returns a PendingBacklogError for one with messages.
func (r *Relay) openBacklog() error {
	dir := filepath.Join(r.config.StateDir, backlogFolder)
	if r.config.Backlog == nil {
		if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		store, err := openStore(dir, backlog.Options{})
		if err != nil {
			return err
		}
		count := store.Len()
		if store.Close(); count > 0 {
			return &PendingBacklogError{dir, count}
		}
		return errors.Join(os.RemoveAll(dir), journal.RemoveFence(r.config.StateDir))
	}
	r.overflow = newOverflow(dir, int64(r.config.Backlog.DiskMB*1e6), r.config.backlogWindow())
	r.journal.ReserveForEnding()
	return r.openBacklogFolder()
}

// backlogWindow returns how much of the messages beside those on disk may be pending.
func (c *Config) backlogWindow() state.Load {
	memoryMB := c.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return state.Load{Messages: maxWindowMessages, Bytes: min(int(memoryMB*1e6/6), int(c.journalBytes()/4))}
}

// openBacklogFolder opens the backlog's directory and removes the messages from it that the journal has as well.
func (r *Relay) openBacklogFolder() error {
	o := r.overflow
	opened, err := openStore(o.dir, backlog.Options{DiskBytes: o.diskBytes})
	if err != nil {
		return err
	}
	o.store = opened
	r.logBacklogDamage()
	for recorded := range r.journal.All() {
		if opened.LenOf(recorded.Dest) == 0 {
			continue
		}
		stored, found, err := opened.Find(recorded.Dest, recorded.ID)
		if err == nil && found {
			err = opened.Remove(recorded.Dest, stored.Sequence)
		}
		if err != nil {
			o.closeStore()
			return err
		}
	}
	for _, m := range o.moving {
		m.place = 0
	}
	slog.Info("backlog opened", "held", opened.Len(), "bytes", opened.Bytes())
	return nil
}

func (r *Relay) logBacklogDamage() {
	for _, err := range r.overflow.store.TakeDamageReports() {
		slog.Error("backlog is damaged", "err", err, "remedy", remedy.Of(err))
	}
}

// answerStoredDuplicate answers a client that sent a message again after its connection broke, if the message is on
// disk or is about to be. It reports whether it did.
func (r *Relay) answerStoredDuplicate(apiReq *apiRequest) bool {
	o := r.overflow
	if o == nil || o.store == nil {
		return false
	}
	journalEntry := apiReq.entry
	if i := slices.IndexFunc(o.queued, func(m *message) bool { return m.ID == journalEntry.ID }); i >= 0 {
		o.resentIDs.add(journalEntry.ID)
		o.queued[i].unanswered = append(o.queued[i].unanswered, apiReq)
		return true
	}
	if o.store.LenOf(journalEntry.Dest) == 0 {
		return false
	}
	switch _, found, err := o.store.Find(journalEntry.Dest, journalEntry.ID); {
	case err != nil:
		slog.Error("cannot search the backlog", "err", err, "remedy", remedy.Of(err))
		apiReq.reply <- apiResponse{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, text: "no room"}
	case found:
		o.resentIDs.add(journalEntry.ID)
		apiReq.reply <- apiResponse{status: http.StatusAccepted}
	default:
		return false
	}
	return true
}

// queueForDisk queues a message to be stored by the next step, if it has to wait on disk, or refuses it if its key
// waits for another destination. It reports whether it did either.
func (r *Relay) queueForDisk(apiReq *apiRequest) bool {
	o, journalEntry := r.overflow, apiReq.entry
	switch {
	case o == nil:
		return false
	case o.keyPendingElsewhere(journalEntry.OrderKey, journalEntry.Dest):
		r.metrics.countOutcome(journalEntry.Class, outcomeRefused)
		apiReq.reply <- apiResponse{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, text: "its key waits for another destination"}
	case o.mustWait(journalEntry.Dest, r.now(), r.journal.NearlyFull()):
		o.queued = append(o.queued, &message{Entry: journalEntry, due: apiReq.due, unanswered: []*apiRequest{apiReq}})
	default:
		return false
	}
	return true
}

// storeQueued stores the messages that were queued since the last step, and answers their clients.
func (r *Relay) storeQueued() {
	o := r.overflow
	if o == nil || len(o.queued) == 0 {
		return
	}
	queued := o.queued
	o.queued = nil
	err := r.storeMessages(queued)
	if len(queued) > 1 && errors.Is(err, backlog.ErrFull) { // some of them may fit
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
		return &backlog.FileError{Problem: "is closed", Path: o.dir, Err: errStopping}
	}
	if !o.fenced {
		if err := journal.FenceOlderVersions(r.config.StateDir, "The folder backlog holds messages that are owed their end. Start a version of larchrouter that knows it."); err != nil {
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
		m.answer(apiResponse{status: http.StatusAccepted})
		return
	}
	retryAfter := defaultRetryAfter
	if full := (*backlog.FullError)(nil); errors.As(err, &full) && full.RetryAfter > 0 {
		retryAfter = min(full.RetryAfter, r.settings.Load().MaxRetryAfter)
	}
	if r.overflow.refused++; !r.stopped && r.overflow.refused%maxBatch == 1 {
		slog.Error("cannot store a message in the backlog", "err", err, "remedy", remedy.Of(err), "refused", r.overflow.refused)
	}
	r.refuse(m, retryAfter)
}

// withdrawStored ends a message on disk whose client disconnected before it was answered, and reports whether it did.
// A message that was sent twice continues.
func (r *Relay) withdrawStored(journalEntry *journal.Entry) bool {
	o := r.overflow
	if o == nil || o.store == nil || r.nextProcess != nil || o.resentIDs.has(journalEntry.ID) || r.journal.Entry(journalEntry.ID) != nil || o.store.LenOf(journalEntry.Dest) == 0 {
		return false
	}
	stored, found, err := o.store.Find(journalEntry.Dest, journalEntry.ID)
	if err == nil && found {
		err = o.store.Remove(journalEntry.Dest, stored.Sequence)
	}
	if err != nil {
		slog.Error("cannot withdraw a message from the backlog", "err", err, "remedy", remedy.Of(err))
	}
	return err == nil && found
}

// reopenBacklog opens the directory again after a failed handover. If that fails, later turns of the loop retry it,
// and nothing is accepted meanwhile.
func (r *Relay) reopenBacklog() {
	if o := r.overflow; o.broken() {
		if err := r.openBacklogFolder(); err != nil {
			r.pauseLoading("cannot open the backlog", err, defaultRetryAfter)
		}
	}
}
