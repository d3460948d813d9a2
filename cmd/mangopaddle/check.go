package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// checkCommand validates a configuration set offline.
type checkCommand struct {
	stdout, stderr io.Writer
	dir            string
	asJSON         bool
}

func newCheck(stdout, stderr io.Writer) *checkCommand {
	return &checkCommand{stdout: stdout, stderr: stderr}
}

func (ch *checkCommand) command() *ffcli.Command {
	set := flags("check", ch.stderr)
	set.StringVar(&ch.dir, "dir", ".", "directory with fleet.json and contracts/NAME.json")
	set.BoolVar(&ch.asJSON, "json", false, "print the errors and warnings as JSON")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "mangopaddle check [--dir DIR] [--json]",
		ShortHelp:  "Validate contracts and fleet; print every error and warning with its file and JSON path.",
		FlagSet:    set,
		Exec:       ch.run,
	}
}

func (ch *checkCommand) run(_ context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	set, faults, err := decodeDirectory(ch.dir)
	if err != nil {
		return errors.Trace(err)
	}
	if err := ch.print(set, faults); err != nil {
		return errors.Trace(err)
	}
	if faults.HasErrors() {
		return errFailed
	}
	return nil
}

// decodeDirectory reads and validates the configuration set in a directory. The
// set is nil if a fault is fatal.
func decodeDirectory(dir string) (*config.Set, config.Faults, error) {
	values, err := config.ReadDirectory(dir)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	decoder, err := config.NewDecoder()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	set, faults := decoder.Decode(mp.Position{Revision: 1}, values)
	return set, faults, nil
}

func (ch *checkCommand) print(set *config.Set, faults config.Faults) error {
	if ch.asJSON {
		if faults == nil {
			faults = config.Faults{}
		}
		encoder := json.NewEncoder(ch.stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(faults))
	}
	for _, fa := range faults {
		level := "error"
		if fa.Warning {
			level = "warning"
		}
		fmt.Fprintf(ch.stdout, "%s: %s: %s: %s\n", level, config.FilePath(fa.Key), pathOrRoot(fa.Path), fa.Problem)
	}
	if set != nil {
		fmt.Fprintf(ch.stdout, "ok: %d contracts, %d engines, %d services\n", len(set.Contracts), len(set.Fleet.Engines), len(set.Fleet.Services))
	}
	return nil
}

func pathOrRoot(path string) string {
	if path == "" {
		return "/"
	}
	return path
}
