package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errFailed is returned by a command whose output already describes the
// failure.
const errFailed = errors.ConstError("failed")

// run executes the command named by the arguments and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(stderr, "mangopaddle:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.Is(err, errFailed):
		return exitFailed
	default:
		fmt.Fprintln(stderr, "mangopaddle:", err)
		return exitFailed
	}
}

func newRoot(stdout, stderr io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("mangopaddle", flag.ContinueOnError)
	set.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "mangopaddle",
		ShortUsage: "mangopaddle COMMAND [FLAGS]",
		ShortHelp:  "A router for language-model traffic with service levels and priorities.",
		FlagSet:    set,
		Subcommands: []*ffcli.Command{
			newServe(stderr).command(),
			newGateway(stdout, stderr).command(),
			newQuickstart(stdout, stderr).command(),
			newStandin(stdout, stderr).command(),
			newCheck(stdout, stderr).command(),
			newInit(stdout, stderr).command(),
			newSchema(stdout, stderr).command(),
			newHealthcheck(stdout, stderr).command(),
			newBench(stdout, stderr).command(),
			newCapacity(stdout, stderr).command(),
			newReplay(stdout, stderr).command(),
			newTrace(stdout, stderr).command(),
			newReport(stdout, stderr).command(),
			newVersion(stdout, stderr).command(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// flags returns a flag set for a command that writes its usage to stderr.
func flags(name string, stderr io.Writer) *flag.FlagSet {
	set := flag.NewFlagSet("mangopaddle "+name, flag.ContinueOnError)
	set.SetOutput(stderr)
	return set
}

// noArguments returns an error if there are positional arguments.
func noArguments(args []string) error {
	if len(args) > 0 {
		return errors.NotValidf("argument %q (the command takes flags only)", args[0])
	}
	return nil
}
