// Package ctl is the operators' command line to the keepers: what all relays agree on, who has a part in it, and how a
// change of it goes.
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
	done        = 0
	refused     = 1 // a keeper said no, and why
	wrongUse    = 2 // the command line or a file is wrong; no keeper was asked
	unreachable = 3 // no keeper that leads answered: whether a change was made is not known
)

// exit carries an exit code with what went wrong.
type exit struct {
	code int
	err  error
}

func (e *exit) Error() string { return e.err.Error() }
func (e *exit) Unwrap() error { return e.err }

// tool is one command's call.
type tool struct {
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
	t := &tool{in: in, out: out}
	root := t.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return done
	}
	fmt.Fprintln(errs, "larchctl:", err)
	if what := remedy.Of(err); what != "" {
		fmt.Fprintln(errs, "what to do:", what)
	}
	var no *api.Refused
	if e := (*exit)(nil); errors.As(err, &e) {
		return e.code
	}
	if errors.As(err, &no) {
		return refused
	}
	return wrongUse // cobra's own: an argument that is none
}

// keepersEnv names the keepers where no flag does.
const keepersEnv = "LARCH_KEEPERS"

func (t *tool) root() *cobra.Command {
	root := &cobra.Command{Use: "larchctl", Short: "What all relays agree on, and how a change of it goes", SilenceUsage: true, SilenceErrors: true,
		Long: "What all relays agree on, and how a change of it goes.\n\nExit code 0: done. 1: a keeper refused, and why. 2: the command line or a file is wrong.\n3: no keeper that leads answered.",
		PersistentPreRun: func(*cobra.Command, []string) {
			t.client = &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Keepers: t.keepers}
		}}
	root.PersistentFlags().StringSliceVar(&t.keepers, "keepers", strings.Split(cmp.Or(os.Getenv(keepersEnv), "127.0.0.1:7400"), ","), "their addresses (else "+keepersEnv+")")
	root.PersistentFlags().BoolVar(&t.json, "json", false, "for programs: JSON")
	root.PersistentFlags().DurationVar(&t.timeout, "timeout", 10*time.Second, "how long to insist")
	settings := &cobra.Command{Use: "settings", Short: "The settings that all relays agree on"}
	settings.AddCommand(t.show(), t.diff(), t.put(), t.history(), t.back(), t.giveUp())
	root.AddCommand(t.status(), t.members(), settings, t.watch())
	return root
}

// call asks the keeper that leads, and insists while none answers. A change bears an identity of its own, so that
// asking again does not make it twice.
func (t *tool) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	for {
		err := t.client.Call(ctx, method, path, in, out)
		var no *api.Refused
		if err == nil || errors.As(err, &no) {
			return err
		}
		select {
		case <-ctx.Done():
			return &exit{unreachable, fmt.Errorf("no keeper that leads answers within %v: %w", t.timeout, err)}
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// leader is the status of the keeper that leads.
func (t *tool) leader(ctx context.Context) (api.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	for {
		var err error
		for _, addr := range t.keepers {
			one, stop := context.WithTimeout(ctx, 2*time.Second)
			var st api.Status
			if err = t.client.Ask(one, addr, http.MethodGet, api.StatusPath, nil, &st); err == nil && st.Leads {
				stop()
				return st, nil
			}
			stop()
		}
		select {
		case <-ctx.Done():
			return api.Status{}, &exit{unreachable, errors.Join(fmt.Errorf("no keeper says within %v that it leads", t.timeout), err)}
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// print writes a value as JSON, or has it written for people.
func (t *tool) print(v any, people func(w io.Writer)) error {
	if t.json {
		enc := json.NewEncoder(t.out)
		enc.SetIndent("", " ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	people(w)
	return w.Flush()
}

// named is a generation in a word.
func named(g *api.Generation) string {
	if g == nil {
		return "none"
	}
	return strconv.FormatUint(g.Number, 10)
}

// one is what one keeper says, or why it says nothing.
type one struct {
	Address string      `json:"address"`
	Error   string      `json:"error,omitempty"`
	Status  *api.Status `json:"status,omitempty"`
}
