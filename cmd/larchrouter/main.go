// Command larchrouter runs one relay. It reads its configuration from the environment and the file that this names, reloads it on
// SIGHUP, and drains and exits on SIGTERM or SIGINT.
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

// logFlushTimeout bounds the wait for the last lines of the log to be written when the process ends.
const logFlushTimeout = 100 * time.Millisecond

// runtimeMemoryPart is the part of the memory limit for the Go runtime. The rest is for files, which count towards the memory as
// well, for the program itself, and for the runtime, whose limit is not exact.
const runtimeMemoryPart = 0.6

// logLevelVariable is the environment variable with the minimum level of logged messages: debug, info, warn or error. At level
// debug each request to an endpoint, each call for the list and each change of the list's lease is logged.
const logLevelVariable = "LARCHROUTER_LOG"

// logLevel returns the log level of that name; info if the name is empty or unknown.
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

// run serves until the relay has stopped. It returns an error if the relay cannot start.
func run() error {
	conf, err := relay.ReadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	if conf.MemoryMB > 0 {
		conf.LimitMemory = func(part float64) { debug.SetMemoryLimit(int64(conf.MemoryMB * runtimeMemoryPart * part * (1 << 20))) }
		conf.LimitMemory(1)
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
				slog.Error("new configuration rejected; the previous one stays in effect", "err", err, "remedy", remedy.Of(err))
				continue
			}
			slog.Info("new configuration applied")
		}
	}()
	slog.Info("serving", "addr", r.Addr())
	r.Serve()
	slog.Info("stopped")
	return nil
}
