// Command larchkeeper is one keeper: one of the few processes that agree on settings for all relays.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"larchrouter/internal/keeper"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "larchkeeper:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var file, dir string
	read := func() (keeper.Config, error) {
		if file == "" {
			c := keeper.Default()
			c.Dir = dir
			return c, c.Check()
		}
		c, err := keeper.Read(file)
		if dir != "" {
			c.Dir = dir
		}
		return c, err
	}
	c := &cobra.Command{Use: "larchkeeper", Short: "One keeper of the settings that all relays agree on", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		Long: "One keeper of the settings that all relays agree on.\n\nWithout a file it stands alone, at " + keeper.Default().HTTP + ".",
		RunE: func(*cobra.Command, []string) error {
			conf, err := read()
			if err != nil {
				return err
			}
			if conf.Log == "json" {
				slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
			}
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			k, err := keeper.New(conf)
			if err != nil {
				return err
			}
			select {
			case s := <-stop:
				slog.Info("keeper ends", "signal", s.String())
				return k.Close()
			case err := <-k.Failed():
				return errors.Join(err, k.Close())
			}
		}}
	c.PersistentFlags().StringVar(&file, "config", "", "file of the configuration (TOML)")
	c.PersistentFlags().StringVar(&dir, "dir", defaultDir(), "folder of log, votes and snapshots")
	c.AddCommand(&cobra.Command{Use: "recover", Short: "Go on from one folder where most keepers are lost for good", Args: cobra.NoArgs,
		Long: "Go on from one folder where most keepers are lost for good.\n\nThe keeper then stands with the peers that its file names now. What it had not heard of is lost. No keeper may run on the folder.",
		RunE: func(c *cobra.Command, _ []string) error {
			conf, err := read()
			if err != nil {
				return err
			}
			if err := keeper.Recover(conf); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "recovered; start the keeper on", conf.Dir)
			return nil
		}})
	return c
}

// defaultDir is where a keeper keeps what it has to unless it is told: nothing, where the system does not say.
func defaultDir() string {
	if state := os.Getenv("XDG_STATE_HOME"); state != "" {
		return filepath.Join(state, "larchkeeper")
	}
	if home, err := os.UserHomeDir(); err == nil {
		return filepath.Join(home, ".local", "state", "larchkeeper")
	}
	return ""
}
