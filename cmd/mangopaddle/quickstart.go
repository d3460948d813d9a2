package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/quickstart"
)

// quickstartCommand runs a complete deployment with embedded fakes.
type quickstartCommand struct {
	stdout, stderr io.Writer
	listen         string
	operatorListen string
	settings       config.Settings // of which the memory is read
}

func newQuickstart(stdout, stderr io.Writer) *quickstartCommand {
	return &quickstartCommand{stdout: stdout, stderr: stderr}
}

func (qu *quickstartCommand) command() *ffcli.Command {
	set := flags("quickstart", qu.stderr)
	set.StringVar(&qu.listen, "listen", "127.0.0.1:8080", "address for callers, an IP address with a port")
	bindMemory(set, &qu.settings)
	set.StringVar(&qu.operatorListen, "operator-listen", "127.0.0.1:8081", "address for operators, an IP address with a port")
	return &ffcli.Command{
		Name:       "quickstart",
		ShortUsage: "mangopaddle quickstart [--listen ADDRESS]",
		ShortHelp:  "Run a complete deployment in one process: an entry host with fake engines for two models, a fake service and a fake of the platform's store.",
		FlagSet:    set,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       qu.run,
	}
}

const quickstartText = `mangopaddle serves callers at http://%[1]s and operators at http://%[2]s

Try these in another terminal:

curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
  -d '{"model":"%[4]s","messages":[{"role":"user","content":"What lies under the farm?"}]}'

curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -H 'X-Mangopaddle-Class: batch' \
  -d '{"model":"%[5]s","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"Which bin takes amber glass?"}]}'

curl -si http://%[1]s/services/orders/confirm -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: order-1' \
  -d '{"boreholes":1}'

Stop it with Ctrl-C.
`

func (qu *quickstartCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	logger, err := newLogger(qu.stderr, "info")
	if err != nil {
		return errors.Trace(err)
	}
	limitMemory(qu.settings.MemoryMB)
	de, stop, err := quickstart.New(quickstart.WithLogger(logger), quickstart.WithSettings(func(st *config.Settings) {
		st.Listen, st.OperatorListen, st.MemoryMB = qu.listen, qu.operatorListen, qu.settings.MemoryMB
	}))
	if err != nil {
		return errors.Trace(err)
	}
	defer stop()
	fmt.Fprintf(qu.stdout, quickstartText, de.Host.CallerAddress(), de.Host.OperatorAddress(), quickstart.APIKey, quickstart.ModelSmall, quickstart.ModelLarge)
	return drainOnSignal(ctx, de.Host)
}
