package relay

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/settings"
	"larchrouter/internal/steady"
)

// earlierTermsGrace is how long clients may still submit messages by settings that were replaced: they learn of a change
// later than the relay does. Tests change it.
var earlierTermsGrace = 2 * time.Second

// maxClassTermsBytes limits the record of the terms that clients may know. Its space comes from the part of the journal
// that is reserved for the ends of messages.
const maxClassTermsBytes = 32 << 10

// activeSettings are the settings in effect. They are replaced, never modified.
type activeSettings struct {
	settings.Settings // the classes in effect come first, then removed ones that are still accepted
	currentClasses    int
	earlier           []earlierTerms
	// unknownUntil is the time until which clients may know terms that this process does not, because their record was
	// lost.
	unknownUntil time.Duration
}

// earlierTerms are the terms of a class in settings that were replaced. Clients may know them until the given time.
type earlierTerms struct {
	choice.Terms
	until time.Duration
}

// termsFor returns the terms for a message of a class, or nil if no client can know such a class. While clients may know
// several versions of a class, the strictest of all applies; but a message without a key can only belong to one that
// requires none.
func (s *activeSettings) termsFor(class string, keyed bool, now time.Duration) *choice.Terms {
	versions := s.knownVersions(class, now)
	if requiresKey := func(v choice.Terms) bool { return v.Class.Effect == choice.Keyed }; !keyed && !all(versions, requiresKey) {
		versions = slices.DeleteFunc(versions, requiresKey)
	}
	if len(versions) == 0 {
		return nil
	}
	terms := versions[0]
	for _, other := range versions[1:] {
		if other.Class != terms.Class {
			terms.Class = choice.Stricter(other.Class, terms.Class)
		}
		terms.Attempts = min(terms.Attempts, other.Attempts)
	}
	if s.unknownUntil > 0 && now < s.unknownUntil { // the time of a request may lie slightly before the start of the clock
		terms.Class.Effect = choice.Unsafe
	}
	return &terms
}

// all reports whether a condition holds for each element.
func all[E any](elements []E, holds func(E) bool) bool {
	return !slices.ContainsFunc(elements, func(e E) bool { return !holds(e) })
}

// knownVersions returns the terms of a class that clients may know, the latest first.
func (s *activeSettings) knownVersions(class string, now time.Duration) (versions []choice.Terms) {
	for _, current := range s.currentTerms() {
		if current.Class.Name == class {
			versions = append(versions, current)
		}
	}
	for _, earlier := range slices.Backward(s.earlier) {
		if earlier.Class.Name == class && now < earlier.until {
			versions = append(versions, earlier.Terms)
		}
	}
	return versions
}

// currentTerms returns the terms of the classes in effect.
func (s *activeSettings) currentTerms() []choice.Terms {
	terms := make([]choice.Terms, s.currentClasses)
	for i, class := range s.Classes[:s.currentClasses] {
		terms[i] = choice.Terms{Class: class, Attempts: s.MaxAttempts}
	}
	return terms
}

// classIndex returns the index of a class, or -1 if there is none.
func (s *activeSettings) classIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(class choice.Class) bool { return class.Name == name })
}

// replacedBy returns the settings that replace these.
func (s *activeSettings) replacedBy(next settings.Settings, now time.Duration) *activeSettings {
	earlier := slices.Clone(s.earlier)
	for _, terms := range s.currentTerms() {
		earlier = addEarlier(earlier, earlierTerms{terms, now + earlierTermsGrace})
	}
	return newActiveSettings(next, earlier, s.unknownUntil, now)
}

// newActiveSettings returns settings in effect, beside the earlier terms that clients may still know.
func newActiveSettings(current settings.Settings, earlier []earlierTerms, unknownUntil, now time.Duration) *activeSettings {
	active := &activeSettings{Settings: current, currentClasses: len(current.Classes), unknownUntil: unknownUntil}
	active.Classes = slices.Clone(current.Classes)
	for _, terms := range earlier {
		if now >= terms.until {
			continue
		}
		active.earlier = append(active.earlier, terms)
	}
	for _, terms := range slices.Backward(active.earlier) {
		if active.classIndex(terms.Class.Name) < 0 {
			active.Classes = append(active.Classes, terms.Class)
		}
	}
	return active
}

// addEarlier adds terms as the latest ones. The same terms from before are removed, so that the number of terms does not
// grow with the number of replacements.
func addEarlier(earlier []earlierTerms, added earlierTerms) []earlierTerms {
	earlier = slices.DeleteFunc(earlier, func(e earlierTerms) bool {
		if e.Terms == added.Terms {
			added.until = max(added.until, e.until)
			return true
		}
		return false
	})
	return append(earlier, added)
}

// recordClassTerms records the terms that clients may know: the next process reads the newest file only.
func (r *Relay) recordClassTerms() {
	active := r.settings.Load()
	record := &journal.ClassTerms{Current: active.currentTerms()}
	for _, terms := range active.earlier {
		record.Earlier = append(record.Earlier, journal.EarlierTerms{Terms: terms.Terms, Until: r.steadyMilli(terms.until)})
	}
	if r.now() < active.unknownUntil {
		record.UnknownUntil = r.steadyMilli(active.unknownUntil)
	}
	if encoded, err := json.Marshal(record); err != nil || len(encoded) > maxClassTermsBytes {
		slog.Warn("terms of the classes are too long to be recorded; after a restart messages are not repeated at first", "bytes", len(encoded), "err", err)
		record = &journal.ClassTerms{Unrecorded: true}
	}
	r.record(journal.Record{Op: journal.OpClassTerms, ClassTerms: record})
}

// steadyMilli converts a time by the relay's clock to Unix milliseconds of the steady clock.
func (r *Relay) steadyMilli(t time.Duration) int64 {
	return steady.UnixMilli() + (t - r.now()).Milliseconds()
}

// resumeClassTerms adds the terms that clients may know from the settings of earlier processes.
func (r *Relay) resumeClassTerms() {
	active, now := r.settings.Load(), r.now()
	stored, ok := r.journal.ClassTerms()
	unknownUntil := time.Duration(0)
	if r.journal.Damaged() || ok && stored.Unrecorded {
		unknownUntil = now + earlierTermsGrace
	} else if stored.UnknownUntil > 0 {
		unknownUntil = now + min(steady.Until(stored.UnknownUntil), earlierTermsGrace)
	}
	var earlier []earlierTerms
	for _, terms := range stored.Earlier {
		earlier = append(earlier, earlierTerms{terms.Terms, now + min(steady.Until(terms.Until), earlierTermsGrace)})
	}
	for _, terms := range stored.Current { // when the file was replaced is not known
		earlier = addEarlier(earlier, earlierTerms{terms, now + earlierTermsGrace})
	}
	resumed := newActiveSettings(active.Settings, earlier, unknownUntil, now)
	r.settings.Store(resumed)
	for _, class := range resumed.Classes {
		r.metrics.declareClass(class.Name)
	}
	r.recordClassTerms()
}
