// Command mangopaddle is a router for language-model traffic with service
// levels and priorities. Its subcommands serve and gateway run an entry host, a
// process that accepts callers' requests and forwards them to engines and other
// backend servers: serve for the router's own API, gateway as a reverse proxy on the
// platform's machines. The other subcommands check configurations, run fakes, simulate
// traffic, and measure and report.
package main

import (
	"context"
	"os"
)

func main() {
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
