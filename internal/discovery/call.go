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
const maxAnswerBytes = 4 << 20

// call is one call for the list.
type call struct {
	startedAt   time.Time
	fullList    bool   // it asks for the whole list, and does not wait
	onFirstByte func() // called as the first byte of the answer's body comes
	list        List
	err         error
	duration    time.Duration
	// connect is how long its connection took to come up; 0 for one that was kept.
	connectTime time.Duration
}

// current is a time at which the list had all that discovery had, for a call that was answered. A watch that found nothing new
// tells so of its whole wait.
func (c *call) currentAt() time.Time {
	if !c.fullList && !c.list.Full && len(c.list.Servers) == 0 && c.duration >= watchWait {
		return c.startedAt.Add(watchWait)
	}
	return c.startedAt
}

// ask makes one call, which ends at the latest when the address is no longer valid.
func (p *Platform) fetch(ctx, valid context.Context, addr string, version int64, c *call) {
	c.list, c.err = p.request(ctx, valid, addr, version, c)
	if c.err == nil {
		c.err = c.list.Check()
	}
}

func (p *Platform) request(ctx, valid context.Context, addr string, version int64, c *call) (list List, err error) {
	url := "http://" + addr + "/discovery/hosts"
	timeout := fullListTimeout
	if !c.fullList {
		url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", url, version, watchWait.Milliseconds())
		timeout = watchWait + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(valid, cancel)()
	req, err := http.NewRequestWithContext(c.traceConnect(ctx), http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := p.Client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", resp.StatusCode)
	}
	body := &firstByteReader{Reader: http.MaxBytesReader(nil, resp.Body, maxAnswerBytes), onFirstByte: c.onFirstByte}
	return list, json.NewDecoder(body).Decode(&list)
}

// timeConnect has it noted how long the connection of a call takes to come up.
func (c *call) traceConnect(ctx context.Context) context.Context {
	var startedAt time.Time
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { startedAt = time.Now() },
		ConnectDone: func(_, _ string, err error) {
			if err == nil {
				c.connectTime = time.Since(startedAt)
			}
		},
	})
}

// noticedBody tells of the first byte that is read of it.
type firstByteReader struct {
	io.Reader
	onFirstByte func()
}

func (r *firstByteReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && r.onFirstByte != nil {
		r.onFirstByte()
		r.onFirstByte = nil
	}
	return n, err
}
