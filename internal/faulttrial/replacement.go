package faulttrial

import (
	"fmt"
	"time"
)

const (
	// youngCallPeriod is the time between the end of a hang, or the start of a replacement without one, and the end of
	// the process: calls answered in it are young then.
	youngCallPeriod = 280 * time.Millisecond
	// lateListing is when the membership list shows a replacement that it is not to show before the calls have to be
	// released.
	lateListing = releaseLimit + 2*time.Second
)

// Replacement describes how the process of a core ends and another one, with an id of its own, takes its address.
type Replacement struct {
	Hang    time.Duration `json:"hang,omitempty"`    // it first hangs for this long, and then serves what has queued
	Close   bool          `json:"close,omitempty"`   // it closes its connections in order, instead of resetting them
	Gap     time.Duration `json:"gap,omitempty"`     // from its end until the other process listens
	Listing time.Duration `json:"listing,omitempty"` // from its end until the membership list has the other process
	Early   time.Duration `json:"early,omitempty"`   // by how much the listed start precedes the listening
	NoStart bool          `json:"no_start,omitempty"`

	Silent bool          `json:"silent,omitempty"` // its machine vanishes: its connections stay open and silent
	Killed bool          `json:"killed,omitempty"` // it ends in its hang
	Lead   time.Duration `json:"lead,omitempty"`   // by how much the list precedes its end, 0 if it follows: see Listing
	Others OtherTraffic  `json:"others"`           // on the process that follows

	SameCircuits bool `json:"same_circuits,omitempty"` // calls of others there take as many circuits as were in use before
}

// String returns the replacement as text.
func (r Replacement) String() string {
	return fmt.Sprintf("hang %v close %v gap %v listing %v early %v no start %v silent %v killed %v lead %v others %+v", r.Hang, r.Close,
		r.Gap, r.Listing, r.Early, r.NoStart, r.Silent, r.Killed, r.Lead, r.Others)
}

// drawReplacement draws a replacement: the list may have it before it listens, and too late for the release of calls, and
// may have its start early, late, exactly or not at all.
func drawReplacement(r planRand) Replacement {
	x := Replacement{Close: r.chance(0.5), NoStart: r.chance(0.25)}
	if r.chance(0.5) {
		x.Hang = r.between(300*time.Millisecond, 6*time.Second)
	}
	gaps := []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, r.between(0, 3*time.Second)}
	x.Gap = gaps[r.IntN(len(gaps))]
	listings := []time.Duration{0, x.Gap + 240*time.Millisecond, r.between(0, x.Gap+3*time.Second), lateListing}
	x.Listing = listings[r.IntN(len(listings))]
	starts := []time.Duration{0, r.between(0, 200*time.Millisecond), r.between(0, 2*time.Second), -r.between(0, time.Second)}
	x.Early = starts[r.IntN(len(starts))]
	return x
}

// drawSharedGroup draws the calls of others on the process that follows, and ends without a sign or in a hang. Of the calls
// of others, a share stands on, or as many as there were come at once or one by one.
func (x *Replacement) drawSharedGroup(r planRand, others OtherTraffic) {
	x.Others = others
	switch r.IntN(3) {
	case 0:
		x.Others.Calls = int(r.Float64() * float64(others.Calls))
	case 1:
		x.Others = OtherTraffic{Calls: r.IntN(60), Rate: 10 * r.Float64(), Hold: 4 * time.Second}
	}
	switch r.IntN(4) {
	case 0:
		x.Silent, x.Gap = true, 0
	case 1:
		x.Killed, x.Hang = true, r.between(300*time.Millisecond, 6*time.Second)
		x.Lead = r.between(0, x.Hang)
	}
}

// PlayReplacement replaces the process of an exchange's core. It returns when the other process listens and the membership
// list has it.
func (l *Lab) PlayReplacement(number int, r Replacement) error {
	old := l.Core(number)
	id := l.newCoreID()
	listed := make(chan struct{})
	announce := func(end time.Time) {
		defer close(listed)
		l.announceAs(id, old, r.listedStart(end))
	}
	if expectedEnd := time.Now().Add(r.Hang + youngCallPeriod); r.Lead > 0 {
		time.AfterFunc(time.Until(expectedEnd)-r.Lead, func() { announce(expectedEnd) })
	}
	others := r.Others
	if r.SameCircuits {
		others = OtherTraffic{ByController: old.CircuitsInUse()}
	}
	if !old.Vanished() { // its process has ended then, without a sign
		r.endProcess(old)
	}
	end := time.Now()
	if r.Lead == 0 {
		time.AfterFunc(r.Listing, func() { announce(end) })
	}
	time.Sleep(time.Until(end.Add(r.Gap)))
	err := l.replaceAs(id, number, others)
	<-listed
	return err
}

// endProcess ends a core's process, after a hang if there is to be one.
func (r Replacement) endProcess(core *CoreProcess) {
	if r.Hang > 0 {
		core.Hang()
		time.Sleep(r.Hang)
		if !r.Killed {
			core.Restore()
		}
	}
	time.Sleep(youngCallPeriod)
	switch {
	case r.Silent:
		core.VanishInPlace()
	case r.Close:
		core.Exit()
	default:
		core.Crash()
	}
}

// listedStart returns the start time that the list shows for a process that follows one that ended at end.
func (r Replacement) listedStart(end time.Time) time.Time {
	if r.NoStart {
		return time.Time{}
	}
	return end.Add(r.Gap - r.Early)
}
