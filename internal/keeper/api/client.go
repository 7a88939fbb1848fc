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

// Refused is an answer that says no, as against none: the call reached a keeper, and asking another is of no use.
type Refused struct {
	Status int
	Text   string
	Advice string
}

func (r *Refused) Error() string { return fmt.Sprintf("refused (%d): %s", r.Status, r.Text) }

// Remedy says what an operator can do.
func (r *Refused) Remedy() string {
	return cmp.Or(r.Advice, "see the keepers' logs, and whether they are of this version's neighbours")
}

// answerMost bounds what a keeper may answer: two documents of the largest size, as JSON.
const answerMost = 40 << 20

// Client calls whichever keeper leads. It is safe for concurrent use.
type Client struct {
	HTTP    *http.Client
	Keepers []string // HTTP addresses

	mu   sync.Mutex
	next int    // of Keepers, asked where no leader is known
	last string // the one that led when it was last asked
}

// Start says with which keeper to begin, so that a fleet does not begin with the same.
func (c *Client) Start(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Keepers) > 0 {
		c.next = n % len(c.Keepers)
	}
}

// at is the address to ask now.
func (c *Client) at() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != "" {
		return c.last
	}
	return c.Keepers[c.next%len(c.Keepers)]
}

// led notes who leads; "" that the one asked does not, so that another is asked next.
func (c *Client) led(asked, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader != "" {
		c.last = leader
		return
	}
	if c.last == asked || c.last == "" {
		c.last = ""
		c.next++
	}
}

// Call makes a call and reads its answer into out, unless that is nil. It is made once at each of two keepers at the most:
// the one that is held to lead, and the one that this names. A *Refused is an answer; any other error none.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	if len(c.Keepers) == 0 {
		return errors.New("no keeper is named")
	}
	for hop := 0; ; hop++ {
		asked := c.at()
		leader, err := c.once(ctx, asked, method, path, in, out)
		switch {
		case leader != "" && leader != asked && hop == 0:
			c.led(asked, leader)
			continue
		case err != nil:
			var r *Refused
			if !errors.As(err, &r) {
				c.led(asked, "")
			}
			return err
		}
		return nil
	}
}

// Ask calls one keeper, whether it leads or not.
func (c *Client) Ask(ctx context.Context, keeper, method, path string, in, out any) error {
	_, err := c.once(ctx, keeper, method, path, in, out)
	return err
}

func (c *Client) once(ctx context.Context, addr, method, path string, in, out any) (leader string, err error) {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	if err != nil {
		return "", err
	}
	if resp.StatusCode/100 != 2 {
		var p Problem
		if json.Unmarshal(data, &p) != nil || p.Error == "" {
			p.Error = http.StatusText(resp.StatusCode)
		}
		switch resp.StatusCode {
		case http.StatusMisdirectedRequest:
			return p.Leader, fmt.Errorf("%s does not lead: %s", addr, p.Error)
		case http.StatusServiceUnavailable:
			return "", fmt.Errorf("%s: %s", addr, p.Error)
		}
		return "", &Refused{resp.StatusCode, p.Error, p.Remedy}
	}
	if out == nil {
		return "", nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return "", fmt.Errorf("%s answers what cannot be read: %w", addr, err)
	}
	return "", nil
}
