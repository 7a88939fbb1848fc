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

	"larchrouter/internal/fleet/hold"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/settings"
)

func raw(attempts, index int) json.RawMessage {
	return fmt.Appendf(nil, `{"bounds":{"max-attempts":%d,"most-held":10},"classes":[{"name":"order","aim":1,"give-up":4,"effect":"idempotent","group":"all","worth":1}],
		"family-info":{"workers":4,"per-call":[1]},"fleet-size":3,"index":%d,"rules":{"cold":4,"fall":2},"skus":["x"],"tick":0.005,"zone":1,"zones":["a"]}`, attempts, index)
}

func file(t testing.TB, attempts int) File {
	t.Helper()
	set, err := settings.Parse(raw(attempts, 7))
	if err != nil {
		t.Fatal(err)
	}
	return File{raw(attempts, 7), set}
}

func gen(number uint64, attempts int) *api.Generation {
	return &api.Generation{Number: number, Doc: fmt.Appendf(nil, `{"settings":%s}`, raw(attempts, 0))}
}

// acts looks, and tells the mode and the number of attempts by which a relay acts.
func acts(k *Kept, now time.Duration) string {
	set, _ := k.Look(now)
	return fmt.Sprintf("%s %d", k.Acting().Mode, set.MaxAttempts)
}

func want(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// Guards against a relay that acts by what it may not: through both steps of a change, past the end of its lease, and
// in the next process.
func TestKept(t *testing.T) {
	dir := t.TempDir()
	k := Open(dir, "one", file(t, 5))
	const lease = 10000
	hear := func(now time.Duration, s api.SessionResponse) Word {
		t.Helper()
		s.LeaseMS = lease
		w, err := k.Hear(now, now-time.Second, s)
		if err != nil {
			t.Fatal(err)
		}
		return w
	}
	want(t, "before any word", acts(k, 0), "own 5")
	w := hear(2*time.Second, api.SessionResponse{Revision: 1, Prepared: gen(1, 8)})
	want(t, "the first one prepared", acts(k, 2*time.Second), "joined 5")
	want(t, "confirms", fmt.Sprint(w.Confirm), "1")
	w = hear(3*time.Second, api.SessionResponse{Revision: 2, Effective: &api.Generation{Number: 1}}) // its document is known
	want(t, "in force", acts(k, 3*time.Second), "alone 8")
	want(t, "confirms", fmt.Sprint(w.Confirm), "2")
	if set, _ := k.Look(3 * time.Second); set.Index != 7 {
		t.Errorf("index %d, want the relay's own", set.Index)
	}
	want(t, "told again", fmt.Sprint(hear(4*time.Second, api.SessionResponse{Revision: 2, Effective: &api.Generation{Number: 1}, ConfirmedRevision: 2})), fmt.Sprint(Word{}))
	hear(5*time.Second, api.SessionResponse{Revision: 3, Effective: &api.Generation{Number: 1}, Prepared: gen(2, 3)})
	want(t, "the second prepared", acts(k, 5*time.Second), "joined 3")
	want(t, "just before its lease ends", acts(k, 14*time.Second-1), "joined 3")
	want(t, "as its lease ends", acts(k, 14*time.Second), "fallback 3")
	if _, err := k.Hear(15*time.Second, 14*time.Second, api.SessionResponse{Revision: 2, LeaseMS: lease, Effective: &api.Generation{Number: 1}}); err == nil {
		t.Error("an older turn is taken")
	}
	hear(16*time.Second, api.SessionResponse{Revision: 4, Effective: &api.Generation{Number: 2}})
	want(t, "heard again", acts(k, 16*time.Second), "alone 3")

	next := Open(dir, "two", file(t, 2))
	want(t, "the next process", acts(next, 0), "fallback 2")
	want(t, "takes over from", next.Before, "one")
	next = Open(dir, "two", file(t, 6))
	want(t, "the next process, with a wider file", acts(next, 0), "fallback 3")
	next.SetFile(file(t, 1))
	want(t, "with a narrower one", acts(next, time.Second), "fallback 1")
}

// Guards against a generation that is taken by half, or that takes away what is held.
func TestRejects(t *testing.T) {
	k := Open(t.TempDir(), "one", file(t, 5))
	if _, err := k.Hear(2*time.Second, time.Second, api.SessionResponse{Revision: 1, LeaseMS: 10000, Effective: gen(1, 4)}); err != nil {
		t.Fatal(err)
	}
	other := strings.Replace(string(raw(3, 0)), `"order"`, `"other"`, 1)
	for name, doc := range map[string]string{
		"no JSON":             `{"settings":`,
		"no settings":         `{}`,
		"an effect of no use": `{"settings":` + strings.Replace(string(raw(3, 0)), "idempotent", "odd", 1) + `}`,
		"what the file has":   `{"settings":` + strings.Replace(string(raw(3, 0)), `"tick":0.005,`, "", 1) + `}`,
		"no class in common":  `{"settings":` + other + `}`,
		"too long":            `{"settings":{"x":"` + strings.Repeat("x", docMost) + `"}}`,
	} {
		w, err := k.Hear(3*time.Second, 2*time.Second, api.SessionResponse{Revision: 2, LeaseMS: 10000, Effective: &api.Generation{Number: 1}, Prepared: &api.Generation{Number: 2, Doc: json.RawMessage(doc)}})
		if err == nil || w.Reject != 2 || w.Confirm != 0 || w.Reason == "" {
			t.Errorf("%s: %+v, %v", name, w, err)
		}
		want(t, name, acts(k, 3*time.Second), "alone 4")
	}
	w, err := k.Hear(4*time.Second, 3*time.Second, api.SessionResponse{Revision: 3, LeaseMS: 10000, Effective: &api.Generation{Number: 3, Doc: json.RawMessage(`{}`)}})
	if err == nil || !w.Leave {
		t.Errorf("%+v, %v: want to leave, for it cannot act by what is in force", w, err)
	}
	want(t, "until its lease ends", acts(k, 4*time.Second), "alone 4")
	want(t, "after it", acts(k, 11*time.Second), "fallback 4")
}

// Guards against a damaged file that is acted by, and one that stops a relay.
func TestDamagedState(t *testing.T) {
	dir := t.TempDir()
	k := Open(dir, "one", file(t, 5))
	if _, err := k.Hear(2*time.Second, time.Second, api.SessionResponse{Revision: 1, LeaseMS: 1000, Effective: gen(1, 4)}); err != nil {
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
		if got := acts(Open(dir, "two", file(t, 5)), 0); got != "own 5" {
			rt.Fatalf("a damaged file: acts by %s", got)
		}
	})
}

// keepers answers the calls of sessions as a test says.
type keepers struct {
	mu    sync.Mutex
	do    func(path string, body []byte) (status int, out any) // status 0: the answer is lost
	calls map[int]int                                          // by second
	began time.Time
}

func (k *keepers) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	if k.calls == nil {
		k.calls, k.began = map[int]int{}, time.Now()
	}
	k.calls[int(time.Since(k.began)/time.Second)]++
	status, out := k.do(req.URL.Path, body)
	k.mu.Unlock()
	if status == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if req.URL.Path == api.SessionPath && status == 200 { // it waits for news
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

func session(k *keepers, seed uint64, fleet int, hear func(Heard) ([]uint64, Word, bool)) *Session {
	began := time.Now()
	return &Session{Client: &api.Client{HTTP: &http.Client{Transport: k}, Keepers: []string{"a:1", "b:1", "c:1"}}, Name: "relay", Seed: seed,
		Fleet: func() int { return fleet }, Now: func() time.Duration { return time.Since(began) }, Hear: hear, Instance: "one"}
}

// Guards against a word that is lost for good, and one that is told after a newer one.
func TestWordsAreToldUntilHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 1))
		var confirmed []uint64
		turn := uint64(0)
		k := &keepers{}
		k.do = func(path string, body []byte) (int, any) {
			if r.IntN(3) == 0 {
				return 0, nil
			}
			switch path {
			case api.SessionPath:
				turn++
				return 200, api.SessionResponse{LeaseMS: 4000, Revision: turn}
			case api.ConfirmPath:
				var w api.MemberReport
				json.Unmarshal(body, &w)
				confirmed = append(confirmed, w.Revision)
				return 204, nil
			}
			t.Errorf("a call of %s", path)
			return 404, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s := session(k, 1, 3, func(h Heard) ([]uint64, Word, bool) { return nil, Word{Confirm: h.Standing.Revision}, true })
		s.Run(ctx)
		if len(confirmed) < 20 {
			t.Errorf("%d turns confirmed in a minute", len(confirmed))
		}
		for i := range confirmed[1:] {
			if confirmed[i+1] < confirmed[i] {
				t.Errorf("turn %d confirmed after %d", confirmed[i+1], confirmed[i])
			}
		}
	})
}

// Guards against a crowd: a fleet that starts together, and keepers that come back, are asked spread out, and steadily
// no more often than leases want.
func TestNoCrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet = 300
		away := true
		k := &keepers{do: func(path string, _ []byte) (int, any) {
			if away {
				return 0, nil
			}
			return 200, api.SessionResponse{LeaseMS: 10000}
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
		defer cancel()
		var all sync.WaitGroup
		for i := range fleet {
			all.Go(func() {
				session(k, uint64(i), fleet, func(Heard) ([]uint64, Word, bool) { return nil, Word{}, true }).Run(ctx)
			})
		}
		time.Sleep(20 * time.Second)
		k.mu.Lock()
		away = false
		k.mu.Unlock()
		all.Wait()
		most := 0
		for second, n := range k.calls {
			if most = max(most, n); n > 450 {
				t.Errorf("%d calls in second %d", n, second)
			}
		}
		if most < 100 {
			t.Errorf("at most %d calls a second: leases of 10 s cannot be kept by 300 so", most)
		}
	})
}

// Guards against an answer or a file that makes a relay panic, or act by what it cannot know.
func FuzzHear(f *testing.F) {
	f.Add([]byte(`{"lease_ms":1000,"turn":1,"force":{"number":1,"doc":{"settings":{}}}}`))
	f.Add([]byte(`{"lease_ms":1000,"turn":3,"next":{"number":2}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		parseState(data)
		var s api.SessionResponse
		if json.Unmarshal(data, &s) != nil {
			return
		}
		k := Open(t.TempDir(), "one", file(t, 5))
		w, err := k.Hear(2*time.Second, time.Second, s)
		k.Look(2 * time.Second)
		if err != nil && w.Confirm != 0 {
			t.Errorf("%+v is confirmed after %v", w, err)
		}
		if a := k.Acting(); err != nil && a.Mode != hold.Own {
			t.Errorf("acts by %+v after %v", a, err)
		}
	})
}
