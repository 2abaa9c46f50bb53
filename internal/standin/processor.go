package standin

import "time"

// Costs holds the processing time of each kind of job at a warm processor.
type Costs struct {
	Receive        time.Duration // of a caller's request, whether rejected or not
	SetUp          time.Duration
	Answer         time.Duration
	Release        time.Duration
	Refuse         time.Duration // to reject a set-up
	Retransmission time.Duration // to read a set-up that is retransmitted while it waits
}

// ProcessorConfig configures a single-server processor.
type ProcessorConfig struct {
	Costs
	MaxWait         time.Duration // set-ups that would wait longer are rejected; 0 for none
	RetransmitAfter time.Duration // first retransmission of a waiting set-up, then at doubling intervals; 0 for none
	ColdFrom        float64       // initial speed of a cold processor, as a share of its full speed
	WarmWithin      time.Duration // from a cold start to full speed
	FallMultiple    float64       // overload limit of a cold processor, as a multiple of its current capacity
	FallWindow      time.Duration // a cold processor over the limit in this period fails and stays down
}

// Processor is a single server that processes jobs in order of arrival. After a cold start its speed rises linearly
// from ColdFrom to full speed within WarmWithin.
type Processor struct {
	ProcessorConfig
	clock        *Clock
	startedAt    time.Duration // last start; 0 for a processor that is warm from the beginning
	queue        []job
	queuedCost   time.Duration // cost of the unfinished jobs at full speed
	busy         bool
	epoch        int // number of restarts; jobs begun in an earlier epoch never complete
	stalled      bool
	slowFactor   float64   // share of its speed; 0 for full speed
	coldArrivals []arrival // set-ups of the last FallWindow, while cold

	LongestWait time.Duration // longest wait of an arriving set-up
	Rejected    int           // set-ups rejected
	Crashed     bool          // it failed from overload while cold
}

// job is a unit of work in a processor's queue.
type job struct {
	cost   time.Duration
	wanted func() bool // a job that is not wanted when its turn comes is dropped at no cost; nil for always
	done   func()
}

// arrival is the arrival of a set-up at a cold processor.
type arrival struct {
	at   time.Duration
	cost time.Duration
}

func newProcessor(c *Clock, l ProcessorConfig) *Processor {
	return &Processor{ProcessorConfig: l, clock: c}
}

// Restart replaces the processor by a cold one with an empty queue.
func (p *Processor) Restart() {
	p.startedAt, p.queue, p.queuedCost, p.busy, p.stalled, p.slowFactor, p.Crashed, p.coldArrivals =
		p.clock.Now(), nil, 0, false, false, 0, false, nil
	p.epoch++
}

// Stall makes the processor queue jobs without starting any for d.
func (p *Processor) Stall(d time.Duration) {
	p.stalled = true
	epoch := p.epoch
	p.clock.After(d, func() {
		if p.epoch == epoch {
			p.stalled = false
			p.startNext()
		}
	})
}

// Slow reduces the speed to factor times its normal value for d.
func (p *Processor) Slow(factor float64, d time.Duration) {
	p.slowFactor = factor
	epoch := p.epoch
	p.clock.After(d, func() {
		if p.epoch == epoch {
			p.slowFactor = 0
		}
	})
}

// Speed returns the current speed as a share of full speed.
func (p *Processor) Speed() float64 {
	if p.slowFactor > 0 {
		return p.slowFactor * p.warmUpSpeed()
	}
	return p.warmUpSpeed()
}

// warmUpSpeed returns the current speed as a share of full speed, without the effect of Slow.
func (p *Processor) warmUpSpeed() float64 {
	age := p.clock.Now() - p.startedAt
	if p.startedAt == 0 || age >= p.WarmWithin {
		return 1
	}
	return p.ColdFrom + (1-p.ColdFrom)*float64(age)/float64(p.WarmWithin)
}

// Wait returns how long a job that arrives now waits at the current speed.
func (p *Processor) Wait() time.Duration { return time.Duration(float64(p.queuedCost) / p.Speed()) }

// Do queues a job that is never rejected. wanted and done may be nil; done runs when the job completes.
func (p *Processor) Do(cost time.Duration, wanted func() bool, done func()) {
	p.queue = append(p.queue, job{cost, wanted, done})
	p.queuedCost += cost
	p.startNext()
}

// SetUp queues a set-up, and retransmissions while it waits, or rejects it if it would wait longer than MaxWait. done
// runs when it completes; refused runs at once when it is rejected.
func (p *Processor) SetUp(wanted func() bool, done, refused func()) {
	p.checkOverload()
	wait := p.Wait()
	if p.LongestWait = max(p.LongestWait, wait); p.MaxWait > 0 && wait > p.MaxWait {
		p.Rejected++
		p.Do(p.Refuse, nil, nil)
		refused()
		return
	}
	waiting := true
	p.Do(p.Costs.SetUp, wanted, func() { waiting = false; done() })
	if p.RetransmitAfter > 0 {
		p.retransmit(p.RetransmitAfter, func() bool { return waiting && wanted() })
	}
}

// retransmit queues the retransmissions of a set-up while it waits, at doubling intervals below a minute.
func (p *Processor) retransmit(interval time.Duration, waiting func() bool) {
	epoch := p.epoch
	p.clock.After(interval, func() {
		if p.epoch == epoch && waiting() && interval < time.Minute {
			p.Do(p.Retransmission, nil, nil)
			p.retransmit(2*interval, waiting)
		}
	})
}

// checkOverload counts a set-up that arrives at a cold processor, and makes the processor fail if the set-ups of the
// last FallWindow exceed FallMultiple times its current capacity.
func (p *Processor) checkOverload() {
	speed, now := p.warmUpSpeed(), p.clock.Now()
	if speed == 1 || p.FallMultiple <= 0 {
		p.coldArrivals = nil
		return
	}
	p.coldArrivals = append(p.coldArrivals, arrival{now, p.Costs.SetUp})
	sum := time.Duration(0)
	for len(p.coldArrivals) > 0 && p.coldArrivals[0].at <= now-p.FallWindow {
		p.coldArrivals = p.coldArrivals[1:]
	}
	for _, a := range p.coldArrivals {
		sum += a.cost
	}
	if float64(sum) > p.FallMultiple*speed*float64(p.FallWindow) {
		p.Crashed = true
	}
}

// startNext starts the first job that is still wanted, if the processor is idle, not stalled and has not failed.
func (p *Processor) startNext() {
	for !p.busy && !p.stalled && !p.Crashed && len(p.queue) > 0 {
		j := p.queue[0]
		p.queue = p.queue[1:]
		if j.wanted != nil && !j.wanted() {
			p.queuedCost -= j.cost
			continue
		}
		p.busy = true
		epoch := p.epoch
		p.clock.After(time.Duration(float64(j.cost)/p.Speed()), func() {
			if p.epoch != epoch {
				return
			}
			p.queuedCost -= j.cost
			p.busy = false
			if j.done != nil {
				j.done()
			}
			p.startNext()
		})
	}
}
