package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// healthcheckCommand checks whether a host is alive and ready.
type healthcheckCommand struct {
	stdout, stderr io.Writer
	address        string
	timeout        time.Duration
}

func newHealthcheck(stdout, stderr io.Writer) *healthcheckCommand {
	return &healthcheckCommand{stdout: stdout, stderr: stderr}
}

func (he *healthcheckCommand) command() *ffcli.Command {
	set := flags("healthcheck", he.stderr)
	set.StringVar(&he.address, "address", "127.0.0.1:8081", "operator address of the host")
	set.DurationVar(&he.timeout, "timeout", 2*time.Second, "timeout of the whole check")
	return &ffcli.Command{
		Name:       "healthcheck",
		ShortUsage: "mangopaddle healthcheck [--address ADDRESS]",
		ShortHelp:  "Check whether a host is alive and ready; exit 1 if it is not.",
		FlagSet:    set,
		Exec:       he.run,
	}
}

func (he *healthcheckCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, he.timeout)
	defer cancel()
	for _, path := range []string{"/healthz", "/readyz"} {
		if err := he.get(ctx, path); err != nil {
			return errors.Annotatef(err, "host at %s", he.address)
		}
	}
	fmt.Fprintln(he.stdout, "ready")
	return nil
}

// maxStatusBodyBytes limits how much of the body of a failed check is reported.
const maxStatusBodyBytes = 1024

// get returns an error unless the path responds with status 200.
func (he *healthcheckCommand) get(ctx context.Context, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+he.address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBodyBytes))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Errorf("%s responded with %q", path, strings.TrimSpace(string(body)))
}
