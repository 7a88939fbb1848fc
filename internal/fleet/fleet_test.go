package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"larchrouter/internal/fleet/lease"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/settings"
	"larchrouter/internal/settings/settingstest"
)

// rawSettings returns settings with a number of attempts and a relay's index.
func rawSettings(t testing.TB, maxAttempts, index int) json.RawMessage {
	return settingstest.Complete(t, fmt.Sprintf(`{"bounds":{"max-attempts":%d,"most-held":10},"classes":[{"name":"order","aim":1,"give-up":4,"effect":"idempotent","group":"all","worth":1}],
		"family-info":{"workers":4,"per-call":[1]},"fleet-size":3,"index":%d,"rules":{"cold":4,"fall":2},"skus":["x"],"tick":0.005,"zone":1,"zones":["a"]}`, maxAttempts, index))
}

// testFile returns a relay's own file with a number of attempts.
func testFile(t testing.TB, maxAttempts int) File {
	t.Helper()
	parsed, err := settings.Parse(rawSettings(t, maxAttempts, 7))
	if err != nil {
		t.Fatal(err)
	}
	return File{rawSettings(t, maxAttempts, 7), parsed}
}

// testGeneration returns a generation whose settings have a number of attempts.
func testGeneration(t testing.TB, number uint64, maxAttempts int) *api.Generation {
	return &api.Generation{Number: number, Doc: fmt.Appendf(nil, `{"settings":%s}`, rawSettings(t, maxAttempts, 0))}
}

// refresh calls Refresh, and returns the mode and the number of attempts by which the relay acts then.
func refresh(m *Member, now time.Duration) string {
	applied, _ := m.Refresh(now)
	return fmt.Sprintf("%s %d", m.Status().Mode, applied.MaxAttempts)
}

func checkText(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// Guards against a relay that acts by other settings than it may: in both steps of a change, after the end of its lease, and in
// the next process.
func TestMemberFollowsChangesAndLease(t *testing.T) {
	dir := t.TempDir()
	m := Open(dir, "one", testFile(t, 5))
	const leaseMS = 10000
	receive := func(now time.Duration, response api.SessionResponse) Reply {
		t.Helper()
		response.LeaseMS = leaseMS
		reply, err := m.Receive(now, now-time.Second, response)
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	checkText(t, "before any answer", refresh(m, 0), "own 5")
	reply := receive(2*time.Second, api.SessionResponse{Revision: 1, Prepared: testGeneration(t, 1, 8)})
	checkText(t, "the first generation prepared", refresh(m, 2*time.Second), "joined 5")
	checkText(t, "confirms", fmt.Sprint(reply.Confirm), "1")
	reply = receive(3*time.Second, api.SessionResponse{Revision: 2, Effective: &api.Generation{Number: 1}}) // its document is known
	checkText(t, "in effect", refresh(m, 3*time.Second), "alone 8")
	checkText(t, "confirms", fmt.Sprint(reply.Confirm), "2")
	if applied, _ := m.Refresh(3 * time.Second); applied.Index != 7 {
		t.Errorf("index %d, want 7 from the relay's own file", applied.Index)
	}
	checkText(t, "the same answer again", fmt.Sprint(receive(4*time.Second, api.SessionResponse{Revision: 2, Effective: &api.Generation{Number: 1}, ConfirmedRevision: 2})), fmt.Sprint(Reply{}))
	receive(5*time.Second, api.SessionResponse{Revision: 3, Effective: &api.Generation{Number: 1}, Prepared: testGeneration(t, 2, 3)})
	checkText(t, "the second generation prepared", refresh(m, 5*time.Second), "joined 3")
	checkText(t, "just before its lease ends", refresh(m, 14*time.Second-1), "joined 3")
	checkText(t, "as its lease ends", refresh(m, 14*time.Second), "fallback 3")
	if _, err := m.Receive(15*time.Second, 14*time.Second, api.SessionResponse{Revision: 2, LeaseMS: leaseMS, Effective: &api.Generation{Number: 1}}); err == nil {
		t.Error("an older revision is accepted")
	}
	receive(16*time.Second, api.SessionResponse{Revision: 4, Effective: &api.Generation{Number: 2}})
	checkText(t, "after another answer", refresh(m, 16*time.Second), "alone 3")

	next := Open(dir, "two", testFile(t, 2))
	checkText(t, "the next process", refresh(next, 0), "fallback 2")
	checkText(t, "the previous process", next.PreviousInstance, "one")
	next = Open(dir, "two", testFile(t, 6))
	checkText(t, "the next process, with a wider file", refresh(next, 0), "fallback 3")
	next.SetFile(testFile(t, 1))
	checkText(t, "the next process, with a narrower file", refresh(next, time.Second), "fallback 1")
}

// Guards against an unusable generation that is applied in part, or that removes the one in effect.
func TestUnusableGenerationIsRejected(t *testing.T) {
	m := Open(t.TempDir(), "one", testFile(t, 5))
	if _, err := m.Receive(2*time.Second, time.Second, api.SessionResponse{Revision: 1, LeaseMS: 10000, Effective: testGeneration(t, 1, 4)}); err != nil {
		t.Fatal(err)
	}
	otherClass := strings.Replace(string(rawSettings(t, 3, 0)), `"order"`, `"other"`, 1)
	for name, document := range map[string]string{
		"no JSON":                   `{"settings":`,
		"no settings":               `{}`,
		"an unknown effect":         `{"settings":` + strings.Replace(string(rawSettings(t, 3, 0)), "idempotent", "odd", 1) + `}`,
		"a missing key of the file": `{"settings":` + strings.Replace(string(rawSettings(t, 3, 0)), `"tick":0.005,`, "", 1) + `}`,
		"no class in common":        `{"settings":` + otherClass + `}`,
		"too long":                  `{"settings":{"x":"` + strings.Repeat("x", maxDocumentBytes) + `"}}`,
	} {
		reply, err := m.Receive(3*time.Second, 2*time.Second, api.SessionResponse{Revision: 2, LeaseMS: 10000, Effective: &api.Generation{Number: 1}, Prepared: &api.Generation{Number: 2, Doc: json.RawMessage(document)}})
		if err == nil || reply.Reject != 2 || reply.Confirm != 0 || reply.Reason == "" {
			t.Errorf("%s: %+v, %v", name, reply, err)
		}
		checkText(t, name, refresh(m, 3*time.Second), "alone 4")
	}
	reply, err := m.Receive(4*time.Second, 3*time.Second, api.SessionResponse{Revision: 3, LeaseMS: 10000, Effective: &api.Generation{Number: 3, Doc: json.RawMessage(`{}`)}})
	if err == nil || !reply.Leave {
		t.Errorf("%+v, %v: want Leave, as the relay cannot act on the generation in effect", reply, err)
	}
	checkText(t, "until its lease ends", refresh(m, 4*time.Second), "alone 4")
	checkText(t, "after it", refresh(m, 11*time.Second), "fallback 4")
}

// Guards against a relay that acts on damaged stored state, or that cannot start with it.
func TestDamagedStateIsIgnored(t *testing.T) {
	dir := t.TempDir()
	m := Open(dir, "one", testFile(t, 5))
	if _, err := m.Receive(2*time.Second, time.Second, api.SessionResponse{Revision: 1, LeaseMS: 1000, Effective: testGeneration(t, 1, 4)}); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(filepath.Join(dir, "fleet"))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		data := bytes.Clone(whole)
		at := rapid.IntRange(0, len(data)-2).Draw(rt, "at")
		if rapid.Bool().Draw(rt, "cut") {
			data = data[:at]
		} else {
			data[at] ^= byte(rapid.IntRange(1, 255).Draw(rt, "flip"))
		}
		if err := os.WriteFile(filepath.Join(dir, "fleet"), data, 0o600); err != nil {
			rt.Fatal(err)
		}
		if got := refresh(Open(dir, "two", testFile(t, 5)), 0); got != "own 5" {
			rt.Fatalf("with a damaged file it acts by %s", got)
		}
	})
}

// fakeKeepers answers the calls of sessions as a test determines.
type fakeKeepers struct {
	mu            sync.Mutex
	answer        func(path string, body []byte) (status int, out any) // with status 0 the answer is lost
	callsBySecond map[int]int                                          // by the second after startedAt
	startedAt     time.Time
}

func (k *fakeKeepers) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	if k.callsBySecond == nil {
		k.callsBySecond, k.startedAt = map[int]int{}, time.Now()
	}
	k.callsBySecond[int(time.Since(k.startedAt)/time.Second)]++
	status, out := k.answer(req.URL.Path, body)
	k.mu.Unlock()
	if status == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if req.URL.Path == api.SessionPath && status == 200 { // it waits for a change
		select {
		case <-time.After(time.Second):
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(data))}, nil
}

// newSession returns a session of one relay of a fleet with the keepers.
func newSession(keepers *fakeKeepers, seed uint64, fleetSize int, handleAnswer func(Answer) ([]uint64, Reply, bool)) *Session {
	startedAt := time.Now()
	return &Session{Client: &api.Client{HTTP: &http.Client{Transport: keepers}, Keepers: []string{"a:1", "b:1", "c:1"}}, Name: "relay", Seed: seed,
		FleetSize: func() int { return fleetSize }, Now: func() time.Duration { return time.Since(startedAt) }, HandleAnswer: handleAnswer, Instance: "one"}
}

// Guards against a reply that is lost for good, and one that is sent after a newer one.
func TestReplyIsSentUntilReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		var confirmed []uint64
		revision := uint64(0)
		keepers := &fakeKeepers{}
		keepers.answer = func(path string, body []byte) (int, any) {
			if random.IntN(3) == 0 {
				return 0, nil
			}
			switch path {
			case api.SessionPath:
				revision++
				return 200, api.SessionResponse{LeaseMS: 4000, Revision: revision}
			case api.ConfirmPath:
				var message api.MemberReport
				json.Unmarshal(body, &message)
				confirmed = append(confirmed, message.Revision)
				return 204, nil
			}
			t.Errorf("unexpected call of %s", path)
			return 404, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s := newSession(keepers, 1, 3, func(answer Answer) ([]uint64, Reply, bool) {
			return nil, Reply{Confirm: answer.Response.Revision}, true
		})
		s.Run(ctx)
		if len(confirmed) < 20 {
			t.Errorf("%d revisions confirmed in a minute, want at least 20", len(confirmed))
		}
		for i := range confirmed[1:] {
			if confirmed[i+1] < confirmed[i] {
				t.Errorf("revision %d confirmed after %d", confirmed[i+1], confirmed[i])
			}
		}
	})
}

// Guards against calls that arrive together after the start of a whole fleet or the return of the keepers, and against more calls
// than the leases need.
func TestFleetSpreadsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleetSize = 300
		unreachable := true
		keepers := &fakeKeepers{answer: func(path string, _ []byte) (int, any) {
			if unreachable {
				return 0, nil
			}
			return 200, api.SessionResponse{LeaseMS: 10000}
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
		defer cancel()
		var sessions sync.WaitGroup
		for i := range fleetSize {
			sessions.Go(func() {
				newSession(keepers, uint64(i), fleetSize, func(Answer) ([]uint64, Reply, bool) { return nil, Reply{}, true }).Run(ctx)
			})
		}
		time.Sleep(20 * time.Second)
		keepers.mu.Lock()
		unreachable = false
		keepers.mu.Unlock()
		sessions.Wait()
		mostCalls := 0
		for second, n := range keepers.callsBySecond {
			if mostCalls = max(mostCalls, n); n > 450 {
				t.Errorf("%d calls in second %d, want at most 450", n, second)
			}
		}
		if mostCalls < 100 {
			t.Errorf("at most %d calls a second: too few to renew 300 leases of 10 s", mostCalls)
		}
	})
}

// Guards against an answer or a stored state that makes a relay panic, or act on a generation that it could not check.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"lease_ms":1000,"turn":1,"force":{"number":1,"doc":{"settings":{}}}}`))
	f.Add([]byte(`{"lease_ms":1000,"turn":3,"next":{"number":2}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		parseState(data)
		var response api.SessionResponse
		if json.Unmarshal(data, &response) != nil {
			return
		}
		m := Open(t.TempDir(), "one", testFile(t, 5))
		reply, err := m.Receive(2*time.Second, time.Second, response)
		m.Refresh(2 * time.Second)
		if err != nil && reply.Confirm != 0 {
			t.Errorf("%+v is confirmed after %v", reply, err)
		}
		if status := m.Status(); err != nil && status.Mode != lease.OwnFile {
			t.Errorf("it acts on %+v after %v", status, err)
		}
	})
}
