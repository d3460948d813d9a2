package config

import (
	"fmt"
	"sort"
	"strings"

	mp "github.com/mangopaddle/mangopaddle"
)

// Fault is an error or a warning about a configuration set.
type Fault struct {
	// Key is the key of the faulty value.
	Key mp.ConfigKey `json:"key"`
	// Path is a JSON pointer into the value; empty for the whole value.
	Path string `json:"path"`
	// Problem describes the fault and what is expected instead.
	Problem string `json:"problem"`
	// Warning marks a fault that does not prevent the set from being applied.
	Warning bool `json:"warning,omitempty"`
}

// String formats the fault as one line.
func (fa Fault) String() string {
	path := fa.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: %s: %s", fa.Key, path, fa.Problem)
}

// Faults is a list of faults. It implements error.
type Faults []Fault

// Error returns the faults without the warnings, one per line.
func (fas Faults) Error() string {
	lines := make([]string, 0, len(fas))
	for _, fa := range fas {
		if !fa.Warning {
			lines = append(lines, fa.String())
		}
	}
	return strings.Join(lines, "\n")
}

// HasErrors reports whether any fault is not a warning, so that the set must not be
// applied.
func (fas Faults) HasErrors() bool {
	for _, fa := range fas {
		if !fa.Warning {
			return true
		}
	}
	return false
}

func (fas Faults) sorted() Faults {
	sort.SliceStable(fas, func(a, b int) bool {
		if fas[a].Key != fas[b].Key {
			return fas[a].Key < fas[b].Key
		}
		return fas[a].Path < fas[b].Path
	})
	return fas
}
