package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/bench"
	"github.com/mangopaddle/mangopaddle/capacity"
)

// capacityCommand prints the tables of docs/CAPACITY.md.
type capacityCommand struct {
	stdout, stderr io.Writer
	resultFile     string
	today          bool
	size           capacity.Size
}

func newCapacity(stdout, stderr io.Writer) *capacityCommand {
	return &capacityCommand{stdout: stdout, stderr: stderr, size: capacity.TargetSize()}
}

func (ca *capacityCommand) command() *ffcli.Command {
	set := flags("capacity", ca.stderr)
	set.StringVar(&ca.resultFile, "from", "", "file that \"mangopaddle bench --out FILE\" wrote")
	set.BoolVar(&ca.today, "today", false, "estimate for a deployment that is in use today; the size flags are ignored")
	set.Float64Var(&ca.size.Hosts, "hosts", ca.size.Hosts, "entry hosts")
	set.Float64Var(&ca.size.Engines, "engines", ca.size.Engines, "model engines")
	set.Float64Var(&ca.size.DataCentres, "data-centres", ca.size.DataCentres, "data centres")
	set.Float64Var(&ca.size.Organisations, "organisations", ca.size.Organisations, "organisations")
	set.Float64Var(&ca.size.Models, "models", ca.size.Models, "models")
	set.Float64Var(&ca.size.RequestsPerSecond, "requests", ca.size.RequestsPerSecond, "peak requests per second of the whole deployment")
	set.Float64Var(&ca.size.TokensPerSecond, "tokens", ca.size.TokensPerSecond, "peak answer tokens per second of the whole deployment")
	set.Float64Var(&ca.size.ConfigChangesPerDay, "changes", ca.size.ConfigChangesPerDay, "configuration changes per day")
	set.Float64Var(&ca.size.NonIdempotentFraction, "calls", ca.size.NonIdempotentFraction, "fraction of the requests that must not be retried")
	set.Float64Var(&ca.size.HostsLostPerDay, "lost", ca.size.HostsLostPerDay, "hosts that fail per day")
	set.Float64Var(&ca.size.HostsReplacedPerDay, "replaced", ca.size.HostsReplacedPerDay, "hosts that are replaced per day")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "mangopaddle capacity --from FILE [--hosts N] [--engines N] …",
		ShortHelp:  "Estimate what each control-plane role of a host needs in a deployment of a given size, from the result of \"mangopaddle bench\".",
		FlagSet:    set,
		Exec:       ca.run,
	}
}

func (ca *capacityCommand) run(_ context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	text, err := os.ReadFile(ca.resultFile)
	if err != nil {
		return errors.Annotate(err, "measurement result")
	}
	var re bench.Result
	if err := json.Unmarshal(text, &re); err != nil {
		return errors.Annotatef(err, "measurement result %q", ca.resultFile)
	}
	size := ca.size
	if ca.today {
		size = capacity.CurrentSize()
	}
	capacity.New(size, &re).Write(ca.stdout, capacity.TargetBudget())
	return nil
}
