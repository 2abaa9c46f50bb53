package standin

import "time"

// Costs are the work of each job at a warm processor.
type Costs struct {
	Look    time.Duration // at a call, also if it is refused
	SetUp   time.Duration
	Answer  time.Duration
	Release time.Duration
	Refuse  time.Duration // to turn a set-up away
	Repeat  time.Duration // to read a set-up that is sent again while it waits
}

// Line is what a processor with one line is made of.
type Line struct {
	Costs
	TurnAway     time.Duration // set-ups that would wait longer are turned away, 0 for never
	Resend       time.Duration // a set-up that waits is sent again after this, then at doubling gaps; 0 for never
	ColdFrom     float64       // share of its work that a cold one does at first
	WarmWithin   time.Duration
	FallMultiple float64       // sent more than this multiple of what it can do
	FallAfter    time.Duration // for so long, a cold one falls over and stays down
}

// Processor does its work in turn.
type Processor struct {
	Line
	clock   *Clock
	since   time.Duration // its last start, 0 for long ago
	queue   []job
	pending time.Duration // work in the queue, as a warm one would do it
	busy    bool
	epoch   int // counts starts: what an earlier process began never ends
	stalled bool
	slow    float64   // it does this part of its work, 0 for all
	arrived []arrival // set-ups of the last FallAfter, while cold

	Worst  time.Duration // longest wait that a set-up met
	Turned int           // set-ups turned away
	Fell   bool          // it was pushed over
}

type job struct {
	work time.Duration
	live func() bool // nil for always; a job that is not wanted any more is dropped for nothing
	done func()
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

func newProcessor(c *Clock, l Line) *Processor { return &Processor{Line: l, clock: c} }

// Restart puts a cold one in its place.
func (p *Processor) Restart() {
	p.since, p.queue, p.pending, p.busy, p.stalled, p.slow, p.Fell, p.arrived = p.clock.Now(), nil, 0, false, false, 0, false, nil
	p.epoch++
}

// Stall lets it take work and do none for a while.
func (p *Processor) Stall(d time.Duration) {
	p.stalled = true
	epoch := p.epoch
	p.clock.After(d, func() {
		if p.epoch == epoch {
			p.stalled = false
			p.next()
		}
	})
}

// Slow lets it do a part of its work for a while.
func (p *Processor) Slow(part float64, d time.Duration) {
	p.slow = part
	epoch := p.epoch
	p.clock.After(d, func() {
		if p.epoch == epoch {
			p.slow = 0
		}
	})
}

// Speed is the share of its work that it does now.
func (p *Processor) Speed() float64 {
	if p.slow > 0 {
		return p.slow * p.warmth()
	}
	return p.warmth()
}

// warmth is the share of its work that a cold one does by now.
func (p *Processor) warmth() float64 {
	age := p.clock.Now() - p.since
	if p.since == 0 || age >= p.WarmWithin {
		return 1
	}
	return p.ColdFrom + (1-p.ColdFrom)*float64(age)/float64(p.WarmWithin)
}

// Wait is how long what comes now waits.
func (p *Processor) Wait() time.Duration { return time.Duration(float64(p.pending) / p.Speed()) }

// Do queues work that is never turned away.
func (p *Processor) Do(work time.Duration, live func() bool, done func()) {
	p.queue = append(p.queue, job{work, live, done})
	p.pending += work
	p.next()
}

// SetUp queues a set-up, or turns it away.
func (p *Processor) SetUp(live func() bool, done, refused func()) {
	p.cold()
	wait := p.Wait()
	if p.Worst = max(p.Worst, wait); p.TurnAway > 0 && wait > p.TurnAway {
		p.Turned++
		p.Do(p.Refuse, nil, nil)
		refused()
		return
	}
	waits := true
	p.Do(p.Costs.SetUp, live, func() { waits = false; done() })
	if p.Resend > 0 {
		p.repeat(p.Resend, func() bool { return waits && live() })
	}
}

// repeat queues the repeats of a set-up while it waits.
func (p *Processor) repeat(gap time.Duration, waits func() bool) {
	epoch := p.epoch
	p.clock.After(gap, func() {
		if p.epoch == epoch && waits() && gap < time.Minute {
			p.Do(p.Repeat, nil, nil)
			p.repeat(2*gap, waits)
		}
	})
}

// cold counts a set-up that reaches a cold processor, and pushes it over where they are too many.
func (p *Processor) cold() {
	speed, now := p.warmth(), p.clock.Now()
	if speed == 1 || p.FallMultiple <= 0 {
		p.arrived = nil
		return
	}
	p.arrived = append(p.arrived, arrival{now, p.Costs.SetUp})
	sum := time.Duration(0)
	for len(p.arrived) > 0 && p.arrived[0].at <= now-p.FallAfter {
		p.arrived = p.arrived[1:]
	}
	for _, a := range p.arrived {
		sum += a.work
	}
	if float64(sum) > p.FallMultiple*speed*float64(p.FallAfter) {
		p.Fell = true
	}
}

// next starts the first job that is still wanted.
func (p *Processor) next() {
	for !p.busy && !p.stalled && !p.Fell && len(p.queue) > 0 {
		j := p.queue[0]
		p.queue = p.queue[1:]
		if j.live != nil && !j.live() {
			p.pending -= j.work
			continue
		}
		p.busy = true
		epoch := p.epoch
		p.clock.After(time.Duration(float64(j.work)/p.Speed()), func() {
			if p.epoch != epoch {
				return
			}
			p.pending -= j.work
			p.busy = false
			if j.done != nil {
				j.done()
			}
			p.next()
		})
	}
}
