package standin

import "time"

// Record records calls and their results.
type Record struct {
	Calls        []*Call
	AdvisedWaits map[[2]int][]time.Duration // advised waits in order, by exchange number and epoch of the controller
	Unreached    int                        // tries at controllers that were down
}

// NewRecord returns an empty Record.
func NewRecord() *Record { return &Record{AdvisedWaits: map[[2]int][]time.Duration{}} }

// addCall records a new call.
func (r *Record) addCall(k *Call) { r.Calls = append(r.Calls, k) }

// addWait records a wait that a controller has advised, rounded to a millisecond; 0 is not recorded.
func (r *Record) addWait(by *Node, wait time.Duration) {
	if wait > 0 {
		k := [2]int{by.number, by.epoch}
		r.AdvisedWaits[k] = append(r.AdvisedWaits[k], wait.Round(time.Millisecond))
	}
}

// RepeatedWaits returns how many advised waits repeat one of the preceding window waits of the same controller.
func (r *Record) RepeatedWaits(window int) int {
	repeated := 0
	for _, waits := range r.AdvisedWaits {
		recent := map[time.Duration]int{}
		for i, w := range waits {
			if i >= window {
				recent[waits[i-window]]--
			}
			if recent[w] > 0 {
				repeated++
			}
			recent[w]++
		}
	}
	return repeated
}

// SinceStart converts a time of the virtual clock to the time since the start of the mesh.
func SinceStart(at time.Duration) time.Duration { return at - dayStart }

// Tally sums up the calls of a period.
type Tally struct {
	Offered, Tries int
	Worth, Served  float64 // of all calls, and of those answered within their class's aim
	InTime         int     // calls answered within their class's aim
}

// Share returns the share of the worth that was served in time, 0 without calls.
func (t Tally) Share() float64 {
	if t.Worth == 0 {
		return 0
	}
	return t.Served / t.Worth
}

// Span sums up the calls whose first try was in [from, to) since the start of the mesh. include selects the calls; nil
// selects all.
func (m *Mesh) Span(r *Record, from, to time.Duration, include func(*Call) bool) Tally {
	var t Tally
	for _, k := range r.Calls {
		if at := k.FirstTryAt - dayStart; at < from || at >= to || include != nil && !include(k) {
			continue
		}
		class := m.Settings.Module.Classes[k.Class]
		t.Offered++
		t.Tries += k.Tries
		t.Worth += class.Worth
		if k.StoodAt > 0 && k.StoodAt-k.FirstTryAt <= class.Aim {
			t.InTime++
			t.Served += class.Worth
		}
	}
	return t
}

// RunUntil runs the mesh up to a time since its start.
func (m *Mesh) RunUntil(t time.Duration) { m.Run(dayStart + t) }
