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

// This file has the commands that make changes.

// readDocument reads a document from a file, or from standard input for "-". The input is a settings object, or a relay's
// configuration that contains one.
func (cmd *command) readDocument(path string) (json.RawMessage, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(cmd.in, 8<<20))
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil {
		return nil, &exitError{exitUsage, fmt.Errorf("%s: %w", path, err)}
	}
	if s, ok := object["settings"]; ok {
		data = s
	}
	out, err := json.Marshal(map[string]json.RawMessage{"settings": data})
	if err != nil {
		return nil, &exitError{exitUsage, fmt.Errorf("%s: %w", path, err)}
	}
	return out, nil
}

// newestGeneration returns the number of the generation that the next change builds on; 0 if there is none.
func (cmd *command) newestGeneration(ctx context.Context) (uint64, error) {
	status, err := cmd.leader(ctx)
	switch {
	case err != nil:
		return 0, err
	case len(status.Queue) > 0:
		return status.Queue[len(status.Queue)-1].Number, nil
	case status.Prepared != nil:
		return status.Prepared.Number, nil
	case status.Effective != nil:
		return status.Effective.Number, nil
	}
	return 0, nil
}

// change proposes a change and, if wait is not 0, follows it for at most that time.
func (cmd *command) change(ctx context.Context, proposal api.Proposal, wait time.Duration) error {
	proposal.OperationID = rand.Text()
	var made api.ChangeResponse
	if err := cmd.call(ctx, http.MethodPost, api.GenerationsPath, proposal, &made); err != nil {
		return err
	}
	if proposal.DryRun {
		return cmd.print(map[string]bool{"sound": true}, func(w io.Writer) { fmt.Fprintln(w, "the keepers would take it; nothing is changed") })
	}
	if wait == 0 {
		return cmd.print(made, func(w io.Writer) { fmt.Fprintf(w, "generation %d is on its way\n", made.Number) })
	}
	generation, pending, err := cmd.awaitGeneration(ctx, made.Number, wait)
	if err != nil {
		return err
	}
	if err := cmd.print(generation, func(w io.Writer) {
		fmt.Fprintf(w, "generation %d: %s %s\n", generation.Number, generation.Stage, generation.Reason)
	}); err != nil {
		return err
	}
	switch generation.Stage {
	case "in force", "past":
		return nil
	case "given up":
		return &api.RefusedError{Status: http.StatusConflict, Text: generation.Reason}
	}
	return &exitError{exitUnreachable, fmt.Errorf("generation %d is still %s after %v: it waits for %s", generation.Number, generation.Stage, wait, strings.Join(pending, ", "))}
}

// awaitGeneration follows a generation until it is in effect, superseded or given up, or the time is over. It also returns
// the members that the leader waits for.
func (cmd *command) awaitGeneration(ctx context.Context, number uint64, wait time.Duration) (generation *api.Generation, pending []string, err error) {
	for deadline := time.Now().Add(wait); ; {
		if generation, err = cmd.generation(ctx, number); err != nil {
			return nil, nil, err
		}
		if generation.Stage == "in force" || generation.Stage == "past" || generation.Stage == "given up" || time.Now().After(deadline) {
			break
		}
		select {
		case <-ctx.Done():
			return nil, nil, &exitError{exitUnreachable, ctx.Err()}
		case <-time.After(100 * time.Millisecond):
		}
	}
	if status, err := cmd.leader(ctx); err == nil {
		pending = status.Pending
	}
	return generation, pending, nil
}

// currentUser returns the name of the operator for the history.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (cmd *command) putCommand() *cobra.Command {
	var proposal api.Proposal
	var wait time.Duration
	c := &cobra.Command{Use: "put FILE", Short: "Change the settings of all relays: a file with a settings object, or a relay's configuration file; - for standard input", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) (err error) {
			if proposal.Doc, err = cmd.readDocument(args[0]); err != nil {
				return err
			}
			if !c.Flags().Changed("base") {
				if proposal.Base, err = cmd.newestGeneration(c.Context()); err != nil {
					return err
				}
			}
			return cmd.change(c.Context(), proposal, wait)
		}}
	c.Flags().Uint64Var(&proposal.Base, "base", 0, "number of the generation that this changes; refused if another is the newest by then")
	c.Flags().StringVar(&proposal.Why, "why", "", "for the history")
	c.Flags().StringVar(&proposal.Who, "who", currentUser(), "for the history")
	c.Flags().BoolVar(&proposal.DryRun, "dry-run", false, "only check the document")
	c.Flags().DurationVar(&wait, "wait", 0, "how long to follow the change, until it is in force or given up")
	return c
}

func (cmd *command) backCommand() *cobra.Command {
	var proposal api.Proposal
	var wait time.Duration
	c := &cobra.Command{Use: "back NUMBER", Short: "Return to the settings of an earlier generation, by a new change", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) (err error) {
			if proposal.RestoreNumber, err = parseNumber(args[0]); err != nil {
				return err
			}
			if proposal.Base, err = cmd.newestGeneration(c.Context()); err != nil {
				return err
			}
			proposal.Why = cmp.Or(proposal.Why, "back to generation "+args[0])
			return cmd.change(c.Context(), proposal, wait)
		}}
	c.Flags().StringVar(&proposal.Why, "why", "", "for the history")
	c.Flags().StringVar(&proposal.Who, "who", currentUser(), "for the history")
	c.Flags().DurationVar(&wait, "wait", 0, "how long to follow the change, until it is in force or given up")
	return c
}

func (cmd *command) giveUpCommand() *cobra.Command {
	var giveUp api.GiveUp
	c := &cobra.Command{Use: "giveup NUMBER", Short: "End a change that is not in force yet, and all changes that build on it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) (err error) {
			if giveUp.Number, err = parseNumber(args[0]); err != nil {
				return err
			}
			giveUp.OperationID = rand.Text()
			var made api.ChangeResponse
			if err := cmd.call(c.Context(), http.MethodPost, api.GiveUpPath, giveUp, &made); err != nil {
				return err
			}
			return cmd.print(made, func(w io.Writer) { fmt.Fprintf(w, "generation %d is given up\n", made.Number) })
		}}
	c.Flags().StringVar(&giveUp.Why, "why", "", "for the history")
	c.Flags().StringVar(&giveUp.Who, "who", currentUser(), "for the history")
	return c
}
