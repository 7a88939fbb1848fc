// Package fleet is a relay's part of what the fleet agrees on: its session with the keepers, the generations that it
// holds by lease, and by which settings it acts now. What the relay's loop owns (Kept) and what waits for the network
// (Session) are apart.
package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"larchrouter/internal/fleet/hold"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/settings"
)

// docMost bounds a generation's document at a relay, whose disk is small: two are kept, and a copy as they change.
const docMost = 48 << 10

// StateMost is how much of the folder that lasts a Kept takes at most, in bytes.
const StateMost = 6*docMost + 8<<10

// generation is one whose document has been checked, with this relay's own keys in it.
type generation struct {
	doc json.RawMessage
	set settings.Settings
}

// File is the relay's own settings.
type File struct {
	Raw json.RawMessage
	Set settings.Settings
}

// Kept is what the loop holds. It is not safe for concurrent use.
type Kept struct {
	Instance string // of this process
	Before   string // of the one that kept what this one found; empty for none

	path   string
	file   File
	hold   hold.Holder
	docs   map[uint64]generation
	acting hold.Acts
	set    settings.Settings // by which the relay acts
}

// Open takes up what an earlier process kept, if it can be read: its lease is over, for no clock has been running
// since, so the relay acts by the fallback until it hears from the keepers.
func Open(dir, instance string, file File) *Kept {
	k := &Kept{Instance: instance, path: statePath(dir), file: file, docs: map[uint64]generation{}, set: file.Set}
	s, err := readState(k.path)
	if err != nil {
		slog.Warn("what was agreed on is not taken up", "err", err)
		return k
	}
	if s == nil {
		return k
	}
	k.Before = s.Instance
	for _, g := range s.Generations {
		if err := k.learn(&g); err != nil {
			slog.Warn("what was agreed on is not taken up", "generation", g.Number, "err", err)
			return k
		}
	}
	k.hold.Resume(hold.Told{Turn: s.Turn, Force: s.Force, Next: s.Next})
	return k
}

// Sign notes in the folder that this process is the relay's now, so that the next one can say from whom it takes over: else
// the keepers take it for another of that name until a lease is over.
func (k *Kept) Sign() error {
	a := k.hold.Acts(0)
	return k.save(hold.Told{Turn: a.Turn, Force: a.Force, Next: a.Next})
}

// learn checks a document as a reload checks a file, and keeps it.
func (k *Kept) learn(g *api.Generation) error {
	if _, known := k.docs[g.Number]; known || g.Doc == nil {
		return nil
	}
	if len(g.Doc) > docMost {
		return fmt.Errorf("the document has %d bytes, of %d", len(g.Doc), docMost)
	}
	var d struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(g.Doc, &d); err != nil {
		return err
	}
	adapted, err := settings.Adapt(d.Settings, k.file.Raw)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := settings.Complete(k.file.Raw, adapted); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	set, err := settings.Parse(adapted)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	k.docs[g.Number] = generation{slices.Clone(g.Doc), set}
	return nil
}

// by is the settings that a way of acting means.
func (k *Kept) by(a hold.Acts) (settings.Settings, error) {
	own := k.file.Set
	if a.Mode == hold.Own {
		return own, nil
	}
	set := own
	if a.Force != 0 {
		g, ok := k.docs[a.Force]
		if !ok {
			return own, fmt.Errorf("the document of generation %d is missing", a.Force)
		}
		set = g.set
	}
	if a.Next != 0 {
		g, ok := k.docs[a.Next]
		if !ok {
			return own, fmt.Errorf("the document of generation %d is missing", a.Next)
		}
		var err error
		if set, err = settings.Join(set, g.set); err != nil {
			return own, err
		}
	}
	if a.Mode == hold.Fallback {
		return settings.Join(set, own)
	}
	return set, nil
}

// Look tells by which settings the relay acts now, and whether that has changed since it looked last. The loop looks
// before it does anything, so one that was stopped for longer than its lease acts by the fallback when it goes on.
func (k *Kept) Look(now time.Duration) (set settings.Settings, changed bool) {
	a := k.hold.Acts(now)
	if a == k.acting {
		return k.set, false
	}
	set, err := k.by(a)
	if err != nil { // of what it held it cannot say what it allows: its own file is left
		slog.Error("acts by its own file", "mode", a.Mode.String(), "generation", a.Force, "err", err)
		set = k.file.Set
	}
	slog.Info("acts", "mode", a.Mode.String(), "turn", a.Turn, "generation", a.Force, "next", a.Next)
	k.acting, k.set = a, set
	return set, true
}

// Left is how much of the lease there is; 0 once the relay acts by the fallback, or never held one.
func (k *Kept) Left(now time.Duration) time.Duration { return k.hold.Left(now) }

// Acting is by what the relay acts since it looked last, in words for logs and figures.
func (k *Kept) Acting() hold.Acts { return k.acting }

// SetFile takes another file of the relay's own up.
func (k *Kept) SetFile(f File) {
	k.file = f
	for n, g := range k.docs { // with the relay's own keys as the file has them now
		delete(k.docs, n)
		if err := k.learn(&api.Generation{Number: n, Doc: g.doc}); err != nil {
			slog.Warn("the file does not go with what was agreed on", "generation", n, "err", err)
			k.docs[n] = g
		}
	}
	k.acting = hold.Acts{Mode: -1} // what it means may have changed
}

// Word is what the keepers are to be told of an answer of theirs.
type Word struct {
	Confirm uint64 // a turn that the relay acts by; 0 for none
	Reject  uint64 // a generation that it cannot act by; 0 for none
	Reason  string
	// Leave says that it cannot act by what is in force: it has no part in the fleet until it can.
	Leave bool
}

// Hear takes an answer in, and says what is to be told in turn. Confirm may be told only once the loop has looked
// again and acts by the settings that Look says.
func (k *Kept) Hear(now, asked time.Duration, s api.SessionResponse) (Word, error) {
	t := hold.Told{Asked: asked, Lease: time.Duration(s.LeaseMS) * time.Millisecond, Turn: s.Revision}
	if s.Effective != nil {
		t.Force = s.Effective.Number
		if err := k.learn(s.Effective); err != nil {
			return Word{Leave: true, Reason: err.Error()}, &Unfit{t.Force, true, err}
		}
	}
	if s.Prepared != nil {
		t.Next = s.Prepared.Number
		if err := k.learn(s.Prepared); err != nil {
			return Word{Reject: t.Next, Reason: err.Error()}, &Unfit{t.Next, false, err}
		}
	}
	if _, err := k.by(hold.Acts{Mode: hold.Joined, Force: t.Force, Next: t.Next}); err != nil && t.Next != 0 {
		delete(k.docs, t.Next)
		return Word{Reject: t.Next, Reason: err.Error()}, &Unfit{t.Next, false, err}
	} else if err != nil {
		return Word{}, err
	}
	if err := k.hold.Hear(now, t); err != nil {
		return Word{}, err
	}
	due, ok := k.hold.Due()
	if !ok {
		if s.ConfirmedRevision == t.Turn {
			return Word{}, nil
		}
		return Word{Confirm: t.Turn}, nil // once more: the word of it was lost, or the session is another
	}
	// On disk first: a process that dies now goes on from the newer turn, never from the older.
	if err := k.save(due); err != nil {
		return Word{}, err
	}
	if err := k.hold.Take(due.Turn); err != nil {
		return Word{}, err
	}
	for n := range k.docs {
		if n != due.Force && n != due.Next {
			delete(k.docs, n)
		}
	}
	return Word{Confirm: due.Turn}, nil
}

// Have are the generations whose documents are known.
func (k *Kept) Have() (all []uint64) {
	for n := range k.docs {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}
