package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/bench"
)

// benchCommand measures the resource use that "mangopaddle capacity" extrapolates
// from.
type benchCommand struct {
	stdout, stderr io.Writer
	out            string
	timeout        time.Duration
}

func newBench(stdout, stderr io.Writer) *benchCommand {
	return &benchCommand{stdout: stdout, stderr: stderr}
}

func (be *benchCommand) command() *ffcli.Command {
	set := flags("bench", be.stderr)
	set.StringVar(&be.out, "out", "", "output file for the result as JSON, for \"mangopaddle capacity --from FILE\"")
	set.DurationVar(&be.timeout, "limit", 2*time.Minute, "timeout of the whole measurement")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "mangopaddle bench [--out FILE]",
		ShortHelp:  "Measure time, memory and message sizes, from which \"mangopaddle capacity\" extrapolates.",
		FlagSet:    set,
		Exec:       be.run,
	}
}

func (be *benchCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, be.timeout)
	defer cancel()
	re, err := bench.Run(ctx, func(name string) { fmt.Fprintln(be.stderr, "measuring", name) })
	if err != nil {
		return errors.Trace(err)
	}
	be.print(re)
	if be.out == "" {
		return nil
	}
	text, err := json.MarshalIndent(re, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(be.out, append(text, '\n'), fileMode))
}

func (be *benchCommand) print(re *bench.Result) {
	table := tabwriter.NewWriter(be.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "slope\tat zero\tper x\tx\tunit\tpoints\tup to\tR²")
	for _, lf := range re.Fits {
		fmt.Fprintf(table, "%s\t%.5g\t%.5g\t%s\t%s\t%d\t%.0f\t%.4f\n", lf.Name, lf.Intercept, lf.PerX, lf.XUnit, lf.YUnit, len(lf.Points), lf.MaxX(), lf.RSquared)
	}
	fmt.Fprintln(table, "figure\tvalue\tunit")
	for _, sc := range re.Scalars {
		fmt.Fprintf(table, "%s\t%.5g\t%s\n", sc.Name, sc.Value, sc.Unit)
	}
	_ = table.Flush()
}
