// Command mangopaddle is a router for language-model traffic with service
// levels and priorities.
package main

import (
	"context"
	"os"
)

func main() {
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
