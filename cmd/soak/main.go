// Command soak runs package soak with one seed after another and prints each violation
// of a guarantee. It starts gateway hosts as separate processes on loopback addresses.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/soak"
)

// options holds the command's flags.
type options struct {
	plan         soak.Plan
	seeds        uint64
	binary       string
	logDirectory string
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	op := &options{}
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	set.Uint64Var(&op.plan.Seed, "seed", 1, "first seed; a seed determines the faults and when they begin")
	set.Uint64Var(&op.seeds, "seeds", 1, "number of consecutive seeds to run")
	set.DurationVar(&op.plan.FaultDuration, "lasts", 15*time.Second, "how long faults are injected with each seed")
	set.IntVar(&op.plan.Hosts, "hosts", 3, "number of gateway hosts")
	set.IntVar(&op.plan.Callers, "callers", 24, "number of callers, each with one request at a time")
	set.Func("kind", "inject only faults of this kind; may be repeated: "+strings.Join(soak.Kinds(), ", "), op.addKind)
	set.StringVar(&op.binary, "binary", "", "program under test; built from ./cmd/mangopaddle if empty")
	set.StringVar(&op.logDirectory, "logs", "", "directory for the hosts' logs; they are discarded if empty")
	command := &ffcli.Command{
		Name:       "soak",
		ShortUsage: "soak [--seed N] [--seeds COUNT] [--lasts DURATION]",
		ShortHelp:  "Inject faults into gateway hosts and compare what callers received with what backend servers executed; exit 1 on a violation.",
		FlagSet:    set,
		Exec:       func(ctx context.Context, _ []string) error { return op.run(ctx) },
	}
	if err := command.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// addKind adds a kind of fault to inject. It returns an error if there is no such kind.
func (op *options) addKind(kind string) error {
	if !slices.Contains(soak.Kinds(), kind) {
		return errors.NotFoundf("kind of fault %q", kind)
	}
	op.plan.Kinds = append(op.plan.Kinds, kind)
	return nil
}

// run runs the seeds in order and returns an error if any of them found a
// violation.
func (op *options) run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if op.binary == "" {
		op.binary = filepath.Join(dir, "mangopaddle")
		if output, err := exec.CommandContext(ctx, "go", "build", "-o", op.binary, "./cmd/mangopaddle").CombinedOutput(); err != nil {
			return errors.Annotatef(err, "build: %s", output)
		}
	}
	op.plan.Binary = op.binary
	failedSeeds := 0
	for end := op.plan.Seed + op.seeds; op.plan.Seed < end && ctx.Err() == nil; op.plan.Seed++ {
		op.plan.Directory = filepath.Join(dir, strconv.FormatUint(op.plan.Seed, 10))
		if op.logDirectory != "" {
			op.plan.Directory = filepath.Join(op.logDirectory, strconv.FormatUint(op.plan.Seed, 10))
		}
		if err := os.MkdirAll(op.plan.Directory, 0o700); err != nil {
			return errors.Trace(err)
		}
		report, err := soak.Run(ctx, op.plan)
		if err != nil {
			return errors.Trace(err)
		}
		report.Write(os.Stdout)
		if len(report.Violations) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return errors.Errorf("guarantees were violated with %d seeds", failedSeeds)
	}
	return nil
}
