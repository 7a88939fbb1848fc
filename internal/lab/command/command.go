// Package command implements the lab's command line.
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
	exitOK     = 0 // every expectation held
	exitFailed = 1 // at least one expectation did not hold
	exitUsage  = 2 // the file or the command line is wrong
	exitError  = 3 // the lab itself failed, or the run shows nothing
)

// codedError is an error with the exit code that it leads to.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

// Main runs a command line and returns its exit code. An interrupt or SIGTERM ends the run.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot(out)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "larchlab:", err)
	if exitErr := (*codedError)(nil); errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitUsage // an error of cobra: an unknown command or a wrong argument
}

func newRoot(out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "larchlab", Short: "Real relays against an emulated platform, with faults between them",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newUp(out), newRun(out), newSweep(out), newDiff(out), newCheck(out))
	return root
}

// prepareOptions reads the deploy file, and builds what it starts unless noBuild is set.
func prepareOptions(ctx context.Context, noBuild bool, keepers int) (lab.Options, error) {
	var options lab.Options
	workDir, err := os.Getwd()
	if err != nil {
		return options, err
	}
	root, err := lab.FindRoot(workDir)
	if err != nil {
		return options, err
	}
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return options, err
	}
	deploy := proc.Deploy{Root: root}
	if err := toml.Unmarshal(data, &deploy); err != nil {
		return options, fmt.Errorf("deploy/balancer.toml: %w", err)
	}
	if deploy.Run == "" || deploy.Build == "" {
		return options, errors.New("deploy/balancer.toml: build or run is missing")
	}
	if !noBuild {
		if keepers > 0 { // the deploy file builds only what a relay's machine needs
			deploy.Build += " && go build -o bin/ ./cmd/larchkeeper"
		}
		if err := deploy.RunBuild(ctx); err != nil {
			return options, err
		}
	}
	return lab.Options{Root: root, RelayCommand: deploy.Run, KeeperCommand: "exec bin/larchkeeper"}, nil
}

func newRun(out io.Writer) *cobra.Command {
	var seed uint64
	var jsonPath, historyPath, reportDir, drawPath string
	var keep, noBuild, quiet bool
	command := &cobra.Command{Use: "run FILE.toml", Short: "Run a scenario and judge it", Args: cobra.ExactArgs(1),
		Long: "Run a scenario and judge it.\n\nExit code 0: every expectation held. 1: at least one did not. 2: the file is wrong.\n3: the lab failed, or the machine was too busy for the run to show anything.",
		RunE: func(command *cobra.Command, args []string) error {
			spec, err := scenario.Read(args[0])
			if err != nil {
				return &codedError{exitUsage, err}
			}
			if command.Flags().Changed("seed") {
				spec.Seed = seed
			}
			options, err := prepareOptions(command.Context(), noBuild, spec.Fleet.Keepers)
			if err != nil {
				return &codedError{exitError, err}
			}
			options.KeepRunDir, options.HistoryPath = keep, historyPath
			if drawPath != "" {
				if options.Draw, err = readDraw(drawPath, spec); err != nil {
					return &codedError{exitUsage, err}
				}
			}
			if !quiet {
				options.OnProgress = func(progress lab.Progress) { fmt.Fprintln(out, progressLine(progress)) }
			}
			result, err := lab.Run(command.Context(), spec, options)
			if err != nil {
				return &codedError{exitError, err}
			}
			if jsonPath != "" {
				if err := report.WriteJSON(jsonPath, result); err != nil {
					return &codedError{exitError, err}
				}
			}
			if reportDir != "" {
				if err := report.Write(reportDir, result); err != nil {
					return &codedError{exitError, err}
				}
				fmt.Fprintln(out, "report:", filepath.Join(reportDir, "index.html"))
			}
			return printVerdict(command.Context(), out, result)
		}}
	command.Flags().Uint64Var(&seed, "seed", 0, "use this seed instead of the file's")
	command.Flags().StringVar(&jsonPath, "json", "", "write the result to this file")
	command.Flags().StringVar(&reportDir, "report", "", "write a page with plots to this directory")
	command.Flags().StringVar(&drawPath, "draw", "", "use the platform that was drawn in this result instead of drawing it from the seed")
	command.Flags().StringVar(&historyPath, "history", "", "write the history to this file, for larchlab check")
	command.Flags().BoolVar(&keep, "keep", false, "keep the directory of the run, with logs and configurations")
	command.Flags().BoolVar(&noBuild, "no-build", false, "do not build; start the existing binaries")
	command.Flags().BoolVar(&quiet, "quiet", false, "do not print a line each second")
	return command
}

// readDraw reads the platform that was drawn for another run. It must have as many destinations as the scenario.
func readDraw(path string, spec *scenario.Scenario) (*platform.Draw, error) {
	set, err := report.Read(path)
	if err != nil {
		return nil, err
	}
	drawn := set.Runs[0].Draw
	if drawn == nil || len(drawn.Dests) != spec.Platform.Destinations {
		return nil, fmt.Errorf("%s: its platform was not drawn for %d destinations", path, spec.Platform.Destinations)
	}
	return drawn, nil
}

func newCheck(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "check HISTORY", Short: "Judge a history again", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return &codedError{exitUsage, err}
			}
			defer file.Close()
			checker := rules.New()
			truncated, err := history.Read(file, checker.Observe)
			if err != nil {
				return &codedError{exitUsage, fmt.Errorf("%s: %w", args[0], err)}
			}
			findings := checker.Close()
			if truncated {
				fmt.Fprintln(out, "the last line is cut off: the lab that wrote it did not end normally")
			}
			fmt.Fprintln(out, findings)
			printViolations(out, findings)
			if broken := findings.Total(); broken > 0 {
				return &codedError{exitFailed, fmt.Errorf("rules broken %d times", broken)}
			}
			return nil
		}}
}
