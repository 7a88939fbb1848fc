// Package ctl implements larchctl, the operators' command line to the keepers: the configuration of all relays, the members
// that act by it, and the progress of a change.
package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/remedy"
)

// The exit codes.
const (
	exitDone        = 0
	exitRefused     = 1 // a keeper refused the call
	exitUsage       = 2 // the command line or a file is invalid; no keeper was called
	exitUnreachable = 3 // no leader answered; whether a change was made is unknown
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// command is one invocation of the command line.
type command struct {
	in      io.Reader
	out     io.Writer
	keepers []string
	json    bool
	timeout time.Duration
	client  *api.Client
}

// Main runs a command line and returns its exit code.
func Main(args []string, in io.Reader, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &command{in: in, out: out}
	root := cmd.rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(errs, "larchctl:", err)
	if advice := remedy.Of(err); advice != "" {
		fmt.Fprintln(errs, "what to do:", advice)
	}
	var refused *api.RefusedError
	if e := (*exitError)(nil); errors.As(err, &e) {
		return e.code
	}
	if errors.As(err, &refused) {
		return exitRefused
	}
	return exitUsage // an error of cobra: an invalid command or argument
}

// keepersEnv is the environment variable with the keepers' addresses, used without the flag.
const keepersEnv = "LARCH_KEEPERS"

func (cmd *command) rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "larchctl", Short: "The configuration that all relays agree on, and changes of it", SilenceUsage: true, SilenceErrors: true,
		Long: "The configuration that all relays agree on, and changes of it.\n\nExit code 0: done. 1: a keeper refused the call. 2: the command line or a file is invalid.\n3: no leader answered.",
		PersistentPreRun: func(*cobra.Command, []string) {
			cmd.client = &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Keepers: cmd.keepers}
		}}
	root.PersistentFlags().StringSliceVar(&cmd.keepers, "keepers", strings.Split(cmp.Or(os.Getenv(keepersEnv), "127.0.0.1:7400"), ","), "addresses of the keepers (default: those in "+keepersEnv+")")
	root.PersistentFlags().BoolVar(&cmd.json, "json", false, "JSON output")
	root.PersistentFlags().DurationVar(&cmd.timeout, "timeout", 10*time.Second, "how long to retry until the leader answers")
	settingsCommand := &cobra.Command{Use: "settings", Short: "The settings that all relays agree on"}
	settingsCommand.AddCommand(cmd.showCommand(), cmd.diffCommand(), cmd.putCommand(), cmd.historyCommand(), cmd.backCommand(), cmd.giveUpCommand())
	root.AddCommand(cmd.statusCommand(), cmd.membersCommand(), settingsCommand, cmd.watchCommand())
	return root
}

// call calls the leader, and retries for the timeout while none answers. Each change has an operation ID, so that a
// repeated call does not make it twice.
func (cmd *command) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.timeout)
	defer cancel()
	for {
		err := cmd.client.Call(ctx, method, path, in, out)
		var refused *api.RefusedError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		select {
		case <-ctx.Done():
			return &exitError{exitUnreachable, fmt.Errorf("no keeper that leads answers within %v: %w", cmd.timeout, err)}
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// leader returns the status of the leader.
func (cmd *command) leader(ctx context.Context) (api.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.timeout)
	defer cancel()
	for {
		var err error
		for _, addr := range cmd.keepers {
			callCtx, stop := context.WithTimeout(ctx, 2*time.Second)
			var status api.Status
			if err = cmd.client.CallKeeper(callCtx, addr, http.MethodGet, api.StatusPath, nil, &status); err == nil && status.IsLeader {
				stop()
				return status, nil
			}
			stop()
		}
		select {
		case <-ctx.Done():
			return api.Status{}, &exitError{exitUnreachable, errors.Join(fmt.Errorf("no keeper says within %v that it leads", cmd.timeout), err)}
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// print writes a value as JSON if that was asked for, and otherwise calls writeText, whose tabs are aligned.
func (cmd *command) print(v any, writeText func(w io.Writer)) error {
	if cmd.json {
		enc := json.NewEncoder(cmd.out)
		enc.SetIndent("", " ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(cmd.out, 0, 4, 2, ' ', 0)
	writeText(w)
	return w.Flush()
}

// generationName returns the number of a generation as text, or "none".
func generationName(g *api.Generation) string {
	if g == nil {
		return "none"
	}
	return strconv.FormatUint(g.Number, 10)
}

// keeperAnswer is the status of one keeper, or the error of the call.
type keeperAnswer struct {
	Address string      `json:"address"`
	Error   string      `json:"error,omitempty"`
	Status  *api.Status `json:"status,omitempty"`
}
