package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/mangopaddle/mangopaddle/burn"
	"github.com/mangopaddle/mangopaddle/operator"
)

// reportCommand merges the outcomes of several hosts into one report.
type reportCommand struct {
	stdout, stderr io.Writer
	hosts          string
	timeout        time.Duration
	asJSON         bool
	html           string
}

func newReport(stdout, stderr io.Writer) *reportCommand {
	return &reportCommand{stdout: stdout, stderr: stderr}
}

func (re *reportCommand) command() *ffcli.Command {
	set := flags("report", re.stderr)
	set.StringVar(&re.hosts, "hosts", "127.0.0.1:8081", "comma-separated operator addresses of the hosts; a name that ends in .json is a saved response of /debug/outcomes")
	set.DurationVar(&re.timeout, "timeout", 3*time.Second, "timeout for each host")
	set.BoolVar(&re.asJSON, "json", false, "print the report as JSON")
	set.StringVar(&re.html, "html", "", "output file for a self-contained HTML page")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "mangopaddle report --hosts ADDRESS,ADDRESS… [--json] [--html FILE]",
		ShortHelp:  "Merge the outcomes of all hosts and print attainment, error budget, burn rates, goodput, wasted tokens and failures.",
		FlagSet:    set,
		Exec:       re.run,
	}
}

func (re *reportCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return errors.Trace(err)
	}
	var outcomes []operator.Outcomes
	var missingHosts []string
	for name := range strings.SplitSeq(re.hosts, ",") {
		out, err := re.read(ctx, name)
		if err != nil {
			missingHosts = append(missingHosts, name)
			continue
		}
		outcomes = append(outcomes, out)
	}
	merged, err := burn.New(outcomes, missingHosts)
	if err != nil {
		return errors.Trace(err)
	}
	return re.print(merged)
}

// read returns the outcomes of a host, from its operator endpoint or a saved
// response.
func (re *reportCommand) read(ctx context.Context, name string) (operator.Outcomes, error) {
	var out operator.Outcomes
	if strings.HasSuffix(name, ".json") {
		return out, readJSON(name, &out)
	}
	ctx, cancel := context.WithTimeout(ctx, re.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+name+"/debug/outcomes", nil)
	if err != nil {
		return out, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return out, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return out, errors.Errorf("host %q responded with status %d", name, response.StatusCode)
	}
	return out, errors.Trace(json.NewDecoder(response.Body).Decode(&out))
}

func (re *reportCommand) print(merged *burn.Report) error {
	if re.html != "" {
		file, err := os.Create(re.html)
		if err != nil {
			return errors.Trace(err)
		}
		defer file.Close()
		if err := merged.WriteHTML(file); err != nil {
			return errors.Trace(err)
		}
	}
	if re.asJSON {
		encoder := json.NewEncoder(re.stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(merged))
	}
	return merged.WriteText(re.stdout)
}
