package command

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/lab"
	"larchrouter/internal/lab/report"
	"larchrouter/internal/lab/scenario"
)

// The up command, which runs a fleet without a scenario file.

// maxUpDuration bounds a run that goes on until it is interrupted.
const maxUpDuration = 24 * time.Hour

func newUp(out io.Writer) *cobra.Command {
	spec := scenario.Default()
	spec.Name = "up"
	var rate float64
	var reportDir string
	var noBuild bool
	command := &cobra.Command{Use: "up", Short: "Run relays and an emulated platform under steady load, until interrupted", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			spec.Load.Rate = rate
			if !command.Flags().Changed("for") {
				spec.Duration = scenario.Duration(maxUpDuration)
			}
			if err := spec.Check(); err != nil {
				return &codedError{exitUsage, err}
			}
			fmt.Fprintln(out, "building what deploy/balancer.toml starts ...")
			options, err := prepareOptions(command.Context(), noBuild, spec.Fleet.Keepers)
			if err != nil {
				return &codedError{exitError, err}
			}
			fmt.Fprintf(out, "starting %d relays; Ctrl-C ends everything\n", spec.Fleet.Relays)
			table := newProgressTable(out)
			options.OnProgress = table.draw
			result, err := lab.Run(command.Context(), spec, options)
			if err != nil {
				return &codedError{exitError, err}
			}
			fmt.Fprintln(out)
			if reportDir != "" {
				if err := report.Write(reportDir, result); err != nil {
					return &codedError{exitError, err}
				}
				fmt.Fprintln(out, "report:", filepath.Join(reportDir, "index.html"))
			}
			return printVerdict(context.Background(), out, result)
		}}
	command.Flags().IntVar(&spec.Fleet.Relays, "relays", spec.Fleet.Relays, "number of relays")
	command.Flags().IntVar(&spec.Fleet.Keepers, "keepers", 0, "number of keepers: 0, 1, 3 or 5")
	command.Flags().Float64Var(&rate, "rate", spec.Load.Rate, "messages per second")
	command.Flags().Uint64Var(&spec.Seed, "seed", spec.Seed, "seed from which the platform is drawn")
	command.Flags().StringVar(&reportDir, "report", "", "write a page with plots to this directory at the end")
	command.Flags().Var((*durationFlag)(&spec.Duration), "for", "end the run after this time")
	command.Flags().BoolVar(&noBuild, "no-build", false, "do not build; start the existing binaries")
	return command
}

// durationFlag is a flag that parses a duration as a scenario does.
type durationFlag scenario.Duration

func (d *durationFlag) Set(text string) error {
	return (*scenario.Duration)(d).UnmarshalText([]byte(text))
}
func (d *durationFlag) String() string { return scenario.Duration(*d).String() }
func (d *durationFlag) Type() string   { return "duration" }
