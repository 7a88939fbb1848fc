package api

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// RefusedError is a keeper's answer that refuses a call, in contrast to no answer: another keeper would answer the same.
type RefusedError struct {
	Status int
	Text   string
	Advice string
}

func (r *RefusedError) Error() string { return fmt.Sprintf("refused (%d): %s", r.Status, r.Text) }

// Remedy returns advice to the operator.
func (r *RefusedError) Remedy() string {
	return cmp.Or(r.Advice, "see the keepers' logs, and whether they are of this version's neighbours")
}

// maxAnswerBytes limits the body of a keeper's answer: two documents of the largest size, as JSON.
const maxAnswerBytes = 40 << 20

// Client calls the leader of the keepers. It is safe for concurrent use.
type Client struct {
	HTTP    *http.Client
	Keepers []string // HTTP addresses of all keepers

	mu         sync.Mutex
	nextKeeper int    // index in Keepers, called while no leader is known; not reduced modulo their number
	lastLeader string // address of the leader at the last call; empty if unknown
}

// StartAt selects the keeper to call first, so that the relays of a fleet do not all begin with the same one.
func (c *Client) StartAt(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Keepers) > 0 {
		c.nextKeeper = index % len(c.Keepers)
	}
}

// targetAddr returns the address to call now.
func (c *Client) targetAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastLeader != "" {
		return c.lastLeader
	}
	return c.Keepers[c.nextKeeper%len(c.Keepers)]
}

// recordLeader records the address of the leader. An empty leader records that the keeper that was called is not the
// leader, so that another one is called next.
func (c *Client) recordLeader(addr, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader != "" {
		c.lastLeader = leader
		return
	}
	if c.lastLeader == addr || c.lastLeader == "" {
		c.lastLeader = ""
		c.nextKeeper++
	}
}

// Call makes a call to the leader and decodes its answer into out, unless out is nil. It calls at most two keepers, each
// once: the presumed leader, and the leader that this one names. A *RefusedError is an answer of a keeper; with any other
// error there was no usable answer, and a later call goes to another keeper.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	if len(c.Keepers) == 0 {
		return errors.New("no keeper address is configured")
	}
	for redirects := 0; ; redirects++ {
		addr := c.targetAddr()
		leader, err := c.callOnce(ctx, addr, method, path, in, out)
		switch {
		case leader != "" && leader != addr && redirects == 0:
			c.recordLeader(addr, leader)
			continue
		case err != nil:
			var refused *RefusedError
			if !errors.As(err, &refused) {
				c.recordLeader(addr, "")
			}
			return err
		}
		return nil
	}
}

// CallKeeper calls one keeper, whether it is the leader or not.
func (c *Client) CallKeeper(ctx context.Context, addr, method, path string, in, out any) error {
	_, err := c.callOnce(ctx, addr, method, path, in, out)
	return err
}

func (c *Client) callOnce(ctx context.Context, addr, method, path string, in, out any) (leader string, err error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return "", err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return "", err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return "", err
	}
	if resp.StatusCode/100 != 2 {
		var problem Problem
		if json.Unmarshal(data, &problem) != nil || problem.Error == "" {
			problem.Error = http.StatusText(resp.StatusCode)
		}
		switch resp.StatusCode {
		case http.StatusMisdirectedRequest:
			return problem.Leader, fmt.Errorf("%s is not the leader: %s", addr, problem.Error)
		case http.StatusServiceUnavailable:
			return "", fmt.Errorf("%s: %s", addr, problem.Error)
		}
		return "", &RefusedError{resp.StatusCode, problem.Error, problem.Remedy}
	}
	if out == nil {
		return "", nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return "", fmt.Errorf("decoding the answer of %s: %w", addr, err)
	}
	return "", nil
}
