package standin

import "time"

// Record keeps what became of calls.
type Record struct {
	Calls     []*Call
	Told      map[[2]int][]time.Duration // waits told, in turn, by a controller and its start
	Unreached int                        // tries that found nobody listening
}

// NewRecord returns an empty Record.
func NewRecord() *Record { return &Record{Told: map[[2]int][]time.Duration{}} }

func (r *Record) offered(k *Call) { r.Calls = append(r.Calls, k) }

func (r *Record) told(by *Node, wait time.Duration) {
	if wait > 0 {
		k := [2]int{by.number, by.epoch}
		r.Told[k] = append(r.Told[k], wait.Round(time.Millisecond))
	}
}

// Alike counts the waits that the same controller had told before, among its last so many.
func (r *Record) Alike(among int) int {
	alike := 0
	for _, told := range r.Told {
		recent := map[time.Duration]int{}
		for i, w := range told {
			if i >= among {
				recent[told[i-among]]--
			}
			if recent[w] > 0 {
				alike++
			}
			recent[w]++
		}
	}
	return alike
}

// OfDay is a time of the virtual clock as one of the day.
func OfDay(at time.Duration) time.Duration { return at - dayStart }

// Tally is what became of the calls of a span of time.
type Tally struct {
	Offered, Tries int
	Worth, Served  float64 // offered, and of calls that stood within their aim
	InTime         int
}

// Share is the part of the worth that was served in time.
func (t Tally) Share() float64 {
	if t.Worth == 0 {
		return 0
	}
	return t.Served / t.Worth
}

// Span counts the calls first tried between two times of the day that fit.
func (m *Mesh) Span(r *Record, from, to time.Duration, fit func(*Call) bool) Tally {
	var t Tally
	for _, k := range r.Calls {
		if at := k.At - dayStart; at < from || at >= to || fit != nil && !fit(k) {
			continue
		}
		class := m.Settings.Module.Classes[k.Class]
		t.Offered++
		t.Tries += k.Tries
		t.Worth += class.Worth
		if k.Stood > 0 && k.Stood-k.At <= class.Aim {
			t.InTime++
			t.Served += class.Worth
		}
	}
	return t
}

// Until runs the day up to a time.
func (m *Mesh) Until(t time.Duration) { m.Run(dayStart + t) }
