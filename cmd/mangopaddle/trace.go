package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/trace"
)

// traceCommand generates a trace.
type traceCommand struct {
	stdout, stderr io.Writer
	spec           string
	configDir      string
	out            string
}

func newTrace(stdout, stderr io.Writer) *traceCommand {
	return &traceCommand{stdout: stdout, stderr: stderr}
}

func (tr *traceCommand) command() *ffcli.Command {
	set := flags("trace", tr.stderr)
	set.StringVar(&tr.spec, "spec", "", "JSON file with the specification of the trace")
	set.StringVar(&tr.configDir, "contracts", ".", "directory with fleet.json and contracts/NAME.json")
	set.StringVar(&tr.out, "out", "", "output file for the trace")
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "mangopaddle trace --spec FILE --out FILE [--contracts DIR]",
		ShortHelp:  "Generate a trace of requests and faults for \"mangopaddle replay\" from a specification.",
		FlagSet:    set,
		Exec:       tr.run,
	}
}

func (tr *traceCommand) run(_ context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	set, faults, err := decodeDirectory(tr.configDir)
	if err != nil {
		return errors.Trace(err)
	}
	if set == nil {
		return errors.Annotatef(faults, "configuration set in %q", tr.configDir)
	}
	var spec trace.Spec
	if err := readJSON(tr.spec, &spec); err != nil {
		return errors.Trace(err)
	}
	lines, err := trace.Generate(spec, set)
	if err != nil {
		return errors.Trace(err)
	}
	file, err := os.Create(tr.out)
	if err != nil {
		return errors.Trace(err)
	}
	if err := trace.Write(file, lines); err != nil {
		_ = file.Close()
		return errors.Trace(err)
	}
	fmt.Fprintf(tr.stdout, "wrote %d lines to %s\n", len(lines), tr.out)
	return errors.Trace(file.Close())
}
