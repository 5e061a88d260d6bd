package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// maxListedNames is how many names a summary lists before it only counts the rest.
const maxListedNames = 3

// SummarizeNames returns a text with the first few names and the number of names left out.
func SummarizeNames(names []string) string {
	return nameSummaryText(names[:min(len(names), maxListedNames)], len(names))
}

func nameSummaryText(first []string, total int) string {
	if total > len(first) {
		return fmt.Sprintf("%s and %d more", strings.Join(first, ", "), total-len(first))
	}
	return strings.Join(first, ", ")
}

// nameSummary collects the alphabetically first names of a set without keeping the others: a drain
// may wait for thousands of routers.
type nameSummary struct {
	// first are the first names in alphabetical order, at most maxListedNames.
	first []string
	// total is how many names were added.
	total int
}

func (s *nameSummary) add(name string) {
	s.total++
	index, _ := slices.BinarySearch(s.first, name)
	if index == maxListedNames {
		return
	}
	s.first = slices.Insert(s.first, index, name)
	s.first = s.first[:min(len(s.first), maxListedNames)]
}

func (s *nameSummary) text() string { return nameSummaryText(s.first, s.total) }
