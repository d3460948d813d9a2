package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/host"
)

// envPrefix is the prefix of the environment variables for the settings.
const envPrefix = "MANGOPADDLE"

// serveCommand runs an entry host for the router's own API.
type serveCommand struct {
	stderr   io.Writer
	settings config.Settings
	level    string
}

func newServe(stderr io.Writer) *serveCommand {
	return &serveCommand{stderr: stderr, settings: config.DefaultSettings()}
}

func (se *serveCommand) command() *ffcli.Command {
	set := flags("serve", se.stderr)
	bindSettings(set, &se.settings)
	set.StringVar(&se.level, "log-level", "info", "minimum log level: debug, info, warn or error")
	set.String("settings", "", "JSON file with settings; the keys are the names of the flags")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "mangopaddle serve --host NAME --data-centre NAME --platform ADDRESS [FLAGS]",
		ShortHelp:  "Run an entry host for the router's own API until SIGTERM, then finish the requests in flight.",
		LongHelp:   "Every flag can also be set by an environment variable (MANGOPADDLE_DATA_CENTRE\nfor --data-centre) or in the settings file.",
		FlagSet:    set,
		Options: []ff.Option{
			ff.WithEnvVarPrefix(envPrefix),
			ff.WithConfigFileFlag("settings"),
			ff.WithConfigFileParser(ff.JSONParser),
		},
		Exec: se.run,
	}
}

// bindSettings defines a flag for each setting.
func bindSettings(set *flag.FlagSet, st *config.Settings) {
	set.StringVar((*string)(&st.Host), "host", string(st.Host), "name of this entry host")
	set.StringVar((*string)(&st.DataCentre), "data-centre", string(st.DataCentre), "name of this host's data centre in the fleet")
	set.StringVar(&st.Listen, "listen", st.Listen, "address for callers, an IP address with a port")
	set.StringVar(&st.OperatorListen, "operator-listen", st.OperatorListen, "address for operators, an IP address with a port")
	set.StringVar(&st.StoreAddress, "platform", st.StoreAddress, "address of the platform's store, from which the configuration is read")
	set.StringVar(&st.TLSCert, "tls-cert", st.TLSCert, "certificate file of the callers' listener; reloaded when it changes")
	set.StringVar(&st.TLSKey, "tls-key", st.TLSKey, "key file of the callers' listener; reloaded when it changes")
	set.DurationVar(&st.LameDuckPeriod, "lame-duck", st.LameDuckPeriod, "how long a stopping host continues to accept requests")
	set.DurationVar(&st.DrainTimeout, "drain-timeout", st.DrainTimeout, "how long a stopping host waits for requests in flight")
	set.DurationVar(&st.StreamIdleTimeout, "silence", st.StreamIdleTimeout, "how long an engine's stream may send nothing before it is resumed elsewhere")
	set.DurationVar(&st.WriteTimeout, "write-timeout", st.WriteTimeout, "how long a caller may take for one chunk before its request is cancelled")
	bindMemory(set, st)
	set.Int64Var((*int64)(&st.MaxBodyBytes), "body-limit", int64(st.MaxBodyBytes), "maximum size of a request body, in bytes")
}

// bindMemory defines the flag for the memory of the process.
func bindMemory(set *flag.FlagSet, st *config.Settings) {
	set.Int64Var(&st.MemoryMB, "memory-mb", st.MemoryMB, "memory limit of the process in mebibytes; 0 for none")
}

func (se *serveCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	logger, err := newLogger(se.stderr, se.level)
	if err != nil {
		return errors.Trace(err)
	}
	limitMemory(se.settings.MemoryMB)
	ho, stop, err := host.New(se.settings, host.WithLogger(logger), host.WithVersion(versionText()))
	if err != nil {
		return errors.Trace(err)
	}
	defer stop()
	return drainOnSignal(ctx, ho)
}

// drainOnSignal waits for a signal to stop, then drains the host. It returns
// early if a listener fails.
func drainOnSignal(ctx context.Context, ho *host.Host) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	select {
	case <-ctx.Done():
		return errors.Trace(ho.Drain(context.WithoutCancel(ctx)))
	case err := <-ho.ListenerErrors():
		return errors.Trace(err)
	}
}

// newLogger returns a logger that writes JSON lines, or an error if the level is
// not valid.
func newLogger(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Logger{}, errors.NotValidf("log level %q (want debug, info, warn or error)", level)
	}
	return zerolog.New(out).Level(parsed).With().Timestamp().Logger(), nil
}
