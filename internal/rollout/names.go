package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// maxListedNames is how many of many names a text lists.
const maxListedNames = 3

// FirstNames lists the first names and tells how many more there are.
func FirstNames(names []string) string {
	return firstNamesText(names[:min(len(names), maxListedNames)], len(names))
}

func firstNamesText(first []string, total int) string {
	if total > len(first) {
		return fmt.Sprintf("%s and %d more", strings.Join(first, ", "), total-len(first))
	}
	return strings.Join(first, ", ")
}

// firstNames collects the first of many names in sorted order without keeping all: a drain may wait
// for thousands of routers.
type firstNames struct {
	// first are the first names, sorted, at most maxListedNames.
	first []string
	// total is how many names were added.
	total int
}

func (f *firstNames) add(name string) {
	f.total++
	at, _ := slices.BinarySearch(f.first, name)
	if at == maxListedNames {
		return
	}
	f.first = slices.Insert(f.first, at, name)
	f.first = f.first[:min(len(f.first), maxListedNames)]
}

func (f *firstNames) text() string { return firstNamesText(f.first, f.total) }
