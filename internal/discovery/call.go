package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// listMost is how many bytes an answer may have.
const listMost = 4 << 20

// call is one call for the list.
type call struct {
	begun  time.Time
	whole  bool   // it asks for the whole list, and does not wait
	begins func() // called as the first byte of the answer's body comes
	list   List
	err    error
	took   time.Duration
	// connect is how long its connection took to come up; 0 for one that was kept.
	connect time.Duration
}

// current is a time at which the list had all that discovery had, for a call that was answered. A watch that found nothing new
// tells so of its whole wait.
func (c *call) current() time.Time {
	if !c.whole && !c.list.Full && len(c.list.Servers) == 0 && c.took >= watchFor {
		return c.begun.Add(watchFor)
	}
	return c.begun
}

// ask makes one call, which ends at the latest when the address is no longer valid.
func (s *Platform) ask(ctx, valid context.Context, addr string, version int64, c *call) {
	c.list, c.err = s.exchange(ctx, valid, addr, version, c)
	if c.err == nil {
		c.err = c.list.Check()
	}
}

func (s *Platform) exchange(ctx, valid context.Context, addr string, version int64, c *call) (l List, err error) {
	url := "http://" + addr + "/discovery/hosts"
	limit := answerIn
	if !c.whole {
		url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", url, version, watchFor.Milliseconds())
		limit = watchFor + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(valid, cancel)()
	req, err := http.NewRequestWithContext(c.timeConnect(ctx), http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("status %d", resp.StatusCode)
	}
	body := &noticedBody{Reader: http.MaxBytesReader(nil, resp.Body, listMost), begins: c.begins}
	return l, json.NewDecoder(body).Decode(&l)
}

// timeConnect has it noted how long the connection of a call takes to come up.
func (c *call) timeConnect(ctx context.Context) context.Context {
	var begun time.Time
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { begun = time.Now() },
		ConnectDone: func(_, _ string, err error) {
			if err == nil {
				c.connect = time.Since(begun)
			}
		},
	})
}

// noticedBody tells of the first byte that is read of it.
type noticedBody struct {
	io.Reader
	begins func()
}

func (b *noticedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 && b.begins != nil {
		b.begins()
		b.begins = nil
	}
	return n, err
}
