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

// This file has the commands that show the present state and the history.

func (cmd *command) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "The state of each keeper, and the progress of a change", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var all []keeperAnswer
		var leader *api.Status
		for _, addr := range cmd.keepers {
			ctx, cancel := context.WithTimeout(c.Context(), min(cmd.timeout, 2*time.Second))
			var status api.Status
			err := cmd.client.CallKeeper(ctx, addr, http.MethodGet, api.StatusPath, nil, &status)
			cancel()
			if err != nil {
				all = append(all, keeperAnswer{Address: addr, Error: err.Error()})
				continue
			}
			all = append(all, keeperAnswer{Address: addr, Status: &status})
			if status.IsLeader {
				leader = &status
			}
		}
		err := cmd.print(all, func(w io.Writer) {
			fmt.Fprintln(w, "KEEPER\tADDRESS\tSTATE\tIN FORCE\tPREPARED\tTURN\tHEARD")
			for _, answer := range all {
				if answer.Status == nil {
					fmt.Fprintf(w, "?\t%s\tsilent: %s\n", answer.Address, answer.Error)
					continue
				}
				state, contact := "follows", fmt.Sprintf("%d ms ago", answer.Status.LeaderContactAgeMS)
				switch {
				case answer.Status.IsLeader:
					state, contact = "leads", "now"
				case answer.Status.LeaderContactAgeMS < 0:
					state, contact = "alone", "never"
				case answer.Status.Leader == "":
					state = "alone"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", answer.Status.Keeper, answer.Address, state, generationName(answer.Status.Effective), generationName(answer.Status.Prepared), answer.Status.Revision, contact)
			}
			if leader == nil {
				return
			}
			fmt.Fprintf(w, "\n%d members, %d changes wait", len(leader.Members), len(leader.Queue))
			if len(leader.Pending) > 0 {
				fmt.Fprintf(w, "; the next step waits for %s", strings.Join(leader.Pending, ", "))
			}
			fmt.Fprintln(w)
		})
		if err == nil && leader == nil {
			return &exitError{exitUnreachable, errors.New("no keeper leads: nothing can be changed, and relays act by what they hold until their leases end")}
		}
		return err
	}}
}

func (cmd *command) membersCommand() *cobra.Command {
	return &cobra.Command{Use: "members", Short: "The relays that have a session", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		status, err := cmd.leader(c.Context())
		if err != nil {
			return err
		}
		return cmd.print(status.Members, func(w io.Writer) {
			fmt.Fprintln(w, "MEMBER\tZONE\tTURN\tLEASE LEFT\tINSTANCE\tVERSION")
			for _, m := range status.Members {
				turn := strconv.FormatUint(m.Revision, 10)
				if m.Revision != status.Revision {
					turn += fmt.Sprintf(" of %d", status.Revision)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%.1f s\t%s\t%s\n", m.Name, m.Zone, turn, float64(m.LeaseLeftMS)/1000, m.Instance, m.Version)
			}
		})
	}}
}

// generation returns the generation of a number, with its document; for 0 the one in effect.
func (cmd *command) generation(ctx context.Context, number uint64) (*api.Generation, error) {
	if number == 0 {
		status, err := cmd.leader(ctx)
		if err != nil {
			return nil, err
		}
		if status.Effective == nil {
			return nil, &api.RefusedError{Status: http.StatusNotFound, Text: "no generation is in force yet: relays act by their own files"}
		}
		number = status.Effective.Number
	}
	var generation api.Generation
	return &generation, cmd.call(ctx, http.MethodGet, fmt.Sprintf("%s/%d", api.GenerationsPath, number), nil, &generation)
}

func parseNumber(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, &exitError{exitUsage, fmt.Errorf("%q is no number of a generation", text)}
	}
	return number, nil
}

func (cmd *command) showCommand() *cobra.Command {
	return &cobra.Command{Use: "show [NUMBER]", Short: "The settings in force, or those of a generation", Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
		var number uint64
		var err error
		if len(args) == 1 {
			if number, err = parseNumber(args[0]); err != nil {
				return err
			}
		}
		generation, err := cmd.generation(c.Context(), number)
		if err != nil {
			return err
		}
		return cmd.print(generation, func(w io.Writer) {
			fmt.Fprintf(w, "generation %d, %s, by %s: %s\n", generation.Number, generation.Stage, generation.Who, generation.Why)
			if generation.Reason != "" {
				fmt.Fprintln(w, generation.Reason)
			}
			for _, l := range documentLines(generation.Doc) {
				fmt.Fprintln(w, l)
			}
		})
	}}
}

func (cmd *command) diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff NUMBER|FILE [NUMBER|FILE]", Short: "The differences between two documents; without the second, the first is compared with the generation in force", Args: cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			read := func(text string) (json.RawMessage, error) {
				if n, err := strconv.ParseUint(text, 10, 64); err == nil {
					g, err := cmd.generation(c.Context(), n)
					if err == nil && g.Doc == nil {
						err = &api.RefusedError{Status: http.StatusNotFound, Text: fmt.Sprintf("the document of generation %d is no longer known", n)}
					}
					return g.Doc, err
				}
				return cmd.readDocument(text)
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
			return cmd.print(changes, func(w io.Writer) {
				for _, ch := range changes {
					fmt.Fprintf(w, "%s\t%s\t->\t%s\n", ch.Path, ch.From, ch.To)
				}
				if len(changes) == 0 {
					fmt.Fprintln(w, "no difference")
				}
			})
		}}
}

func (cmd *command) historyCommand() *cobra.Command {
	return &cobra.Command{Use: "history", Short: "All generations that the keepers store", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var all []api.Generation
		if err := cmd.call(c.Context(), http.MethodGet, api.GenerationsPath, nil, &all); err != nil {
			return err
		}
		return cmd.print(all, func(w io.Writer) {
			fmt.Fprintln(w, "GENERATION\tSTAGE\tBY\tWHY\tREASON")
			for _, g := range all {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", g.Number, g.Stage, g.Who, g.Why, g.Reason)
			}
		})
	}}
}

func (cmd *command) watchCommand() *cobra.Command {
	var span time.Duration
	c := &cobra.Command{Use: "watch", Short: "Print a line for each change of the state, until interrupted", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		ctx := c.Context()
		if span > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, span)
			defer cancel()
		}
		last := ""
		for ctx.Err() == nil {
			status, err := cmd.leader(ctx)
			text := fmt.Sprintf("%s leads, turn %d, in force %s, prepared %s, %d wait, %d members, waits for %v", status.Keeper, status.Revision, generationName(status.Effective), generationName(status.Prepared), len(status.Queue), len(status.Members), status.Pending)
			if err != nil {
				text = "no keeper leads"
			}
			if text != last && ctx.Err() == nil {
				last = text
				if cmd.json {
					if err := json.NewEncoder(cmd.out).Encode(status); err != nil {
						return err
					}
				} else {
					fmt.Fprintln(cmd.out, time.Now().Format(time.TimeOnly), text)
				}
			}
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
		return nil
	}}
	c.Flags().DurationVar(&span, "for", 0, "stop after this time; 0 for no limit")
	return c
}
