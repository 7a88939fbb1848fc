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
const maxDocumentBytes = 48 << 10

// StateMost is how much of the folder that lasts a Kept takes at most, in bytes.
const MaxStateBytes = 6*maxDocumentBytes + 8<<10

// generation is one whose document has been checked, with this relay's own keys in it.
type generation struct {
	document json.RawMessage
	settings settings.Settings
}

// File is the relay's own settings.
type File struct {
	Raw      json.RawMessage
	Settings settings.Settings
}

// Kept is what the loop holds. It is not safe for concurrent use.
type Member struct {
	Instance         string // of this process
	PreviousInstance string // of the one that kept what this one found; empty for none

	path        string
	file        File
	lease       hold.Lease
	generations map[uint64]generation
	status      hold.Status
	settings    settings.Settings // by which the relay acts
}

// Open takes up what an earlier process kept, if it can be read: its lease is over, for no clock has been running
// since, so the relay acts by the fallback until it hears from the keepers.
func Open(dir, instance string, file File) *Member {
	m := &Member{Instance: instance, path: statePath(dir), file: file, generations: map[uint64]generation{}, settings: file.Settings}
	state, err := readState(m.path)
	if err != nil {
		slog.Warn("what was agreed on is not taken up", "err", err)
		return m
	}
	if state == nil {
		return m
	}
	m.PreviousInstance = state.Instance
	for _, g := range state.Generations {
		if err := m.addGeneration(&g); err != nil {
			slog.Warn("what was agreed on is not taken up", "generation", g.Number, "err", err)
			return m
		}
	}
	m.lease.Resume(hold.Grant{Revision: state.Revision, Current: state.Current, Next: state.Next})
	return m
}

// Sign notes in the folder that this process is the relay's now, so that the next one can say from whom it takes over: else
// the keepers take it for another of that name until a lease is over.
func (m *Member) RecordInstance() error {
	status := m.lease.Status(0)
	return m.save(hold.Grant{Revision: status.Revision, Current: status.Current, Next: status.Next})
}

// learn checks a document as a reload checks a file, and keeps it.
func (m *Member) addGeneration(g *api.Generation) error {
	if _, known := m.generations[g.Number]; known || g.Doc == nil {
		return nil
	}
	if len(g.Doc) > maxDocumentBytes {
		return fmt.Errorf("the document has %d bytes, of %d", len(g.Doc), maxDocumentBytes)
	}
	var document struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(g.Doc, &document); err != nil {
		return err
	}
	adapted, err := settings.Adapt(document.Settings, m.file.Raw)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := settings.Complete(m.file.Raw, adapted); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	set, err := settings.Parse(adapted)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	m.generations[g.Number] = generation{slices.Clone(g.Doc), set}
	return nil
}

// by is the settings that a way of acting means.
func (m *Member) settingsFor(status hold.Status) (settings.Settings, error) {
	own := m.file.Settings
	if status.Mode == hold.OwnFile {
		return own, nil
	}
	set := own
	if status.Current != 0 {
		g, ok := m.generations[status.Current]
		if !ok {
			return own, fmt.Errorf("the document of generation %d is missing", status.Current)
		}
		set = g.settings
	}
	if status.Next != 0 {
		g, ok := m.generations[status.Next]
		if !ok {
			return own, fmt.Errorf("the document of generation %d is missing", status.Next)
		}
		var err error
		if set, err = settings.Join(set, g.settings); err != nil {
			return own, err
		}
	}
	if status.Mode == hold.Fallback {
		return settings.Join(set, own)
	}
	return set, nil
}

// Look tells by which settings the relay acts now, and whether that has changed since it looked last. The loop looks
// before it does anything, so one that was stopped for longer than its lease acts by the fallback when it goes on.
func (m *Member) Refresh(now time.Duration) (set settings.Settings, changed bool) {
	status := m.lease.Status(now)
	if status == m.status {
		return m.settings, false
	}
	set, err := m.settingsFor(status)
	if err != nil { // of what it held it cannot say what it allows: its own file is left
		slog.Error("acts by its own file", "mode", status.Mode.String(), "generation", status.Current, "err", err)
		set = m.file.Settings
	}
	slog.Info("acts", "mode", status.Mode.String(), "turn", status.Revision, "generation", status.Current, "next", status.Next)
	m.status, m.settings = status, set
	return set, true
}

// Left is how much of the lease there is; 0 once the relay acts by the fallback, or never held one.
func (m *Member) LeaseRemaining(now time.Duration) time.Duration { return m.lease.Remaining(now) }

// Acting is by what the relay acts since it looked last, in words for logs and figures.
func (m *Member) Status() hold.Status { return m.status }

// SetFile takes another file of the relay's own up.
func (m *Member) SetFile(f File) {
	m.file = f
	for number, g := range m.generations { // with the relay's own keys as the file has them now
		delete(m.generations, number)
		if err := m.addGeneration(&api.Generation{Number: number, Doc: g.document}); err != nil {
			slog.Warn("the file does not go with what was agreed on", "generation", number, "err", err)
			m.generations[number] = g
		}
	}
	m.status = hold.Status{Mode: -1} // what it means may have changed
}

// Word is what the keepers are to be told of an answer of theirs.
type Reply struct {
	Confirm uint64 // a turn that the relay acts by; 0 for none
	Reject  uint64 // a generation that it cannot act by; 0 for none
	Reason  string
	// Leave says that it cannot act by what is in force: it has no part in the fleet until it can.
	Leave bool
}

// Hear takes an answer in, and says what is to be told in turn. Confirm may be told only once the loop has looked
// again and acts by the settings that Look says.
func (m *Member) Receive(now, requestedAt time.Duration, standing api.Standing) (Reply, error) {
	grant := hold.Grant{RequestedAt: requestedAt, Duration: time.Duration(standing.LeaseMS) * time.Millisecond, Revision: standing.Turn}
	if standing.Force != nil {
		grant.Current = standing.Force.Number
		if err := m.addGeneration(standing.Force); err != nil {
			return Reply{Leave: true, Reason: err.Error()}, &UnusableGeneration{grant.Current, true, err}
		}
	}
	if standing.Next != nil {
		grant.Next = standing.Next.Number
		if err := m.addGeneration(standing.Next); err != nil {
			return Reply{Reject: grant.Next, Reason: err.Error()}, &UnusableGeneration{grant.Next, false, err}
		}
	}
	if _, err := m.settingsFor(hold.Status{Mode: hold.Joined, Current: grant.Current, Next: grant.Next}); err != nil && grant.Next != 0 {
		delete(m.generations, grant.Next)
		return Reply{Reject: grant.Next, Reason: err.Error()}, &UnusableGeneration{grant.Next, false, err}
	} else if err != nil {
		return Reply{}, err
	}
	if err := m.lease.Renew(now, grant); err != nil {
		return Reply{}, err
	}
	pending, ok := m.lease.Pending()
	if !ok {
		if standing.Confirmed == grant.Revision {
			return Reply{}, nil
		}
		return Reply{Confirm: grant.Revision}, nil // once more: the word of it was lost, or the session is another
	}
	// On disk first: a process that dies now goes on from the newer turn, never from the older.
	if err := m.save(pending); err != nil {
		return Reply{}, err
	}
	if err := m.lease.Adopt(pending.Revision); err != nil {
		return Reply{}, err
	}
	for number := range m.generations {
		if number != pending.Current && number != pending.Next {
			delete(m.generations, number)
		}
	}
	return Reply{Confirm: pending.Revision}, nil
}

// Have are the generations whose documents are known.
func (m *Member) KnownGenerations() (numbers []uint64) {
	for number := range m.generations {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
