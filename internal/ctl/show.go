package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/keeper/api"
)

// What is, and what has been.

func (t *tool) status() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Each keeper, and how a change stands", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var all []one
		var lead *api.Status
		for _, addr := range t.keepers {
			ctx, cancel := context.WithTimeout(c.Context(), min(t.timeout, 2*time.Second))
			var st api.Status
			err := t.client.Ask(ctx, addr, http.MethodGet, api.StatusPath, nil, &st)
			cancel()
			if err != nil {
				all = append(all, one{Address: addr, Error: err.Error()})
				continue
			}
			all = append(all, one{Address: addr, Status: &st})
			if st.Leads {
				lead = &st
			}
		}
		err := t.print(all, func(w io.Writer) {
			fmt.Fprintln(w, "KEEPER\tADDRESS\tSTATE\tIN FORCE\tPREPARED\tTURN\tHEARD")
			for _, o := range all {
				if o.Status == nil {
					fmt.Fprintf(w, "?\t%s\tsilent: %s\n", o.Address, o.Error)
					continue
				}
				state, heard := "follows", fmt.Sprintf("%d ms ago", o.Status.AgeMS)
				switch {
				case o.Status.Leads:
					state, heard = "leads", "now"
				case o.Status.AgeMS < 0:
					state, heard = "alone", "never"
				case o.Status.Leader == "":
					state = "alone"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", o.Status.Keeper, o.Address, state, named(o.Status.Force), named(o.Status.Next), o.Status.Turn, heard)
			}
			if lead == nil {
				return
			}
			fmt.Fprintf(w, "\n%d members, %d changes wait", len(lead.Members), len(lead.Queue))
			if len(lead.Pending) > 0 {
				fmt.Fprintf(w, "; the next step waits for %s", strings.Join(lead.Pending, ", "))
			}
			fmt.Fprintln(w)
		})
		if err == nil && lead == nil {
			return &exit{unreachable, errors.New("no keeper leads: nothing can be changed, and relays act by what they hold until their leases end")}
		}
		return err
	}}
}

func (t *tool) members() *cobra.Command {
	return &cobra.Command{Use: "members", Short: "Relays that have a session", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		st, err := t.leader(c.Context())
		if err != nil {
			return err
		}
		return t.print(st.Members, func(w io.Writer) {
			fmt.Fprintln(w, "MEMBER\tZONE\tTURN\tLEASE LEFT\tINSTANCE\tVERSION")
			for _, m := range st.Members {
				turn := strconv.FormatUint(m.Turn, 10)
				if m.Turn != st.Turn {
					turn += fmt.Sprintf(" of %d", st.Turn)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%.1f s\t%s\t%s\n", m.Name, m.Zone, turn, float64(m.LeftMS)/1000, m.Instance, m.Version)
			}
		})
	}}
}

// generation is the one of a number, with its document; of 0 the one in force.
func (t *tool) generation(ctx context.Context, number uint64) (*api.Generation, error) {
	if number == 0 {
		st, err := t.leader(ctx)
		if err != nil {
			return nil, err
		}
		if st.Force == nil {
			return nil, &api.Refused{Status: http.StatusNotFound, Text: "no generation is in force yet: relays act by their own files"}
		}
		number = st.Force.Number
	}
	var g api.Generation
	return &g, t.call(ctx, http.MethodGet, fmt.Sprintf("%s/%d", api.GenerationsPath, number), nil, &g)
}

func number(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, &exit{wrongUse, fmt.Errorf("%q is no number of a generation", text)}
	}
	return n, nil
}

func (t *tool) show() *cobra.Command {
	return &cobra.Command{Use: "show [NUMBER]", Short: "The settings in force, or those of a generation", Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
		var n uint64
		var err error
		if len(args) == 1 {
			if n, err = number(args[0]); err != nil {
				return err
			}
		}
		g, err := t.generation(c.Context(), n)
		if err != nil {
			return err
		}
		return t.print(g, func(w io.Writer) {
			fmt.Fprintf(w, "generation %d, %s, by %s: %s\n", g.Number, g.Stage, g.Who, g.Why)
			if g.Reason != "" {
				fmt.Fprintln(w, g.Reason)
			}
			for _, l := range lines(g.Doc) {
				fmt.Fprintln(w, l)
			}
		})
	}}
}

func (t *tool) diff() *cobra.Command {
	return &cobra.Command{Use: "diff NUMBER|FILE [NUMBER|FILE]", Short: "What differs between two; the second is the one in force if it is left out", Args: cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			read := func(text string) (json.RawMessage, error) {
				if n, err := strconv.ParseUint(text, 10, 64); err == nil {
					g, err := t.generation(c.Context(), n)
					if err == nil && g.Doc == nil {
						err = &api.Refused{Status: http.StatusNotFound, Text: fmt.Sprintf("the document of generation %d is no longer known", n)}
					}
					return g.Doc, err
				}
				return t.document(text)
			}
			other := "0"
			if len(args) == 2 {
				other = args[1]
			}
			from, err := read(other)
			if err != nil {
				return err
			}
			to, err := read(args[0])
			if err != nil {
				return err
			}
			if len(args) == 2 {
				from, to = to, from
			}
			changes := Diff(from, to)
			return t.print(changes, func(w io.Writer) {
				for _, ch := range changes {
					fmt.Fprintf(w, "%s\t%s\t->\t%s\n", ch.Path, ch.From, ch.To)
				}
				if len(changes) == 0 {
					fmt.Fprintln(w, "no difference")
				}
			})
		}}
}

func (t *tool) history() *cobra.Command {
	return &cobra.Command{Use: "history", Short: "All generations that are remembered", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var all []api.Generation
		if err := t.call(c.Context(), http.MethodGet, api.GenerationsPath, nil, &all); err != nil {
			return err
		}
		return t.print(all, func(w io.Writer) {
			fmt.Fprintln(w, "GENERATION\tSTAGE\tBY\tWHY\tREASON")
			for _, g := range all {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", g.Number, g.Stage, g.Who, g.Why, g.Reason)
			}
		})
	}}
}

func (t *tool) watch() *cobra.Command {
	var span time.Duration
	c := &cobra.Command{Use: "watch", Short: "A line for each change of how things stand, until interrupted", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		ctx := c.Context()
		if span > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, span)
			defer cancel()
		}
		last := ""
		for ctx.Err() == nil {
			st, err := t.leader(ctx)
			text := fmt.Sprintf("%s leads, turn %d, in force %s, prepared %s, %d wait, %d members, waits for %v", st.Keeper, st.Turn, named(st.Force), named(st.Next), len(st.Queue), len(st.Members), st.Pending)
			if err != nil {
				text = "no keeper leads"
			}
			if text != last && ctx.Err() == nil {
				last = text
				if t.json {
					if err := json.NewEncoder(t.out).Encode(st); err != nil {
						return err
					}
				} else {
					fmt.Fprintln(t.out, time.Now().Format(time.TimeOnly), text)
				}
			}
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
		return nil
	}}
	c.Flags().DurationVar(&span, "for", 0, "end by itself after this time")
	return c
}
