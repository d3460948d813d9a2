package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/enginemodel"
	"github.com/mangopaddle/mangopaddle/fakeengine"
	"github.com/mangopaddle/mangopaddle/fakeservice"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// standinCommand runs a fake engine, service or platform store as a separate process.
type standinCommand struct {
	stdout, stderr io.Writer
	listen         string

	models       string
	slots        int
	answerTokens int64
	slowdown     float64

	dir          string
	pollInterval time.Duration
}

func newStandin(stdout, stderr io.Writer) *standinCommand {
	return &standinCommand{stdout: stdout, stderr: stderr}
}

func (st *standinCommand) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "mangopaddle standin engine|service|platform [FLAGS]",
		ShortHelp:  "Run a fake of an engine, a plain service or the platform's store.",
		FlagSet:    flags("standin", st.stderr),
		Subcommands: []*ffcli.Command{
			st.engineCommand(),
			st.serviceCommand(),
			st.platformCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (st *standinCommand) flags(name string) *flag.FlagSet {
	set := flags("standin "+name, st.stderr)
	set.StringVar(&st.listen, "listen", "127.0.0.1:0", "address to serve, an IP address with a port")
	return set
}

func (st *standinCommand) engineCommand() *ffcli.Command {
	set := st.flags("engine")
	set.StringVar(&st.models, "models", "model-small", "comma-separated names of the models to serve")
	set.IntVar(&st.slots, "slots", enginemodel.DefaultParams().Slots, "maximum number of requests that run at once")
	set.Int64Var(&st.answerTokens, "answer-tokens", 64, "mean length of an answer without max_tokens")
	set.Float64Var(&st.slowdown, "slowdown", 1, "factor that multiplies the duration of every step")
	return &ffcli.Command{Name: "engine", ShortHelp: "Run a fake model engine.", FlagSet: set, Exec: st.runEngine}
}

func (st *standinCommand) runEngine(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	var models []mp.ModelID
	for name := range strings.SplitSeq(st.models, ",") {
		models = append(models, mp.ModelID(name))
	}
	params := enginemodel.DefaultParams()
	params.Slots = st.slots
	options := []fakeengine.Option{
		fakeengine.WithModels(models...),
		fakeengine.WithParams(params),
		fakeengine.WithMeanAnswerTokens(mp.Tokens(st.answerTokens)),
	}
	en, stop := fakeengine.New(options...)
	defer stop()
	en.SetSlowdown(st.slowdown)
	return st.serve(ctx, "engine", en.Handler())
}

func (st *standinCommand) serviceCommand() *ffcli.Command {
	return &ffcli.Command{Name: "service", ShortHelp: "Run a fake plain service that records its calls.", FlagSet: st.flags("service"), Exec: st.runService}
}

func (st *standinCommand) runService(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	return st.serve(ctx, "service", fakeservice.New().Handler())
}

func (st *standinCommand) platformCommand() *ffcli.Command {
	set := st.flags("platform")
	set.StringVar(&st.dir, "dir", ".", "directory with fleet.json and contracts/NAME.json; republished when it changes")
	set.DurationVar(&st.pollInterval, "poll", 500*time.Millisecond, "how often the directory is read")
	return &ffcli.Command{Name: "platform", ShortHelp: "Run a fake of the platform's store that publishes the configuration set in a directory.", FlagSet: set, Exec: st.runPlatform}
}

func (st *standinCommand) runPlatform(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := fakestore.New()
	published, err := st.publish(store, nil)
	if err != nil {
		return errors.Trace(err)
	}
	go st.republishOnChange(ctx, store, published)
	return st.serve(ctx, "platform", store)
}

// republishOnChange publishes the directory again whenever its content has
// changed.
func (st *standinCommand) republishOnChange(ctx context.Context, store *fakestore.Store, published []byte) {
	ticker := time.NewTicker(st.pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			encoded, err := st.publish(store, published)
			if err != nil {
				fmt.Fprintf(st.stdout, "the directory can't be published: %v\n", err)
				continue
			}
			published = encoded
		}
	}
}

// publish writes the directory's configuration set to the store if it differs
// from the one published last. It returns the encoded set.
func (st *standinCommand) publish(store *fakestore.Store, published []byte) ([]byte, error) {
	values, err := config.ReadDirectory(st.dir)
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw := make(map[mp.ConfigKey]json.RawMessage, len(values))
	for key, value := range values {
		raw[key] = value.Value
	}
	encoded, err := platform.EncodeConfigSet(raw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !bytes.Equal(encoded, published) {
		store.Put(string(platform.ConfigSetKey), encoded)
	}
	return encoded, nil
}

// serve serves a handler until a signal to stop.
func (st *standinCommand) serve(ctx context.Context, role string, handler http.Handler) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	listener, err := net.Listen("tcp", st.listen)
	if err != nil {
		return errors.Annotatef(err, "listener of the %s", role)
	}
	fmt.Fprintf(st.stdout, "%s serves http://%s\n", role, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
