package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/replay"
	"github.com/mangopaddle/mangopaddle/trace"
)

// replayCommand simulates the scheduling of a trace.
type replayCommand struct {
	stdout, stderr io.Writer
	trace          string
	spec           string
	configDir      string
	policy         string
	expect         string
	hosts          int
	asJSON         bool
	html           string
}

func newReplay(stdout, stderr io.Writer) *replayCommand {
	return &replayCommand{stdout: stdout, stderr: stderr}
}

func (re *replayCommand) command() *ffcli.Command {
	set := flags("replay", re.stderr)
	set.StringVar(&re.trace, "trace", "", "trace file in JSON lines")
	set.StringVar(&re.spec, "spec", "", "JSON specification to generate the trace from, instead of --trace")
	set.StringVar(&re.configDir, "contracts", ".", "directory with fleet.json and contracts/NAME.json")
	set.StringVar(&re.policy, "policy", string(replay.PolicyMangopaddle), "scheduling policy: mangopaddle, round-robin, least-load or fifo")
	set.StringVar(&re.expect, "expect", "", "JSON file with expected outcomes; exit 1 if one is not met")
	set.IntVar(&re.hosts, "hosts", 3, "number of entry hosts in each data centre")
	set.BoolVar(&re.asJSON, "json", false, "print the result as JSON")
	set.StringVar(&re.html, "html", "", "output file for an HTML page with plots")
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "mangopaddle replay --trace FILE|--spec FILE [--contracts DIR] [--policy NAME] [--expect FILE]",
		ShortHelp:  "Simulate the scheduling of a trace in virtual time and print the outcomes by class.",
		FlagSet:    set,
		Exec:       re.run,
	}
}

func (re *replayCommand) run(_ context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	set, faults, err := decodeDirectory(re.configDir)
	if err != nil {
		return errors.Trace(err)
	}
	if set == nil {
		return errors.Annotatef(faults, "configuration set in %q", re.configDir)
	}
	lines, err := re.lines(set)
	if err != nil {
		return errors.Trace(err)
	}
	result, err := replay.Run(set, lines, replay.WithPolicy(replay.Policy(re.policy)), replay.WithHostsPerDataCentre(re.hosts))
	if err != nil {
		return errors.Trace(err)
	}
	if err := re.print(result); err != nil {
		return errors.Trace(err)
	}
	return re.check(result)
}

// lines reads the trace or generates it from a specification.
func (re *replayCommand) lines(set *config.Set) ([]trace.Line, error) {
	if re.spec == "" {
		file, err := os.Open(re.trace)
		if err != nil {
			return nil, errors.Annotate(err, "trace")
		}
		defer file.Close()
		return trace.Read(file)
	}
	var spec trace.Spec
	if err := readJSON(re.spec, &spec); err != nil {
		return nil, errors.Trace(err)
	}
	return trace.Generate(spec, set)
}

// readJSON decodes a JSON file into the value that into points to.
func readJSON(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotatef(json.Unmarshal(text, into), "file %q", path)
}

func (re *replayCommand) print(rs *replay.Result) error {
	if re.html != "" {
		file, err := os.Create(re.html)
		if err != nil {
			return errors.Trace(err)
		}
		defer file.Close()
		if err := rs.WriteHTML(file, re.policy); err != nil {
			return errors.Trace(err)
		}
	}
	if re.asJSON {
		encoder := json.NewEncoder(re.stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(rs))
	}
	table := tabwriter.NewWriter(re.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\ttier\toffered\tcompleted\trefused\tfirst token\tpromised\tp95\tbetween tokens\tgoodput\twasted\tremote bytes\t")
	for _, cr := range rs.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.4f\t%.4f\t%.3fs\t%.4f\t%d\t%d\t%d\t\n", cr.Class, cr.Tier, cr.Offered, cr.Completed, cr.RefusedTotal(),
			cr.FirstTokenAttainment(), cr.PromisedFirstTokenAttainment(), cr.FirstTokenP95().Seconds(), cr.BetweenTokensAttainment(), cr.Goodput, cr.Wasted, cr.InterRegionBytes)
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(re.stdout, "goodput %.4f of capacity, wasted %.4f, preempted %d, lost %d, doubled %d\n",
		rs.GoodputOfCapacity, rs.WastedRatio, rs.Preemptions, rs.Lost, rs.WrongLength)
	return nil
}

// check prints the expectations that are not met, and returns errFailed if there
// are any.
func (re *replayCommand) check(rs *replay.Result) error {
	if re.expect == "" {
		return nil
	}
	var expectations []replay.Expectation
	if err := readJSON(re.expect, &expectations); err != nil {
		return errors.Trace(err)
	}
	violations := rs.Check(expectations)
	for _, vi := range violations {
		fmt.Fprintln(re.stdout, "not met:", vi)
	}
	if len(violations) > 0 {
		return errFailed
	}
	fmt.Fprintf(re.stdout, "%d expectations met\n", len(expectations))
	return nil
}
