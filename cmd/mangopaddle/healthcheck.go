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

// healthcheck asks a host whether it is ready.
type healthcheck struct {
	stdout, stderr io.Writer
	address        string
	timeout        time.Duration
}

func newHealthcheck(stdout, stderr io.Writer) *healthcheck {
	return &healthcheck{stdout: stdout, stderr: stderr}
}

func (he *healthcheck) command() *ffcli.Command {
	set := flags("healthcheck", he.stderr)
	set.StringVar(&he.address, "address", "127.0.0.1:8081", "operators' address of the host")
	set.DurationVar(&he.timeout, "timeout", 2*time.Second, "longest wait for an answer")
	return &ffcli.Command{
		Name:       "healthcheck",
		ShortUsage: "mangopaddle healthcheck [--address ADDRESS]",
		ShortHelp:  "Ask a host whether it is alive and ready; exit 1 if it is not.",
		FlagSet:    set,
		Exec:       he.run,
	}
}

func (he *healthcheck) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, he.timeout)
	defer cancel()
	for _, path := range []string{"/healthz", "/readyz"} {
		if err := he.ask(ctx, path); err != nil {
			return errors.Annotatef(err, "host at %s", he.address)
		}
	}
	fmt.Fprintln(he.stdout, "ready")
	return nil
}

// maxStatusText bounds the text of an answer that is not ok, in bytes.
const maxStatusText = 1024

func (he *healthcheck) ask(ctx context.Context, path string) error {
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxStatusText))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Errorf("%s says %q", path, strings.TrimSpace(string(text)))
}
