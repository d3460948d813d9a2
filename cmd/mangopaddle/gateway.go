package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/eventlog"
	"github.com/mangopaddle/mangopaddle/gateway"
	"github.com/mangopaddle/mangopaddle/platform"
)

// gatewayCommand runs an entry host as a reverse proxy on the platform's machines.
type gatewayCommand struct {
	stdout, stderr io.Writer
	settings       string
	level          string
}

func newGateway(stdout, stderr io.Writer) *gatewayCommand {
	return &gatewayCommand{stdout: stdout, stderr: stderr}
}

func (gc *gatewayCommand) command() *ffcli.Command {
	set := flags("gateway", gc.stderr)
	set.StringVar(&gc.settings, "settings", os.Getenv(platform.SettingsVariable), "JSON file with settings; the default is the value of the environment variable "+platform.SettingsVariable)
	set.StringVar(&gc.level, "log-level", "info", "minimum log level: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "mangopaddle gateway [--settings FILE]",
		ShortHelp:  "Run an entry host as a reverse proxy on the platform's machines until SIGTERM, then finish the requests in flight.",
		FlagSet:    set,
		Exec:       gc.run,
	}
}

func (gc *gatewayCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	settings, err := gateway.ReadSettings(gc.settings)
	if err != nil {
		return errors.Trace(err)
	}
	limitMemory(settings.MemoryMB)
	out, flush := eventlog.New(gc.stdout)
	defer flush()
	logger, err := newLogger(out, gc.level)
	if err != nil {
		return errors.Trace(err)
	}
	ga, stop, err := gateway.New(settings, gateway.WithLogger(logger), gateway.WithDroppedLines(out.Dropped))
	if err != nil {
		return errors.Trace(err)
	}
	defer stop()
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return gc.runUntilSignal(ctx, ga)
}

// settingsPollInterval is how often the settings file is checked for changes,
// which may come without a signal.
const settingsPollInterval = 2 * time.Second

// runUntilSignal runs until a signal to stop, then drains the gateway. It reloads
// the settings on SIGHUP and when the file has changed, and returns early if a
// listener fails.
func (gc *gatewayCommand) runUntilSignal(ctx context.Context, ga *gateway.Gateway) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ga.Drain(context.WithoutCancel(ctx)))
		case err := <-ga.ListenerErrors():
			return errors.Trace(err)
		case <-hangups:
			ga.Reload(gc.settings, true)
		case <-ticker.C:
			ga.Reload(gc.settings, false)
		}
	}
}
