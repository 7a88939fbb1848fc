package platform

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// Guards against a delay of notices that does not delay the answer, or that also delays the processing of the notice.
func TestSlowNotices(t *testing.T) {
	env := newEnv(t, nil)
	d := NewDiscovery(env.Env, NewPartners(env.Env))
	addr, err := d.Serve("relay/0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	noticed := make(chan struct{}, 1)
	d.OnNotice = func(string, string, time.Duration) { noticed <- struct{}{} }
	const slow = 200 * time.Millisecond
	d.DelayNotices(slow)
	answered := make(chan time.Time, 1)
	begin := time.Now()
	go func() {
		resp, err := http.Post("http://"+addr+"/status", "application/json", strings.NewReader("{\"id\":\"a\",\"status\":\"deferred\"}\n"))
		if err == nil {
			resp.Body.Close()
		}
		answered <- time.Now()
	}()
	<-noticed
	if env.count(history.NoticeReceived) != 1 {
		t.Error("the notice is not recorded on arrival")
	}
	if at := <-answered; at.Sub(begin) < slow {
		t.Errorf("answered after %v, want at least %v", at.Sub(begin), slow)
	}
}
