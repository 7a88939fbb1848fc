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

// What a newcomer runs first.

// upFor bounds a run that goes on until it is interrupted.
const upFor = 24 * time.Hour

func newUp(out io.Writer) *cobra.Command {
	s := scenario.Default()
	s.Name = "up"
	var rate float64
	var dir string
	var noBuild bool
	c := &cobra.Command{Use: "up", Short: "An emulated platform and relays under steady load, until interrupted", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s.Load.Rate = rate
			if !c.Flags().Changed("for") {
				s.Duration = scenario.Duration(upFor)
			}
			if err := s.Check(); err != nil {
				return &exit{wrongFile, err}
			}
			fmt.Fprintln(out, "building what deploy/balancer.toml starts ...")
			o, err := built(c.Context(), noBuild, s.Fleet.Keepers)
			if err != nil {
				return &exit{stuck, err}
			}
			fmt.Fprintf(out, "starting %d relays; Ctrl-C ends everything\n", s.Fleet.Relays)
			t := newTable(out)
			o.OnProgress = t.draw
			r, err := lab.Run(c.Context(), s, o)
			if err != nil {
				return &exit{stuck, err}
			}
			fmt.Fprintln(out)
			if dir != "" {
				if err := report.Write(dir, r); err != nil {
					return &exit{stuck, err}
				}
				fmt.Fprintln(out, "report:", filepath.Join(dir, "index.html"))
			}
			return verdict(context.Background(), out, r)
		}}
	c.Flags().IntVar(&s.Fleet.Relays, "relays", s.Fleet.Relays, "how many relays")
	c.Flags().IntVar(&s.Fleet.Keepers, "keepers", 0, "how many keepers: 0, 1, 3 or 5")
	c.Flags().Float64Var(&rate, "rate", s.Load.Rate, "messages a second")
	c.Flags().Uint64Var(&s.Seed, "seed", s.Seed, "what the platform is drawn from")
	c.Flags().StringVar(&dir, "report", "", "write a page with plots to this folder at the end")
	c.Flags().Var((*durationFlag)(&s.Duration), "for", "end by itself after this time")
	c.Flags().BoolVar(&noBuild, "no-build", false, "start what is built already")
	return c
}

// durationFlag reads a time as a scenario does.
type durationFlag scenario.Duration

func (d *durationFlag) Set(text string) error {
	return (*scenario.Duration)(d).UnmarshalText([]byte(text))
}
func (d *durationFlag) String() string { return scenario.Duration(*d).String() }
func (d *durationFlag) Type() string   { return "duration" }
