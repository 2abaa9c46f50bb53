// Budgets: the processing capacity that is left for new calls, from the calls offered and the load reports.

package brookmux

import (
	"math"
	"slices"
	"time"
)

// Processing time of a call in milliseconds (paper). rejectWork is that of its first job, which a rejected call
// costs too (table 1). outgoingWork and incomingWork are those of the period in which the call starts and of the
// next two (appendix A).
const rejectWork = 50

var (
	outgoingWork = [3]float64{141, 88, 21}
	incomingWork = [3]float64{61, 68, 21}
)

// rateCounter counts events in the current period and keeps the counts of the last few.
type rateCounter struct {
	current float64
	past    [averagedPeriods]float64 // latest period first
	periods int                      // number of valid entries in past
}

// roll closes the current period.
func (t *rateCounter) roll() {
	copy(t.past[1:], t.past[:])
	t.past[0], t.current = t.current, 0
	t.periods = min(t.periods+1, averagedPeriods)
}

// rate returns the mean rate over the last periods, in events per second.
func (t *rateCounter) rate() float64 {
	if t.periods == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range t.past {
		sum += v
	}
	return sum / (float64(t.periods) * ratePeriod.Seconds())
}

// lastRate returns the rate of the last period, in events per second.
func (t *rateCounter) lastRate() float64 { return t.past[0] / ratePeriod.Seconds() }

// residualLoad returns the processor load in the current period from calls that started in the last two.
func (t *rateCounter) residualLoad(workPerCall [3]float64) float64 {
	return (workPerCall[1]*t.past[0] + workPerCall[2]*t.past[1]) / 1000 / ratePeriod.Seconds()
}

// closePeriod ends a period: it rolls the counters, with Settings.Probes probes the exchanges that were called, and
// updates the redial table and the work scale. The rate of incoming calls is estimated from the circuits of the trunk
// group that are in use and not by calls of this controller.
func (c *Controller) closePeriod(now time.Duration) {
	for _, e := range c.exchanges {
		e.incoming.current = max(0, e.size-max(0, e.freeCircuits())-e.circuitsInUse) / c.meanWidth /
			c.meanHold.Seconds() * ratePeriod.Seconds()
		for _, counter := range []*rateCounter{&e.offered, &e.admitted, &e.incoming, &e.transit} {
			counter.roll()
		}
		e.blocking *= blockingDecay
		if c.settings.Probes && e.offered.past[0] > 0 && c.settings.Reports != ReportsNone &&
			e != c.local && e.readySwitch != nil {
			c.host.Probe(e.readySwitch.ID)
		}
	}
	c.rejectedUnsent.roll()
	for i := range c.worthCounters {
		c.worthCounters[i].roll()
	}
	c.expireRedials(now)
	c.updateWorkScale(now)
}

// updateWorkScale estimates the per-call work from the wait at the local processor. That wait is part of the
// set-up delay to every destination, so the smallest of these bounds it. With a queue at both ends of a period
// the processor was always busy, and the calls of the period brought one period of work plus the growth of the
// queue. Until a queue has been seen the scale is 0 and the gates are open.
func (c *Controller) updateWorkScale(now time.Duration) {
	excessWait, gateBinds := c.minPeriodWait, false
	for _, e := range c.exchanges {
		excess, ok := c.excessWait(now, e)
		if now-e.lastStoodAt >= ratePeriod { // an older wait doesn't prove a queue: perhaps no set-up is outstanding
			excess, ok = c.oldestExcessWait(now, e)
		}
		if ok && math.IsInf(c.minPeriodWait, 1) {
			excessWait = min(excessWait, max(0, excess))
		}
		gateBinds = gateBinds || e.gate < 1
	}
	if c.minPeriodWait = math.Inf(1); math.IsInf(excessWait, 1) {
		excessWait = 0
	}
	own, others := c.load((*rateCounter).lastRate)
	if backlogWait := c.targetWait / backlogWaitDivisor; min(excessWait, c.localWait) > backlogWait && own+others > 0 {
		measured := max(minBacklogLoad, 1+(excessWait-c.localWait)/1000/ratePeriod.Seconds()) / (own + others)
		if c.workScale == 0 {
			c.workScale = measured
		}
		c.workScale += workScaleWeight * (measured - c.workScale)
	} else if gateBinds && excessWait < backlogWait {
		c.workScale = min(c.workScale*workScaleDecay, 1/max(1e-6, own+others)) // the period's work got done
	}
	c.localWait = excessWait
}

// excessWait returns how long, in ms, set-ups to an exchange wait beyond the minimum delay to any exchange, and
// whether that is known. It uses recent set-ups that stood, or the age of the oldest outstanding one, which
// shows a longer wait earlier.
func (c *Controller) excessWait(now time.Duration, e *exchange) (float64, bool) {
	excess, ok := 0.0, e.setUpDelay > 0 && now-e.lastStoodAt < maxFigureAge
	if ok {
		// Without a new sample the queue has drained since, or is about to.
		excess = (e.setUpDelay - c.minDelay) *
			math.Exp2(-max(0, (now-e.lastStoodAt-delayHalfLife).Seconds())/delayHalfLife.Seconds())
	}
	if age, sending := c.oldestExcessWait(now, e); sending && age > excess {
		return age, true
	}
	return excess, ok
}

// oldestExcessWait returns how long, in ms, the oldest outstanding direct set-up to an exchange has waited beyond
// the minimum delay, and whether there is one.
func (c *Controller) oldestExcessWait(now time.Duration, e *exchange) (float64, bool) {
	// A set-up that a later one has overtaken was lost and shows no queue.
	i := slices.IndexFunc(e.outstanding, func(sent time.Duration) bool { return sent > e.lastAnsweredSend })
	if i < 0 || c.minDelay <= 0 {
		return 0, false
	}
	return float64((now-e.outstanding[i])/time.Millisecond) - c.minDelay, true
}

// queueTooLong reports whether set-ups to an exchange wait longer than the target, by the oldest outstanding one.
// The gates react later, and until then every set-up sent would lengthen the queue; this way each answer releases
// the next set-up. It doesn't hold calls of high worth, nor calls in transit, whose processing is already spent.
func (c *Controller) queueTooLong(now time.Duration, p *pendingCall, e *exchange) bool {
	age, ok := c.oldestExcessWait(now, e)
	return ok && age > c.targetWait && !p.Transit && p.worth < highWorthFactor*c.meanWorth
}

// load returns the load of the local processor from local calls that start (own) and from everything else
// (others), by the paper's processing times.
func (c *Controller) load(rate func(*rateCounter) float64) (own, others float64) {
	others = rejectWork * rate(&c.rejectedUnsent) / 1000
	for _, e := range c.exchanges {
		own += rate(&e.admitted) * outgoingWork[0] / 1000
		others += (rate(&e.transit)*outgoingWork[0] + rate(&e.incoming)*incomingWork[0]) / 1000
		others += e.admitted.residualLoad(outgoingWork) + e.incoming.residualLoad(incomingWork) +
			e.transit.residualLoad(outgoingWork)
	}
	return own, others
}

// localBudget returns the load that the local processor has left for new calls of its subscribers (paper, 2.3,
// eq. 8).
func (c *Controller) localBudget(now time.Duration) float64 {
	_, others := c.load((*rateCounter).rate)
	return targetLoad*c.warmShare(now, c.local) - others*c.workScale
}

// farGateLimit returns the largest gate that a destination's processor allows (paper, 3.1, eq. 9). A share that
// the processor asks senders to hold back takes precedence; it halves every second once the report is too old.
func (c *Controller) farGateLimit(now time.Duration, e *exchange, offered float64) float64 {
	if offered <= 0 {
		return 1
	}
	if r := e.report; known(r.HoldBack) {
		age := max(0, (now - e.reportedAt).Seconds())
		return max(0, min(1, 1-holdBackFactor*r.HoldBack*math.Exp2(-max(0, age-maxFigureAge.Seconds()))))
	}
	ourLoad := e.admitted.lastRate()*incomingWork[0]/1000 + e.admitted.residualLoad(incomingWork)
	theirLoad := e.incoming.rate() * outgoingWork[0] / 1000
	residual := e.admitted.residualLoad(incomingWork) + e.incoming.residualLoad(outgoingWork)
	background := max(0, c.farLoad(now, e)-(ourLoad+theirLoad)*c.workScale)
	budget := targetLoad*c.warmShare(now, e) - background - (theirLoad+residual)*c.workScale
	return max(0, min(1, budget/max(1e-6, c.workScale*incomingWork[0]/1000*offered)))
}

// farLoad returns a far processor's load: its reported utilisation, else an estimate from its reported wait or
// queue, else one from the local set-up delays.
func (c *Controller) farLoad(now time.Duration, e *exchange) float64 {
	excessWait := 0.0
	fresh := now-e.reportedAt < maxFigureAge
	switch {
	case fresh && known(e.report.Util):
		return e.report.Util
	case fresh && known(e.report.Wait):
		excessWait = e.report.Wait
	case fresh && known(e.report.Queue) && known(e.report.Rate):
		excessWait = 1000 * e.report.Queue / max(1, e.report.Rate)
	default:
		excessWait, _ = c.excessWait(now, e)
	}
	return targetLoad * excessWait / c.targetWait
}
