package ctl

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/keeper/api"
)

// Changes.

// document reads a file, or standard input for "-": the settings object, or a relay's configuration that holds one.
func (t *tool) document(path string) (json.RawMessage, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(t.in, 8<<20))
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &exit{wrongUse, err}
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil {
		return nil, &exit{wrongUse, fmt.Errorf("%s: %w", path, err)}
	}
	if s, ok := object["settings"]; ok {
		data = s
	}
	out, err := json.Marshal(map[string]json.RawMessage{"settings": data})
	if err != nil {
		return nil, &exit{wrongUse, fmt.Errorf("%s: %w", path, err)}
	}
	return out, nil
}

// newest is the generation that the next change builds on.
func (t *tool) newest(ctx context.Context) (uint64, error) {
	st, err := t.leader(ctx)
	switch {
	case err != nil:
		return 0, err
	case len(st.Queue) > 0:
		return st.Queue[len(st.Queue)-1].Number, nil
	case st.Next != nil:
		return st.Next.Number, nil
	case st.Force != nil:
		return st.Force.Number, nil
	}
	return 0, nil
}

// change makes a change, and follows it if that is asked for.
func (t *tool) change(ctx context.Context, p api.Proposal, wait time.Duration) error {
	p.Op = rand.Text()
	var made api.Made
	if err := t.call(ctx, http.MethodPost, api.GenerationsPath, p, &made); err != nil {
		return err
	}
	if p.DryRun {
		return t.print(map[string]bool{"sound": true}, func(w io.Writer) { fmt.Fprintln(w, "the keepers would take it; nothing is changed") })
	}
	if wait == 0 {
		return t.print(made, func(w io.Writer) { fmt.Fprintf(w, "generation %d is on its way\n", made.Number) })
	}
	g, pending, err := t.settle(ctx, made.Number, wait)
	if err != nil {
		return err
	}
	if err := t.print(g, func(w io.Writer) { fmt.Fprintf(w, "generation %d: %s %s\n", g.Number, g.Stage, g.Reason) }); err != nil {
		return err
	}
	switch g.Stage {
	case "in force", "past":
		return nil
	case "given up":
		return &api.Refused{Status: http.StatusConflict, Text: g.Reason}
	}
	return &exit{unreachable, fmt.Errorf("generation %d is still %s after %v: it waits for %s", g.Number, g.Stage, wait, strings.Join(pending, ", "))}
}

// settle follows a generation until it is in force or given up, or the time is over.
func (t *tool) settle(ctx context.Context, n uint64, wait time.Duration) (g *api.Generation, pending []string, err error) {
	for end := time.Now().Add(wait); ; {
		if g, err = t.generation(ctx, n); err != nil {
			return nil, nil, err
		}
		if g.Stage == "in force" || g.Stage == "past" || g.Stage == "given up" || time.Now().After(end) {
			break
		}
		select {
		case <-ctx.Done():
			return nil, nil, &exit{unreachable, ctx.Err()}
		case <-time.After(100 * time.Millisecond):
		}
	}
	if st, err := t.leader(ctx); err == nil {
		pending = st.Pending
	}
	return g, pending, nil
}

// who is the operator, for the history.
func who() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (t *tool) put() *cobra.Command {
	var p api.Proposal
	var wait time.Duration
	c := &cobra.Command{Use: "put FILE", Short: "Change the settings of all relays: a settings object, or a relay's file that holds one; - for standard input", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) (err error) {
			if p.Doc, err = t.document(args[0]); err != nil {
				return err
			}
			if !c.Flags().Changed("base") {
				if p.Base, err = t.newest(c.Context()); err != nil {
					return err
				}
			}
			return t.change(c.Context(), p, wait)
		}}
	c.Flags().Uint64Var(&p.Base, "base", 0, "the generation that this changes: refused if another is the newest by then")
	c.Flags().StringVar(&p.Why, "why", "", "for the history")
	c.Flags().StringVar(&p.Who, "who", who(), "for the history")
	c.Flags().BoolVar(&p.DryRun, "dry-run", false, "only have it checked")
	c.Flags().DurationVar(&wait, "wait", 0, "follow it so long, until it is in force or given up")
	return c
}

func (t *tool) back() *cobra.Command {
	var p api.Proposal
	var wait time.Duration
	c := &cobra.Command{Use: "back NUMBER", Short: "Go back to the settings of an earlier generation, as a change of its own", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) (err error) {
			if p.To, err = number(args[0]); err != nil {
				return err
			}
			if p.Base, err = t.newest(c.Context()); err != nil {
				return err
			}
			p.Why = cmp.Or(p.Why, "back to generation "+args[0])
			return t.change(c.Context(), p, wait)
		}}
	c.Flags().StringVar(&p.Why, "why", "", "for the history")
	c.Flags().StringVar(&p.Who, "who", who(), "for the history")
	c.Flags().DurationVar(&wait, "wait", 0, "follow it so long, until it is in force or given up")
	return c
}

func (t *tool) giveUp() *cobra.Command {
	var g api.Withdrawal
	c := &cobra.Command{Use: "giveup NUMBER", Short: "End a change that is not in force yet, and those that build on it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) (err error) {
			if g.Number, err = number(args[0]); err != nil {
				return err
			}
			g.Op = rand.Text()
			var made api.Made
			if err := t.call(c.Context(), http.MethodPost, api.GiveUpPath, g, &made); err != nil {
				return err
			}
			return t.print(made, func(w io.Writer) { fmt.Fprintf(w, "generation %d is given up\n", made.Number) })
		}}
	c.Flags().StringVar(&g.Why, "why", "", "for the history")
	c.Flags().StringVar(&g.Who, "who", who(), "for the history")
	return c
}
