package core

import (
	"time"

	"brookmux"
	"brookmux/internal/storm"
)

// The limit on set-ups to cold cores counts them in short slots: a heavy burst right after a start can overload a core
// before an averaged rate shows it.
const (
	coldSlot        = 250 * time.Millisecond
	coldWindow      = 8                 // slots in the window of the limit, 2 s
	baselineSlots   = 40                // slots over which the baseline rate is averaged, 10 s
	coldMinSetUps   = 8                 // set-ups always allowed in a window
	coldBudgetShare = 0.8               // share of FallMultiple in use: repeats and refusals load the core too
	slotCount       = baselineSlots + 1 // the past slots and the current one
)

// setUpCounter counts the set-ups sent to an exchange in a ring of time slots. It is kept by exchange and not by core:
// the rate that the previous core carried is the estimate for its replacement.
type setUpCounter struct {
	slots     [slotCount]int
	lastSlot  int64   // the current slot
	firstSlot int64   // the first slot counted
	baseline  float64 // highest mean of set-ups per slot seen while the core was warm; 0 if none yet
}

// advance makes slot the current one and clears the slots that were skipped.
func (c *setUpCounter) advance(slot int64) {
	if c.firstSlot == 0 {
		c.firstSlot, c.lastSlot = slot, slot
	}
	for ; c.lastSlot < slot; c.lastSlot++ {
		c.slots[(c.lastSlot+1)%slotCount] = 0
	}
}

// countLast returns the number of set-ups in the last n slots, including the current one.
func (c *setUpCounter) countLast(n int64) int {
	sum := 0
	for i := range n {
		sum += c.slots[(c.lastSlot-i+slotCount)%slotCount]
	}
	return sum
}

// warmShare returns the minimum share of its full load that a core can carry now. It rises linearly from ColdFrom to 1
// within WarmWithin of the core's start.
func (e *Engine) warmShare(s brookmux.Switch) float64 {
	warmUp := e.Settings.Module.WarmWithin
	age := e.now - s.Since
	if s.Since <= 0 || warmUp <= 0 || age >= warmUp {
		return 1
	}
	coldShare := e.Settings.Module.ColdFrom
	return coldShare + (1-coldShare)*float64(max(0, age))/float64(warmUp)
}

// SetPlanned sets the planned load of exchanges, by number, in set-ups a second from all controllers together. The
// limit on cold cores uses it for an exchange whose load has not been observed yet. The map belongs to the engine
// afterwards.
func (e *Engine) SetPlanned(planned map[int]float64) { e.post(func() { e.planned = planned }) }

// baseline returns the normal number of set-ups per slot to an exchange: the observed rate, else this controller's part
// of the planned load, else, with storm.Config.Cold, an estimate from the number of circuits.
func (e *Engine) baseline(s brookmux.Switch, counter *setUpCounter) float64 {
	if planned := e.planned[s.Number]; counter.baseline == 0 && planned > 0 {
		return planned / float64(max(1, e.Settings.Module.Instances)) * coldSlot.Seconds()
	}
	if counter.baseline > 0 || e.Storm == nil || !e.Storm.Cold {
		return counter.baseline
	}
	hold := time.Duration(0)
	for _, k := range e.Settings.Module.Classes {
		hold = max(hold, k.Hold)
	}
	return storm.ColdSeed(e.groupSizes[s.Number], hold) * coldSlot.Seconds()
}

// exceedsColdLimit reports whether one more set-up to a core would exceed this controller's part of the load allowed
// for a cold core. If not, it counts the set-up. Without a FallMultiple there is no limit.
func (e *Engine) exceedsColdLimit(to brookmux.SwitchID) bool {
	s := e.switches[to]
	counter := e.setUpCounters[s.Number]
	if counter == nil {
		counter = &setUpCounter{}
		e.setUpCounters[s.Number] = counter
	}
	counter.advance(int64(e.now / coldSlot))
	if share := e.warmShare(s); share < 1 && e.Settings.Module.FallMultiple > 0 {
		limit := max(coldMinSetUps, e.Settings.Module.FallMultiple*coldBudgetShare*share*
			e.baseline(s, counter)*coldWindow)
		if float64(counter.countLast(coldWindow)) >= limit {
			return true
		}
	} else if observed := min(baselineSlots, counter.lastSlot-counter.firstSlot+1); observed >= coldWindow {
		// Keep the highest rate that the exchange has carried over the observed slots: a rate measured while the gates
		// admitted little would hold back set-ups that the module may send.
		counter.baseline = max(counter.baseline, float64(counter.countLast(observed))/float64(observed))
	}
	counter.slots[counter.lastSlot%slotCount]++
	return false
}
