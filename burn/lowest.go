package burn

import (
	"cmp"
	"slices"
)

// lowestAttainment returns the rows with the lowest attainment, at most maxBars.
func lowestAttainment(rows []Row) []Row {
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(a, b Row) int { return cmp.Compare(a.Attainment, b.Attainment) })
	return sorted[:min(maxBars, len(sorted))]
}
