package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// versionCommand prints the version of the build.
type versionCommand struct {
	stdout, stderr io.Writer
}

func newVersion(stdout, stderr io.Writer) *versionCommand {
	return &versionCommand{stdout: stdout, stderr: stderr}
}

func (ve *versionCommand) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "mangopaddle version",
		ShortHelp:  "Print the version.",
		FlagSet:    flags("version", ve.stderr),
		Exec:       ve.run,
	}
}

func (ve *versionCommand) run(_ context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(ve.stdout, "mangopaddle", versionText())
	return nil
}

// versionText returns the module's version and the commit it was built from.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}
