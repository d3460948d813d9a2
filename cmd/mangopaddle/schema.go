package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/config"
)

// schemaCommand prints the JSON schema of a configuration file.
type schemaCommand struct {
	stdout, stderr io.Writer
}

func newSchema(stdout, stderr io.Writer) *schemaCommand {
	return &schemaCommand{stdout: stdout, stderr: stderr}
}

func (sc *schemaCommand) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "jsonschema",
		ShortUsage: "mangopaddle jsonschema fleet|contract|engines",
		ShortHelp:  "Print the JSON schema of a configuration file.",
		FlagSet:    flags("jsonschema", sc.stderr),
		Exec:       sc.run,
	}
}

func (sc *schemaCommand) run(_ context.Context, args []string) error {
	if len(args) != 1 {
		return errors.NotValidf("number of arguments %d (want one: %q, %q or %q)", len(args), config.SchemaFleet, config.SchemaContract, config.SchemaEngines)
	}
	text, err := config.Schema(config.SchemaName(args[0]))
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(sc.stdout, "%s\n", text)
	return nil
}
