// Package ctl is the operators' command line to the keepers: what all relays agree on, who has a part in it, and how a
// change of it goes.
package ctl

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"os/user"
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
