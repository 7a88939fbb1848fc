package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/choice"
	"larchrouter/internal/settings"
)

// clientDelay is how long clients go on by settings that were replaced, as the platform says.
const clientDelay = 1200 * time.Millisecond

// drawFile returns settings in which the class a has some terms, or is absent.
func drawFile(rt *rapid.T) settings.Settings {
	file := settings.Settings{Settings: choice.Settings{MaxAttempts: rapid.IntRange(1, 8).Draw(rt, "attempts")}}
	if rapid.Bool().Draw(rt, "present") {
		file.Classes = []choice.Class{{Name: "a", Aim: time.Second, Deadline: time.Duration(rapid.IntRange(1, 9).Draw(rt, "deadline")) * time.Second,
			Effect: choice.Effect(rapid.IntRange(int(choice.Safe), int(choice.Unsafe)).Draw(rt, "effect")), SameZone: rapid.Bool().Draw(rt, "zone"),
			Window: time.Duration(rapid.IntRange(1, 9).Draw(rt, "window")) * time.Second}}
	}
	return file
}

// checkTerms reports terms under which a message of a client that goes by a file could be repeated more, or for longer, than
// the file allows.
func checkTerms(rt *rapid.T, terms *choice.Terms, file settings.Settings) {
	class := file.Classes[0]
	switch {
	case terms == nil:
		rt.Fatalf("class a of %+v is unknown", class)
	case terms.Class.Effect < class.Effect || terms.Attempts > file.MaxAttempts || terms.Class.Deadline > class.Deadline:
		rt.Fatalf("terms %+v, the client's are %+v and %d attempts", terms, class, file.MaxAttempts)
	case terms.Class.Effect == choice.Keyed && class.Effect == choice.Keyed && (terms.Class.Window > class.Window || class.SameZone && !terms.Class.SameZone):
		rt.Fatalf("terms %+v, the client's are %+v", terms, class)
	}
}

// Guards against a message that is repeated though its client's settings forbid it, because several files have replaced
// them since: with another effect, window, zone rule or deadline, fewer attempts, or without the class.
func TestTermsHoldForEveryFileThatClientsKnow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type usedFile struct {
			settings.Settings
			until time.Duration
		}
		now, active := time.Duration(0), &activeSettings{}
		var used []usedFile
		for range rapid.IntRange(1, 8).Draw(rt, "files") {
			file := drawFile(rt)
			if len(used) > 0 {
				used[len(used)-1].until = now + clientDelay
			}
			used = append(used, usedFile{file, time.Hour})
			active = active.replacedBy(file, now)
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			for _, known := range used {
				if now < known.until && len(known.Classes) > 0 {
					checkTerms(rt, active.termsFor("a", known.Classes[0].Effect == choice.Keyed, now), known.Settings)
				}
			}
		}
		last := used[len(used)-1]
		now += earlierTermsGrace
		switch terms := active.termsFor("a", true, now); {
		case len(last.Classes) == 0 && terms != nil:
			rt.Fatalf("class a is still known: %+v", terms)
		case len(last.Classes) > 0 && (terms == nil || terms.Class != last.Classes[0] || terms.Attempts != last.MaxAttempts):
			rt.Fatalf("terms %+v after the grace period, want those of the last file, %+v", terms, last.Classes[0])
		}
	})
}

// Guards against a message that is repeated though its client's class is at_most_once: the class was dropped and added
// back with another effect meanwhile, and the process that accepts the message has read the newest file only.
func TestEarlierTermsOutlastProcess(t *testing.T) {
	for name, startNext := range map[string]func(t *testing.T, p *fakePlatform, running *Relay, file []byte) *Relay{
		"reload": func(t *testing.T, p *fakePlatform, running *Relay, file []byte) *Relay {
			for _, next := range [][]byte{file, replaceOnce(t, file, `"max-attempts":6`, `"max-attempts":5`)} {
				if err := reloadConfig(t, running, next); err != nil {
					t.Fatal(err)
				}
			}
			return running
		},
		"restart": func(t *testing.T, p *fakePlatform, running *Relay, file []byte) *Relay {
			running.stop()
			<-running.loopEnded
			return startWithFile(t, p, file, running.config.StateDir)
		},
		"upgrade": func(t *testing.T, p *fakePlatform, running *Relay, file []byte) *Relay {
			return startWithFile(t, p, file, running.config.StateDir)
		},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *receivedCall, 10)
			p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
			first := testConfig(t, p)
			running := startWithFile(t, p, first, t.TempDir())
			renamed := replaceOnce(t, first, `"name":"payment"`, `"name":"other"`)
			if err := reloadConfig(t, running, renamed); err != nil {
				t.Fatal(err)
			}
			next := startNext(t, p, running, replaceOnce(t, first, `"effect":"at_most_once"`, `"effect":"idempotent"`))
			if name != "reload" { // its clients submit to the next process
				<-time.After(100 * time.Millisecond)
			}
			status, _ := postMessage(t, next.Addr(), "m1", "payment")
			want(t, "status", status, 202)
			receive(t, calls, "call").answer <- 500
			want(t, "notice", receive(t, p.notices, "notice"), notice{ID: "m1", Status: undeliverable})
			want(t, "further calls", len(calls), 0)
		})
	}
}

// startWithFile starts a relay with a configuration file and a state directory.
func startWithFile(t *testing.T, p *fakePlatform, file []byte, state string) *Relay {
	t.Helper()
	return startRelay(t, p, func(c *Config) {
		config, err := readTestConfig(t, file, state)
		if err != nil {
			t.Fatal(err)
		}
		*c = config
		withAdminAddr(c)
	})
}

// Guards against terms that are forgotten because their record is too long or was damaged: nothing is repeated then until
// no client can know them.
func TestUnknownEarlierTermsForbidRepeats(t *testing.T) {
	p := newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller"))
	state := t.TempDir()
	running := startWithFile(t, p, testConfig(t, p), state)
	var many settings.Settings
	for i := range 400 {
		many.Classes = append(many.Classes, choice.Class{Name: fmt.Sprint("class-", i), Aim: 1, Deadline: 1})
	}
	recorded := make(chan struct{})
	running.post(func() {
		running.settings.Store(running.settings.Load().replacedBy(many, running.now()))
		running.recordClassTerms()
		running.flush()
		close(recorded)
	})
	<-recorded
	running.stop()
	<-running.loopEnded
	next := startWithFile(t, p, testConfig(t, p), state)
	active, now := next.settings.Load(), next.now()
	want(t, "effect at first", active.termsFor("status-update", false, now).Class.Effect, choice.Unsafe)
	want(t, "effect later", active.termsFor("status-update", false, now+earlierTermsGrace).Class.Effect, choice.Safe)
	want(t, "effect where nothing is unknown, right at the start", running.settings.Load().termsFor("class-0", false, -time.Millisecond).Class.Effect, choice.Safe)
	if slices.ContainsFunc(active.earlier, func(e earlierTerms) bool { return e.Class.Name == "class-0" }) {
		t.Error("terms that were too long to be recorded are known")
	}
}
