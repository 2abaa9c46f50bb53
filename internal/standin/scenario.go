package standin

import (
	"math"
	"time"

	"brookmux"
	"brookmux/internal/settings"
)

// MeshSettings returns settings with the values of a deployment: two classes and a mesh of exchanges.
func MeshSettings(controllers int) settings.Settings {
	return settings.Settings{
		Module: brookmux.Settings{Instances: controllers, RetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: 6,
			Reports: brookmux.ReportsAnswers, ColdFrom: 0.3, WarmWithin: 14 * time.Second, FallMultiple: 4,
			ReleaseWait: 300 * time.Millisecond,
			Classes: []brookmux.Class{
				{Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Hold: 11 * time.Second, Worth: 1, LateWorth: 0.25},
				{Aim: time.Second, Deadline: 6 * time.Second, Hold: 6600 * time.Millisecond, Worth: 8, LateWorth: 0.1}}},
		ClassNames: []string{"result-page", "round-update"}, Widths: []float64{1, 1},
		AnswerGrace: 20 * time.Millisecond, DrainGrace: time.Second, MaxOpenCalls: 20000,
	}
}

// OneCore returns the configuration of a controller with one other exchange, whose processor handles perSecond set-ups
// per second and has ample circuits.
func OneCore(perSecond float64, seed uint64) Config {
	s := MeshSettings(2)
	s.Module.Classes[0].Hold, s.Module.Classes[1].Hold = 300*time.Millisecond, 300*time.Millisecond
	return Config{Exchanges: 2, Controllers: 1, Settings: s, Seed: seed, Reports: true,
		Processors: []ProcessorConfig{{}, {Costs: Costs{SetUp: time.Duration(float64(time.Second) / perSecond)},
			MaxWait: 3 * time.Second, ColdFrom: 0.3, WarmWithin: 14 * time.Second, FallMultiple: 4, FallWindow: 2 * time.Second}},
		Circuits: func(int, int) int { return 2000 },
		Delay:    func(int, int) time.Duration { return time.Millisecond },
		Hold:     []time.Duration{300 * time.Millisecond, 300 * time.Millisecond}}
}

// Impatient returns callers that redial up to twice; ignoreAdvice is the share that ignores retry advice.
func Impatient(ignoreAdvice float64) CallerConfig {
	return CallerConfig{MaxRedials: 2, IgnoreAdvice: ignoreAdvice, SharedHosts: 0,
		RedialWait: [2]time.Duration{300 * time.Millisecond, 1200 * time.Millisecond}, TimeoutShare: [2]float64{0.3, 0.4}}
}

// MeshConfig returns the configuration of a mesh of n exchanges, each with a controller. Calls take processing time at
// both ends, and traffic is uneven. planned is the number of calls per second from each exchange at the planned load.
func MeshConfig(n int, planned float64, seed uint64) Config {
	s := MeshSettings(n)
	costUnit := time.Duration(0.82 / planned / 72 * float64(time.Second)) // processors 82% utilized at the planned load
	processor := ProcessorConfig{Costs: Costs{Receive: 10 * costUnit, SetUp: 18 * costUnit, Answer: 8 * costUnit,
		Release: 5 * costUnit, Refuse: 6 * costUnit, Retransmission: 4 * costUnit},
		MaxWait: 3 * time.Second, RetransmitAfter: 500 * time.Millisecond,
		ColdFrom: 0.3, WarmWithin: 14 * time.Second, FallMultiple: 4, FallWindow: 2 * time.Second}
	c := Config{Exchanges: n, Controllers: n, Settings: s, Seed: seed, Reports: true,
		Delay: func(a, b int) time.Duration { return time.Duration(9+(a+b)%4*5) * time.Millisecond },
		Hold:  []time.Duration{11 * time.Second, 6600 * time.Millisecond}}
	for range n {
		c.Processors = append(c.Processors, processor)
	}
	c.Circuits = func(a, b int) int {
		busy := planned * (Shares(n, a)[b] + Shares(n, b)[a]) * 10.7
		return int(busy + 3*math.Sqrt(busy))
	}
	return c
}

// Shares returns the share of an exchange's calls to each exchange in MeshConfig.
func Shares(n, from int) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		if i != from {
			shares[i] = 1 + 0.5*float64((i*3+from)%4)
			sum += shares[i]
		}
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}
