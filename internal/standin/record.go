package standin

import "time"

// Record keeps what became of calls.
type Record struct {
	Calls     []*Call
	Told      map[time.Duration]int // waits told, and how often
	Unreached int                   // tries that found nobody listening
}

// NewRecord returns an empty Record.
func NewRecord() *Record { return &Record{Told: map[time.Duration]int{}} }

func (r *Record) offered(k *Call) { r.Calls = append(r.Calls, k) }

func (r *Record) told(wait time.Duration) { r.Told[wait.Round(time.Millisecond)]++ }

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
