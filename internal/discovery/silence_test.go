package discovery

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// mute is a discovery whose first watch falls silent: it never answers, nor ends.
type mute struct {
	mu      sync.Mutex
	began   time.Time
	watches []time.Duration // when they came
}

func (m *mute) RoundTrip(req *http.Request) (*http.Response, error) {
	m.mu.Lock()
	watch := strings.Contains(req.URL.RawQuery, "since=")
	if watch {
		m.watches = append(m.watches, time.Since(m.began))
	}
	silent := watch && len(m.watches) == 1
	m.mu.Unlock()
	if silent {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	body := "{\n  \"version\": 4,\n  \"full\": true,\n  \"servers\": [\n    {\"id\": \"s-1\", \"addr\": \"127.0.0.1:1\",\n     \"state\": \"leaving\"}\n  ]\n}\n"
	if !watch {
		body = strings.NewReplacer("leaving", "active", "4", "3").Replace(body)
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Request: req}, nil
}

// Guards against a relay that waits on a watch that has fallen silent: what it misses counts as told 6 s after that, or 2 s
// after the wait of that call, so it must have asked anew by then. Lists may come indented.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &mute{began: time.Now()}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := &Platform{Client: &http.Client{Transport: m}, At: NewAt("discovery:1"), Fleet: func() Fleet { return Fleet{3, 10 * time.Second} }}
		told := make(chan time.Duration, 1)
		go p.Follow(ctx, func(l List) {
			if len(l.Servers) == 1 && l.Servers[0].State == "leaving" {
				select {
				case told <- time.Since(m.began):
				default:
				}
			}
		})
		var at time.Duration
		select {
		case at = <-told:
		case <-time.After(time.Minute):
			t.Fatal("the change is never heard of")
		}
		m.mu.Lock()
		silent := m.watches[0]
		m.mu.Unlock()
		if most := max(6*time.Second, watchFor+2*time.Second); at > silent+most {
			t.Errorf("a change that came as the watch fell silent is heard %v later, and counts as told after %v", at-silent, most)
		}
	})
}
