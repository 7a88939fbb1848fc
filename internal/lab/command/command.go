// Package command is the lab's command line.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"larchrouter/internal/lab"
	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/proc"
	"larchrouter/internal/lab/report"
	"larchrouter/internal/lab/rules"
	"larchrouter/internal/lab/scenario"
)

// The exit codes.
const (
	held      = 0 // every expectation held
	failed    = 1 // one did not
	wrongFile = 2 // the file, or the command line, is wrong
	stuck     = 3 // the lab itself could not go on, or the run shows nothing
)

// exit carries an exit code with what went wrong.
type exit struct {
	code int
	err  error
}

func (e *exit) Error() string { return e.err.Error() }
func (e *exit) Unwrap() error { return e.err }

// Main runs a command line and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot(out)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return held
	}
	fmt.Fprintln(errs, "larchlab:", err)
	if e := (*exit)(nil); errors.As(err, &e) {
		return e.code
	}
	return wrongFile // cobra's own: an argument that is none
}

func newRoot(out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "larchlab", Short: "Real relays against an emulated platform, with faults between them",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newUp(out), newRun(out), newSweep(out), newDiff(out), newCheck(out))
	return root
}

// built reads the deploy file, and builds what it starts.
func built(ctx context.Context, noBuild bool, keepers int) (lab.Options, error) {
	var o lab.Options
	here, err := os.Getwd()
	if err != nil {
		return o, err
	}
	root, err := lab.FindRoot(here)
	if err != nil {
		return o, err
	}
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return o, err
	}
	d := proc.Deploy{Root: root}
	if err := toml.Unmarshal(data, &d); err != nil {
		return o, fmt.Errorf("deploy/balancer.toml: %w", err)
	}
	if d.Run == "" || d.Build == "" {
		return o, errors.New("deploy/balancer.toml: build or run is missing")
	}
	if !noBuild {
		if keepers > 0 { // the deploy file builds what a relay's machine needs
			d.Build += " && go build -o bin/ ./cmd/larchkeeper"
		}
		if err := d.Built(ctx); err != nil {
			return o, err
		}
	}
	return lab.Options{Root: root, Command: d.Run, Keeper: "exec bin/larchkeeper"}, nil
}

func newRun(out io.Writer) *cobra.Command {
	var seed uint64
	var jsonPath, historyPath, dir, drawn string
	var keep, noBuild, quiet bool
	c := &cobra.Command{Use: "run FILE.toml", Short: "Play a scenario and judge it", Args: cobra.ExactArgs(1),
		Long: "Play a scenario and judge it.\n\nExit code 0: every expectation held. 1: one did not. 2: the file is wrong.\n3: the lab could not go on, or the machine was too busy for the run to show anything.",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return &exit{wrongFile, err}
			}
			if c.Flags().Changed("seed") {
				s.Seed = seed
			}
			o, err := built(c.Context(), noBuild, s.Fleet.Keepers)
			if err != nil {
				return &exit{stuck, err}
			}
			o.Keep, o.History = keep, historyPath
			if drawn != "" {
				if o.Draw, err = readDraw(drawn, s); err != nil {
					return &exit{wrongFile, err}
				}
			}
			if !quiet {
				o.Each = func(p lab.Progress) { fmt.Fprintln(out, line(p)) }
			}
			r, err := lab.Run(c.Context(), s, o)
			if err != nil {
				return &exit{stuck, err}
			}
			if jsonPath != "" {
				if err := report.WriteJSON(jsonPath, r); err != nil {
					return &exit{stuck, err}
				}
			}
			if dir != "" {
				if err := report.Write(dir, r); err != nil {
					return &exit{stuck, err}
				}
				fmt.Fprintln(out, "report:", filepath.Join(dir, "index.html"))
			}
			return verdict(c.Context(), out, r)
		}}
	c.Flags().Uint64Var(&seed, "seed", 0, "draw with this seed, not with the file's")
	c.Flags().StringVar(&jsonPath, "json", "", "write the result to this file")
	c.Flags().StringVar(&dir, "report", "", "write a page with plots to this folder")
	c.Flags().StringVar(&drawn, "draw", "", "take the platform as it was drawn in this result, not from the seed")
	c.Flags().StringVar(&historyPath, "history", "", "write the history to this file, to be checked again with larchlab check")
	c.Flags().BoolVar(&keep, "keep", false, "keep the folder of the run, with logs and configurations")
	c.Flags().BoolVar(&noBuild, "no-build", false, "start what is built already")
	c.Flags().BoolVar(&quiet, "quiet", false, "no line for each second")
	return c
}

// readDraw takes what another run drew, which must be of a platform of the same size.
func readDraw(path string, s *scenario.Scenario) (*platform.Draw, error) {
	set, err := report.Read(path)
	if err != nil {
		return nil, err
	}
	d := set.Runs[0].Draw
	if d == nil || len(d.Dests) != s.Platform.Destinations {
		return nil, fmt.Errorf("%s: was not drawn for %d destinations", path, s.Platform.Destinations)
	}
	return d, nil
}

func newCheck(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "check HISTORY", Short: "Judge a history again", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return &exit{wrongFile, err}
			}
			defer f.Close()
			checker := rules.New()
			cut, err := history.Read(f, checker.Observe)
			if err != nil {
				return &exit{wrongFile, fmt.Errorf("%s: %w", args[0], err)}
			}
			r := checker.Close()
			if cut {
				fmt.Fprintln(out, "the last line is cut off: the lab that wrote it did not end in order")
			}
			fmt.Fprintln(out, r)
			shown(out, r)
			if n := r.Total(); n > 0 {
				return &exit{failed, fmt.Errorf("rules broken %d times", n)}
			}
			return nil
		}}
}
