// Command larchkeeper runs a keeper, one server of the small group that agrees on the configuration of all relays.
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
	c := &cobra.Command{Use: "larchkeeper", Short: "A keeper of the configuration that all relays agree on", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		Long: "A keeper of the configuration that all relays agree on.\n\nWithout a configuration file it runs as a single keeper, at " + keeper.Default().HTTP + ".",
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
				slog.Info("stopping the keeper", "signal", s.String())
				return k.Close()
			case err := <-k.Failed():
				return errors.Join(err, k.Close())
			}
		}}
	c.PersistentFlags().StringVar(&file, "config", "", "configuration file (TOML)")
	c.PersistentFlags().StringVar(&dir, "dir", defaultDir(), "folder of log, votes and snapshots")
	c.AddCommand(&cobra.Command{Use: "recover", Short: "Recover from one folder when most keepers are permanently lost", Args: cobra.NoArgs,
		Long: "Recover from one folder when most keepers are permanently lost.\n\nThe keeper then forms a cluster with the peers that its configuration file names now. Changes that it had not received are lost. No keeper may run on the folder.",
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

// defaultDir returns the folder that is used without the flag, or "" if the user has no state or home directory.
func defaultDir() string {
	if state := os.Getenv("XDG_STATE_HOME"); state != "" {
		return filepath.Join(state, "larchkeeper")
	}
	if home, err := os.UserHomeDir(); err == nil {
		return filepath.Join(home, ".local", "state", "larchkeeper")
	}
	return ""
}
