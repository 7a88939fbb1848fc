// Command larchrouter is one relay on real sockets.
package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"larchrouter/internal/logqueue"
	"larchrouter/internal/relay"
	"larchrouter/internal/remedy"
)

// lastLines is for the end of the log to be written as the process ends.
const logFlushTimeout = 100 * time.Millisecond

// logLevelVariable names the environment variable with the least level of what is logged: debug, info, warn or error. Debug
// has a line for each request that goes out, each call for the list and each change of the list's lease.
const logLevelVariable = "LARCHROUTER_LOG"

// logLevel is the least level of what is logged; info where nothing readable is set.
func logLevel(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return level
}

func main() {
	logWriter := logqueue.New(os.Stderr)
	options := &slog.HandlerOptions{Level: logLevel(os.Getenv(logLevelVariable))}
	slog.SetDefault(slog.New(slog.NewTextHandler(logWriter, options)))
	err := run()
	if err != nil {
		slog.Error("cannot start", "err", err, "remedy", remedy.Of(err))
	}
	logWriter.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

func run() error {
	conf, err := relay.ReadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	if conf.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(conf.MemoryMB*0.6) << 20) // files count as well, and the runtime is not exact
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	r, err := relay.New(conf)
	if err != nil {
		return err
	}
	go func() {
		s := <-stop
		slog.Info("stopping", "signal", s.String())
		r.Drain()
	}()
	go func() {
		for range reload {
			if err := r.Reload(os.Getenv); err != nil {
				slog.Error("configuration not taken up", "err", err, "remedy", remedy.Of(err))
				continue
			}
			slog.Info("configuration taken up")
		}
	}()
	slog.Info("serving", "addr", r.Addr())
	r.Serve()
	slog.Info("stopped")
	return nil
}
