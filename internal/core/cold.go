package core

import (
	"time"

	"brookmux"
	"brookmux/internal/storm"
)

// The guard on cold cores counts set-ups in slots: a short heavy burst right after a start can push a core
// over before a rate shows it.
const (
	coldSlot   = 250 * time.Millisecond
	coldWindow = 8   // slots in the window of the rule, 2 s
	usualSlots = 40  // slots that the usual rate is taken over, 10 s
	coldLeast  = 8   // set-ups that a window may always hold
	coldBudget = 0.8 // of the multiple: repeats and refusals are work too
	slotSpan   = usualSlots + 1
)

// load counts the set-ups sent to an exchange, slot by slot. It outlives the exchange's cores: what the old
// one carried is the guide to what the new one will.
type load struct {
	slots [slotSpan]int
	last  int64   // the slot counted last
	first int64   // the first slot counted
	usual float64 // set-ups a slot that it carried while its core was warm
}

// roll moves on to a slot.
func (l *load) roll(slot int64) {
	if l.first == 0 {
		l.first, l.last = slot, slot
	}
	for ; l.last < slot; l.last++ {
		l.slots[(l.last+1)%slotSpan] = 0
	}
}

// recent is how many set-ups the last so many slots hold, the present one too.
func (l *load) recent(n int64) int {
	sum := 0
	for i := range n {
		sum += l.slots[(l.last-i+slotSpan)%slotSpan]
	}
	return sum
}

// warmth is the share of its work that a core can do by now at least, as the settings tell it.
func (e *Engine) warmth(s brookmux.Switch) float64 {
	within := e.Settings.Module.WarmWithin
	age := e.now - s.Since
	if s.Since <= 0 || within <= 0 || age >= within {
		return 1
	}
	from := e.Settings.Module.ColdFrom
	return from + (1-from)*float64(max(0, age))/float64(within)
}

// SetPlanned takes what exchanges are planned to bear, in set-ups a second of all controllers, by number. It counts
// for the guard on cold cores where nothing has been seen yet.
func (e *Engine) SetPlanned(planned map[int]float64) { e.post(func() { e.planned = planned }) }

// usual is how many set-ups a slot an exchange carries on usual days: as it was seen, or else this controller's part
// of what it is planned to bear, or else as its circuits tell.
func (e *Engine) usual(s brookmux.Switch, l *load) float64 {
	if planned := e.planned[s.Number]; l.usual == 0 && planned > 0 {
		return planned / float64(max(1, e.Settings.Module.Instances)) * coldSlot.Seconds()
	}
	if l.usual > 0 || e.Storm == nil || !e.Storm.Cold {
		return l.usual
	}
	hold := time.Duration(0)
	for _, k := range e.Settings.Module.Classes {
		hold = max(hold, k.Hold)
	}
	return storm.ColdSeed(e.sizes[s.Number], hold) * coldSlot.Seconds()
}

// tooCold tells whether one more set-up to a core would be more than this controller's part of what may reach
// it while it is cold, and counts the set-up if not.
func (e *Engine) tooCold(to brookmux.SwitchID) bool {
	s := e.switches[to]
	l := e.loads[s.Number]
	if l == nil {
		l = &load{}
		e.loads[s.Number] = l
	}
	l.roll(int64(e.now / coldSlot))
	if warm := e.warmth(s); warm < 1 && e.Settings.Module.FallMultiple > 0 {
		most := max(coldLeast, e.Settings.Module.FallMultiple*coldBudget*warm*e.usual(s, l)*coldWindow)
		if float64(l.recent(coldWindow)) >= most {
			return true
		}
	} else if seen := min(usualSlots, l.last-l.first+1); seen >= coldWindow {
		// The most that the exchange has carried for that long: a rate taken while gates were low would hold
		// back what the module may well send.
		l.usual = max(l.usual, float64(l.recent(seen))/float64(seen))
	}
	l.slots[l.last%slotSpan]++
	return false
}
