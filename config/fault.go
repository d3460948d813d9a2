package config

import (
	"fmt"
	"sort"
	"strings"

	mp "github.com/mangopaddle/mangopaddle"
)

// Fault is one thing that is wrong with a configuration set.
type Fault struct {
	// Key names the value that is wrong.
	Key mp.ConfigKey `json:"key"`
	// Path is a JSON pointer into the value.
	Path string `json:"path"`
	// Problem says what is wrong and what would be right.
	Problem string `json:"problem"`
	// Warning marks a fault that does not stop the set from being applied.
	Warning bool `json:"warning,omitempty"`
}

// String returns the fault as one line.
func (fa Fault) String() string {
	path := fa.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: %s: %s", fa.Key, path, fa.Problem)
}

// Faults is a list of faults.
type Faults []Fault

// Error returns the faults that are no warnings, one to a line.
func (fas Faults) Error() string {
	lines := make([]string, 0, len(fas))
	for _, fa := range fas {
		if !fa.Warning {
			lines = append(lines, fa.String())
		}
	}
	return strings.Join(lines, "\n")
}

// HasErrors says whether a fault stops the set from being applied.
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
