package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a malformed list that takes all endpoints away, or sends messages nowhere.
func TestMalformedListIsNotTaken(t *testing.T) {
	entry := `{"id":"s-1","addr":"127.0.0.1:1","kind":"m","cell":3,"state":"active"}`
	for body, sound := range map[string]bool{
		`{"version":2,"full":true,"servers":[` + entry + `]}`:                                         true,
		`{"version":2,"full":true,"servers":[]}`:                                                      true,
		`{"version":2,"full":false}`:                                                                  true,
		`{"version":2,"full":false,"servers":[{"id":"s-1","state":"left"}]}`:                          true,
		`{"version":2,"full":true}`:                                                                   false,
		`{"version":2,"full":true,"servers":[` + entry:                                                false,
		`{"version":2,"full":false,"servers":[` + strings.Replace(entry, "s-1", "", 1) + `]}`:         false,
		`{"version":2,"full":false,"servers":[` + strings.Replace(entry, "127.0.0.1:1", "", 1) + `]}`: false,
		`{"version":2,"full":false,"servers":[` + strings.Replace(entry, "active", "odd", 1) + `]}`:   false,
		`nothing`: false,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
		r := &Relay{platform: http.DefaultClient}
		_, err := r.ask(context.Background(), context.Background(), s.Listener.Addr().String(), 1, true)
		s.Close()
		if (err == nil) != sound {
			t.Errorf("%s: error is %v", body, err)
		}
	}
}

// answers is a discovery that says the same at once, whatever it is asked.
type answers struct {
	body   string
	asked  int
	enough func() // ends a test that would go on for ever
}

func (a *answers) RoundTrip(*http.Request) (*http.Response, error) {
	if a.asked++; a.asked >= 1000 {
		a.enough()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(a.body))}, nil
}

// Guards against a relay that spends its core on asking a discovery which does not wait for news.
func TestWatchWithoutWaitingIsPaced(t *testing.T) {
	for _, body := range []string{`{"version":1,"servers":[]}`, `{"version":0,"servers":[]}`} {
		synctest.Test(t, func(t *testing.T) {
			said := &answers{body: body}
			r := &Relay{platform: &http.Client{Transport: said}, discovery: newPlatformAt("discovery:1"),
				inbox: make(chan func(), 10)}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			said.enough = cancel
			r.follow(ctx, 1)
			if most := int(time.Second/firstPause) + 1; said.asked > most {
				t.Errorf("%s: asked %d times in a second, want %d at most", body, said.asked, most)
			}
		})
	}
}
