package storm

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// heavy finds the numbers that take more than their part of a destination's calls, in bounded memory: the
// space-saving sketch of Metwally, Agrawal and El Abbadi (2005), with counts that fade.
type heavy struct {
	lines [mostHeavy]heavyLine
	all   rate
}

type heavyLine struct {
	number uint64
	rate   rate
	over   rate // what the line may have taken over from others
}

const (
	heavyPart  = 0.3 // of a destination's calls
	heavyLeast = 5.0 // calls a second
)

// add counts a call.
func (h *heavy) add(now time.Duration, number uint64) {
	h.all.add(now, 1, fast)
	least, low := &h.lines[0], h.lines[0].rate.get(now, fast)
	for i := range h.lines {
		l := &h.lines[i]
		if l.number == number {
			l.rate.add(now, 1, fast)
			return
		}
		if r := l.rate.get(now, fast); r < low {
			least, low = l, r
		}
	}
	least.number, least.over = number, rate{low, now}
	least.rate.add(now, 1, fast)
}

// is tells whether a number is heavy for certain.
func (h *heavy) is(now time.Duration, number uint64) bool {
	for i := range h.lines {
		if l := &h.lines[i]; l.number == number {
			sure := l.rate.get(now, fast) - l.over.get(now, fast)
			return sure > heavyLeast && sure > heavyPart*h.all.get(now, fast)
		}
	}
	return false
}

func groupName(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// sortChanges puts changes in the order of their times and scopes, whatever map they came from.
func sortChanges(list []Change) {
	slices.SortStableFunc(list, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Scope.Kind, b.Scope.Kind), cmp.Compare(a.Scope.Name, b.Scope.Name))
	})
}
