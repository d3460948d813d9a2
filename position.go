package mangopaddle

import "cmp"

// Era counts how often the platform's store has come back from a copy that lacked its
// last changes. It is zero for a store that reports none.
type Era uint64

// Position is a point in the history of the platform's store. Revisions order the changes
// of one era; a later era may give out the same revisions for other changes. The zero
// position stands for none.
type Position struct {
	Era      Era      `json:"era,omitempty"`
	Revision Revision `json:"revision"`
}

// Compare returns -1, 0 or 1 if the position is before, at or after the other one.
func (po Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(po.Era, other.Era), cmp.Compare(po.Revision, other.Revision))
}

// Before reports whether the position is before the other one.
func (po Position) Before(other Position) bool { return po.Compare(other) < 0 }

// IsZero reports whether the position stands for none.
func (po Position) IsZero() bool { return po == Position{} }
