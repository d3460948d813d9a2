package burn

import (
	"cmp"
	"slices"
)

// worst returns the rows with the least attainment, at most maxBars.
func worst(rows []Row) []Row {
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(a, b Row) int { return cmp.Compare(a.Attainment, b.Attainment) })
	return sorted[:min(maxBars, len(sorted))]
}
