package divider

import "slices"

// Cell returns the cell of a member: a group of at most size members that includes
// it. All members that know the same names agree on the cells, whose sizes differ by
// at most one. The names are sorted in place.
func Cell(self string, names []string, size int) []string {
	slices.Sort(names)
	cells := (len(names) + size - 1) / size
	i, found := slices.BinarySearch(names, self)
	if !found || cells <= 1 {
		return names
	}
	c := i * cells / len(names)
	// Cell c holds the names i with i*cells/len(names) == c.
	first := (c*len(names) + cells - 1) / cells
	end := ((c+1)*len(names) + cells - 1) / cells
	return names[first:end]
}
