package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/examples"
)

// initCommand writes an example configuration set.
type initCommand struct {
	stdout, stderr io.Writer
	dir            string
	example        string
}

func newInit(stdout, stderr io.Writer) *initCommand {
	return &initCommand{stdout: stdout, stderr: stderr}
}

func (in *initCommand) command() *ffcli.Command {
	set := flags("init", in.stderr)
	set.StringVar(&in.dir, "dir", "mangopaddle-config", "directory to write; existing files are never overwritten")
	set.StringVar(&in.example, "example", examples.Names()[0], "example set: "+strings.Join(examples.Names(), " or "))
	return &ffcli.Command{
		Name:       "init",
		ShortUsage: "mangopaddle init [--dir DIR] [--example NAME]",
		ShortHelp:  "Write an example configuration set with a README that explains every field.",
		FlagSet:    set,
		Exec:       in.run,
	}
}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

func (in *initCommand) run(_ context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	files, err := examples.Set(in.example)
	if err != nil {
		return errors.Trace(err)
	}
	files = append(files, examples.File{Path: "README.md", Content: []byte(examples.Readme)})
	for _, fi := range files {
		if err := in.write(fi); err != nil {
			return errors.Trace(err)
		}
	}
	fmt.Fprintf(in.stdout, "wrote %d files to %s\n", len(files), in.dir)
	return nil
}

func (in *initCommand) write(fi examples.File) error {
	path := filepath.Join(in.dir, filepath.FromSlash(fi.Path))
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return errors.Trace(err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := file.Write(fi.Content); err != nil {
		_ = file.Close()
		return errors.Trace(err)
	}
	return errors.Trace(file.Close())
}
