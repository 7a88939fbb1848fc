// Package fleet is a relay's membership in a fleet: its session with the keepers, the generations of the configuration that it
// may act on under a lease, and the settings by which it acts now. The state that belongs to the relay's loop (Member) is
// separate from the code that waits for the network (Session).
package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"larchrouter/internal/fleet/lease"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/settings"
)

// maxDocumentBytes is the maximum size of a generation's document. A relay's disk is small, and it stores two documents, and a
// second copy of both while they are replaced.
const maxDocumentBytes = 48 << 10

// MaxStateBytes is the most that the stored state of a Member takes in the persistent folder, in bytes.
const MaxStateBytes = 6*maxDocumentBytes + 8<<10

// generation is a generation whose document has been checked. The settings have this relay's own keys.
type generation struct {
	document json.RawMessage
	settings settings.Settings
}

// File is the settings from the relay's own file, as text and parsed.
type File struct {
	Raw      json.RawMessage
	Settings settings.Settings
}

// Member is a relay's state as a member of the fleet, which belongs to the relay's loop. It is not safe for concurrent use.
type Member struct {
	Instance         string // identifies this process
	PreviousInstance string // identifies the process that stored the state found by Open; empty if there was none

	path        string
	file        File
	lease       lease.Lease
	generations map[uint64]generation
	status      lease.Status
	settings    settings.Settings // by which the relay acts now
}

// Open returns a Member with the state that an earlier process stored in dir, or with none if that state is absent or cannot be
// read. The stored lease counts as expired, as no clock has measured the time since. The relay therefore acts by the fallback
// until the keepers answer.
func Open(dir, instance string, file File) *Member {
	m := &Member{Instance: instance, path: statePath(dir), file: file, generations: map[uint64]generation{}, settings: file.Settings}
	state, err := readState(m.path)
	if err != nil {
		slog.Warn("stored fleet state cannot be read and is ignored", "err", err)
		return m
	}
	if state == nil {
		return m
	}
	m.PreviousInstance = state.Instance
	for _, g := range state.Generations {
		if err := m.addGeneration(&g); err != nil {
			slog.Warn("stored generation cannot be used; the stored fleet state is ignored", "generation", g.Number, "err", err)
			return m
		}
	}
	m.lease.Resume(lease.Grant{Revision: state.Revision, Current: state.Current, Next: state.Next})
	return m
}

// RecordInstance stores this process's Instance with the state, so that the next process can name the one that it takes over
// from. Otherwise the keepers would take it for another relay of the same name until a lease has expired.
func (m *Member) RecordInstance() error {
	status := m.lease.Status(0)
	return m.save(lease.Grant{Revision: status.Revision, Current: status.Current, Next: status.Next})
}

// addGeneration checks a document as a reload checks a file, and retains it. The text of its errors is sent to the keepers.
func (m *Member) addGeneration(received *api.Generation) error {
	if _, known := m.generations[received.Number]; known || received.Doc == nil {
		return nil
	}
	if len(received.Doc) > maxDocumentBytes {
		return fmt.Errorf("the document has %d bytes, of %d", len(received.Doc), maxDocumentBytes)
	}
	var document struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(received.Doc, &document); err != nil {
		return err
	}
	adapted, err := settings.Adapt(document.Settings, m.file.Raw)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := settings.CheckComplete(adapted); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	parsed, err := settings.Parse(adapted)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	m.generations[received.Number] = generation{slices.Clone(received.Doc), parsed}
	return nil
}

// settingsFor returns the settings by which a relay of that status acts. It returns an error, and the settings of the relay's own
// file, if a document is missing or two generations cannot be joined.
func (m *Member) settingsFor(status lease.Status) (settings.Settings, error) {
	ownSettings := m.file.Settings
	if status.Mode == lease.OwnFile {
		return ownSettings, nil
	}
	allowed := ownSettings
	if status.Current != 0 {
		g, ok := m.generations[status.Current]
		if !ok {
			return ownSettings, fmt.Errorf("the document of generation %d is missing", status.Current)
		}
		allowed = g.settings
	}
	if status.Next != 0 {
		g, ok := m.generations[status.Next]
		if !ok {
			return ownSettings, fmt.Errorf("the document of generation %d is missing", status.Next)
		}
		var err error
		if allowed, err = settings.Join(allowed, g.settings); err != nil {
			return ownSettings, err
		}
	}
	if status.Mode == lease.Fallback {
		return settings.Join(allowed, ownSettings)
	}
	return allowed, nil
}

// Refresh returns the settings by which the relay acts now, and whether they may have changed since the last call. The loop calls
// it before any other work, so a process that was stopped for longer than its lease acts by the fallback when it resumes.
func (m *Member) Refresh(now time.Duration) (applied settings.Settings, changed bool) {
	status := m.lease.Status(now)
	if status == m.status {
		return m.settings, false
	}
	applied, err := m.settingsFor(status)
	if err != nil { // what the generations allow is unknown, so only the relay's own file remains
		slog.Error("cannot act by the fleet's settings; acting by the relay's own file", "mode", status.Mode.String(), "generation", status.Current, "err", err)
		applied = m.file.Settings
	}
	slog.Info("acts", "mode", status.Mode.String(), "turn", status.Revision, "generation", status.Current, "next", status.Next)
	m.status, m.settings = status, applied
	return applied, true
}

// LeaseRemaining returns the rest of the lease; 0 if it has expired, or there never was one.
func (m *Member) LeaseRemaining(now time.Duration) time.Duration { return m.lease.Remaining(now) }

// Status returns what the relay has acted on since the last Refresh, for logs and metrics.
func (m *Member) Status() lease.Status { return m.status }

// SetFile replaces the relay's own file. It takes effect with the next Refresh. A generation that cannot be used together with
// the new file keeps the settings that it had with the old one.
func (m *Member) SetFile(f File) {
	m.file = f
	for number, g := range m.generations { // parse again with the relay's own keys from the new file
		delete(m.generations, number)
		if err := m.addGeneration(&api.Generation{Number: number, Doc: g.document}); err != nil {
			slog.Warn("generation cannot be used with the relay's new file; its settings stay as they were", "generation", number, "err", err)
			m.generations[number] = g
		}
	}
	m.status = lease.Status{Mode: -1} // no real mode, so that the next Refresh determines the settings anew
}

// Reply is what the relay has to send to the keepers after an answer of theirs. The zero value means nothing.
type Reply struct {
	Confirm uint64 // revision that the relay acts on; 0 for none
	Reject  uint64 // generation that the relay cannot act on; 0 for none
	Reason  string // of Reject or Leave
	// Leave says that the relay cannot act on the generation in effect, and leaves the fleet until it can.
	Leave bool
}

// Receive processes an answer of the keepers to a request that was sent at requestedAt, and returns the reply to it. Both times
// are by the relay's clock. The reply must not be sent before the loop has called Refresh and acts by the settings that it
// returned, as Confirm says that it does. A generation that cannot be used is reported as *UnusableGeneration, together with a
// reply.
func (m *Member) Receive(now, requestedAt time.Duration, response api.SessionResponse) (Reply, error) {
	grant := lease.Grant{RequestedAt: requestedAt, Duration: time.Duration(response.LeaseMS) * time.Millisecond, Revision: response.Revision}
	if response.Effective != nil {
		grant.Current = response.Effective.Number
		if err := m.addGeneration(response.Effective); err != nil {
			return Reply{Leave: true, Reason: err.Error()}, &UnusableGeneration{grant.Current, true, err}
		}
	}
	if response.Prepared != nil {
		grant.Next = response.Prepared.Number
		if err := m.addGeneration(response.Prepared); err != nil {
			return Reply{Reject: grant.Next, Reason: err.Error()}, &UnusableGeneration{grant.Next, false, err}
		}
	}
	if _, err := m.settingsFor(lease.Status{Mode: lease.Joined, Current: grant.Current, Next: grant.Next}); err != nil && grant.Next != 0 {
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
		if response.ConfirmedRevision == grant.Revision {
			return Reply{}, nil
		}
		return Reply{Confirm: grant.Revision}, nil // confirm again: the confirmation was lost, or there is a new session
	}
	// Store before adopting: if the process dies now, the next one starts from the newer revision, never from the older.
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

// KnownGenerations returns the numbers of the generations whose documents the relay has, in ascending order.
func (m *Member) KnownGenerations() (numbers []uint64) {
	for number := range m.generations {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
