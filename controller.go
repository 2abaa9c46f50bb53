// The Controller and its state for each exchange. api.go declares the public types, events and actions.

package brookmux

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Tuning parameters. References to the paper are to the publication that the load control follows.
const (
	ratePeriod           = time.Second // interval between rate computations; 5 s (paper) outlasts whole bursts
	gateUpdatesPerPeriod = 3           // reports of other exchanges arrive more often than once a period
	averagedPeriods      = 5           // number of periods in the average rate (paper, appendix A)
	targetLoad           = 0.95        // processor load that the gates aim at (paper, 2.3)

	targetWaitDivisor  = 3               // the target wait is the shortest aim over this
	delayWeight        = 0.2             // weight of a new sample in the smoothed set-up delay
	delayHalfLife      = time.Second / 4 // a delay counts in full for this time, then halves every further one
	maxFigureAge       = 2 * time.Second // delays and reports older than this are not used
	holdBackFactor     = 2               // multiplies HoldBack, since the far exchange's own callers go on
	workScaleWeight    = 0.5             // weight of a new period in the smoothed work scale
	backlogWaitDivisor = 3               // a wait above the target over this is a queue that does not drain
	minBacklogLoad     = 0.5             // minimum load assumed for a period with a queue at both ends
	workScaleDecay     = 0.85            // per period, while gates restrict traffic and delays are small
	callWeight         = 0.02            // weight of one call in the mean width, holding time and worth

	highWorthFactor = 1.5 // a call worth this times the mean worth does not wait for a long queue

	minReserve      = 2.0  // circuits reserved for direct calls (design)
	blockingWeight  = 0.05 // weight of one call in the share of blocked direct calls
	blockingDecay   = 0.8  // factor per period for that share
	maxReserveShare = 0.3  // maximum reserve as a share of the group

	maxUnanswered     = 3                      // a processor with more set-ups unanswered ...
	unresponsiveAfter = time.Second            // ... for longer is unresponsive; also the minimum back-off
	maxTandemAttempts = 1                      // per call (design: one random tandem)
	maxPairBackOff    = 8 * time.Second        // the back-off of a group doubles with each rejection
	minSetUpTime      = 20 * time.Millisecond  // no attempt is made with less time left
	setUpBoundFactor  = 3                      // most set-ups take at most this multiple of the mean delay
	coldSafetyFactor  = 2                      // a FallMultiple below this lowers a cold processor's gate
	maxRedials        = 8192                   // maximum entries in the redial table
	followRetryDelay  = 500 * time.Millisecond // minimum wait after a failed request to discovery
)

// exchange is the state of a destination (a pool, with Settings.Pools) and of the trunk group toward it.
type exchange struct {
	number        int
	readySwitch   *Switch // nil if no switch is ready
	free, size    float64 // circuits of the local group toward it, Absent until reported
	freeReported  bool    // free was reported or is known to be 0; else it is estimated, see freeCircuits
	circuitsInUse float64 // circuits in use by calls that this controller handles

	offered, admitted, incoming, transit rateCounter
	gate                                 float64 // share of new calls that is admitted, 0 to 1

	report           Report
	reportedAt       time.Duration
	setUpDelay       float64         // smoothed set-up delay, ms
	lastAnsweredSend time.Duration   // send time of the most recently sent direct set-up that stood
	lastStoodAt      time.Duration   // time at which a direct set-up last stood
	outstanding      []time.Duration // send times of the direct set-ups without an answer
	unanswered       int             // set-ups since its last answer
	unansweredSince  time.Duration
	backOffUntil     time.Duration
	blocking         float64         // recent share of direct calls that found no free circuit
	tandemBackOff    map[int]backOff // back-off as a tandem, by destination number
	lastTandem       *exchange       // tandem of the last call that stood over one, nil if none
}

// pendingCall is a call from its offer until it ends.
type pendingCall struct {
	Call
	class                    Class
	firstTried               time.Duration // time of the caller's first try
	attempts, tandemAttempts int           // number of all attempts, and of those over a tandem
	active                   *attempt      // current attempt, nil if none
	stands                   bool
	mayHaveRun               bool          // an attempt may have run
	firstRunAt               time.Duration // send time of the first attempt that may have run
	firstRunOn               *Switch       // its switch
	notBefore                time.Duration // end of the release wait
	worth                    float64       // worth at its offer, 0 in transit
	queued, gated            bool          // in the queue; gated: it waits for the gate, not for a circuit
	transitFrom              *exchange     // in transit: the exchange whose circuits it occupies
}

// Controller makes the call-control decisions of one exchange. Create it with New.
type Controller struct {
	settings              Settings
	host                  Host
	rng                   *rand.Rand
	switches              map[SwitchID]*Switch
	exchangeByNumber      map[int]*exchange
	exchanges             []*exchange // sorted by number
	calls                 map[CallID]*pendingCall
	local                 *exchange                     // local exchange, nil with pools
	targetWait            float64                       // wait at a processor at the target load, ms
	minDelay              float64                       // minimum set-up delay seen, ms; 0 if none
	minPeriodWait         float64                       // minimum wait of the set-ups that stood this period, ms
	eventGap, lastEventAt time.Duration                 // eventGap: time without events before lastEventAt
	callerTimeout         []time.Duration               // longest time to expiry seen at an offer, by class
	localWait             float64                       // wait at the local processor a period ago, ms
	rejectedUnsent        rateCounter                   // calls rejected without an attempt, which cost work too
	workScale             float64                       // per-call work relative to the paper's figures
	meanWidth             float64                       // mean number of circuits of a call
	setUpBound            time.Duration                 // a set-up that takes longer is unlikely to stand
	lossyUntil            time.Duration                 // until then answers are assumed to be lost at times
	meanHold              time.Duration                 // mean holding time of a call
	meanWorth             float64                       // mean worth of the calls offered
	worthCounters         []worthCounter                // calls offered, by worth
	redials               map[callerKey][]time.Duration // first tries of calls that may be redialled
	queue                 []*pendingCall                // waiting for a circuit or gate, by descending worth
	gateUpdate            int                           // index of the next gate update in the period
	started, budgetSpent  bool                          // first timer set; no budget left for local calls
}

const periodToken, followToken = 0, 2 // timer tokens; that of a call is twice its ID, plus one

// New returns the Controller of one exchange, or an error that names the first invalid setting. The same seed
// and events give the same actions. The first timer is set on the first MembersChanged or Offered event.
func New(s Settings, seed uint64, host Host) (*Controller, error) {
	if host == nil {
		return nil, errors.New("brookmux: host is missing")
	} else if err := s.check(); err != nil {
		return nil, err
	}
	c := &Controller{settings: s, host: host, rng: rand.New(rand.NewPCG(seed, 1)),
		switches: map[SwitchID]*Switch{}, exchangeByNumber: map[int]*exchange{},
		redials: map[callerKey][]time.Duration{}, calls: map[CallID]*pendingCall{},
		meanWidth: 1, minPeriodWait: math.Inf(1)}
	c.applySettings(s)
	c.meanHold = max(time.Second, s.Classes[0].Hold)
	if !s.Pools {
		c.local = c.exchange(s.Here)
	}
	return c, nil
}

// applySettings puts settings in force that check has accepted.
func (c *Controller) applySettings(s Settings) {
	aim := s.Classes[0].Aim
	for _, class := range s.Classes {
		aim = min(aim, class.Aim)
	}
	c.settings = s
	c.settings.Instances = max(1, s.Instances)
	c.targetWait = max(1, float64(aim/time.Millisecond)/targetWaitDivisor)
	c.callerTimeout = append(c.callerTimeout, make([]time.Duration, len(s.Classes)-len(c.callerTimeout))...)
}

// Configure replaces the settings, or returns an error and changes nothing. Existing classes keep their index
// and new ones are appended. Calls offered before keep the class they were offered with.
func (c *Controller) Configure(s Settings) error {
	if err := s.check(); err != nil {
		return err
	} else if s.Here != c.settings.Here || s.Pools != c.settings.Pools ||
		len(s.Classes) < len(c.settings.Classes) {
		return errors.New("brookmux: Here and Pools can't be changed, and no class can be removed")
	}
	c.applySettings(s)
	return nil
}

// exchange returns the exchange with a number and creates it if it does not exist.
func (c *Controller) exchange(number int) *exchange {
	if e := c.exchangeByNumber[number]; e != nil {
		return e
	}
	e := &exchange{number: number, free: Absent, size: Absent, gate: 1, tandemBackOff: map[int]backOff{},
		report: Report{Absent, Absent, Absent, Absent, Absent, Absent, Absent, Absent}}
	c.exchangeByNumber[number] = e
	c.exchanges = append(c.exchanges, e)
	slices.SortFunc(c.exchanges, func(a, b *exchange) int { return cmp.Compare(a.number, b.number) })
	return e
}

// start sets the first timer and, with Settings.FollowMembers, requests the membership list. Only the first
// call has an effect: it comes with the first MembersChanged or Offered event, when the clock is known.
func (c *Controller) start() {
	if !c.started {
		c.host.SetTimer(ratePeriod, periodToken)
	}
	if !c.started && c.settings.FollowMembers {
		c.host.Follow()
	}
	c.started = true
}

// MembersChanged processes the membership list or a change to it. After a failed request it schedules the
// next one.
func (c *Controller) MembersChanged(now time.Duration, m Members) {
	c.start()
	if m.Kind == Failed {
		c.host.SetTimer(followRetryDelay+time.Duration(c.rng.Int64N(int64(followRetryDelay))), followToken)
		return
	}
	if m.Kind != Delta {
		clear(c.switches)
	}
	for _, sw := range m.Switches {
		c.exchange(sw.Number)
		if c.switches[sw.ID] = &sw; sw.State == Gone { // a replacement has another ID
			delete(c.switches, sw.ID)
		}
	}
	c.chooseSwitches(now)
}

// chooseSwitches selects the switch of each exchange: the ready one that started last. When the switch
// changes or restarts, the report, the back-off and the count of unanswered set-ups are cleared.
func (c *Controller) chooseSwitches(now time.Duration) {
	best := map[int]*Switch{}
	for _, sw := range c.switches {
		if b := best[sw.Number]; sw.State == Ready &&
			(b == nil || sw.Since > b.Since || sw.Since == b.Since && sw.ID > b.ID) {
			best[sw.Number] = sw
		}
	}
	for _, e := range c.exchanges {
		previous := e.readySwitch
		e.readySwitch = best[e.number]
		if e.readySwitch != nil && (previous == nil ||
			previous.ID != e.readySwitch.ID || previous.Since != e.readySwitch.Since) {
			e.unanswered, e.backOffUntil = 0, 0
			e.report, e.reportedAt = Report{Absent, Absent, Absent, Absent, Absent, Absent, Absent, Absent}, 0
		}
		e.gate = min(e.gate, c.coldGate(now, e))
	}
}

// warmShare returns the minimum share of its full capacity that an exchange's processor has now, 1 when warm.
func (c *Controller) warmShare(now time.Duration, e *exchange) float64 {
	if e == nil || e.readySwitch == nil || e.readySwitch.Since <= 0 ||
		now-e.readySwitch.Since >= c.settings.WarmWithin {
		return 1
	}
	age := max(0, now-e.readySwitch.Since)
	return c.settings.ColdFrom + (1-c.settings.ColdFrom)*float64(age)/float64(c.settings.WarmWithin)
}

// coldGate returns the largest gate while an exchange's processor, or the local one, is cold. Each controller
// scales its normal traffic by the processor's current capacity share, so that all controllers together stay
// within that capacity, whether one processor has started or many.
func (c *Controller) coldGate(now time.Duration, e *exchange) float64 {
	share := min(c.warmShare(now, e), c.warmShare(now, c.local))
	if share == 1 || c.settings.FallMultiple <= 0 {
		return share
	}
	return share * min(1, c.settings.FallMultiple/coldSafetyFactor)
}

// known reports whether a reported value can be used: it is neither Absent nor infinite nor NaN.
func known(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// applyReport stores the circuits of a report and, with withFigures, the load figures of its processor if it
// has any.
func (c *Controller) applyReport(now time.Duration, e *exchange, r Report, withFigures bool) {
	if known(r.Size) {
		e.size = r.Size
	}
	if known(r.Free) {
		e.free, e.freeReported = r.Free, true
	}
	if withFigures && (known(r.Queue) || known(r.Util) || known(r.Wait) || known(r.Rate) || known(r.HoldBack)) {
		e.report, e.reportedAt = r, now
	}
}

// Probed processes the answer to a probe, or an unsolicited report of changed circuits, and retries queued
// calls. A failed probe and one of an unknown switch are ignored.
func (c *Controller) Probed(now time.Duration, p ProbeResult) {
	c.noteEvent(now)
	sw := c.switches[p.Switch]
	if sw == nil || !p.OK {
		return
	}
	e := c.exchange(sw.Number)
	c.applyReport(now, e, p.Report, !p.Unsolicited)
	c.retryQueued(now, e)
}

// Timer processes the expiry of a timer that was set with Host.SetTimer.
func (c *Controller) Timer(now time.Duration, token uint64) {
	c.noteEvent(now)
	switch {
	case token == periodToken:
		c.host.SetTimer(ratePeriod/gateUpdatesPerPeriod, periodToken)
		c.updateGates(now)
	case token == followToken:
		c.host.Follow()
	default:
		if p := c.calls[CallID(token/2)]; p != nil && p.active == nil && !p.stands {
			if c.dequeue(p); p.gated {
				c.finish(p, c.settings.MaxRetryAfter)
			} else {
				c.route(now, p)
			}
		}
	}
}

// noteEvent records how long there was no event before this batch of events. After a pause of the process the
// events of the batch can be as old as that.
func (c *Controller) noteEvent(now time.Duration) {
	if now > c.lastEventAt {
		c.eventGap, c.lastEventAt = now-c.lastEventAt, now
	}
}
