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

// maxAnswerBytes is the maximum size of an answer's body.
const maxAnswerBytes = 4 << 20

// call is one call to discovery for the list.
type call struct {
	startedAt   time.Time
	fullList    bool   // it requests the full list, which discovery sends without waiting for a change
	onFirstByte func() // called when the first byte of the answer's body arrives
	list        List
	err         error
	duration    time.Duration
	// connectTime is how long it took to establish the connection; 0 for a reused one.
	connectTime time.Duration
}

// currentAt returns a time at which the answer to this call had every change that discovery had. A watch that ends without a
// change confirms the list for the whole time that it waited.
func (c *call) currentAt() time.Time {
	if !c.fullList && !c.list.Full && len(c.list.Servers) == 0 && c.duration >= watchWait {
		return c.startedAt.Add(watchWait)
	}
	return c.startedAt
}

// fetch makes one call and checks its answer; the result is in c. The call is cancelled when valid ends, as addr has been
// replaced then.
func (p *Platform) fetch(ctx, valid context.Context, addr string, version int64, c *call) {
	c.list, c.err = p.request(ctx, valid, addr, version, c)
	if c.err == nil {
		c.err = c.list.Check()
	}
}

// request sends the HTTP request of a call and decodes the answer.
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

// traceConnect returns a context under which the time to establish the call's connection is recorded.
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

// firstByteReader calls onFirstByte once, when the first byte has been read.
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
