package standin

import (
	"math"
	"time"

	"brookmux"
	"brookmux/internal/settings"
)

// CountDay is the settings of the deployment's kind: two classes, a mesh of exchanges.
func CountDay(controllers int) settings.Settings {
	return settings.Settings{
		Module: brookmux.Settings{Instances: controllers, RetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: 6,
			Reports: brookmux.ReportsAnswers, ColdFrom: 0.3, WarmWithin: 14 * time.Second, FallMultiple: 4,
			ReleaseWait: 300 * time.Millisecond,
			Classes: []brookmux.Class{
				{Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Hold: 11 * time.Second, Worth: 1, LateWorth: 0.25},
				{Aim: time.Second, Deadline: 6 * time.Second, Hold: 6600 * time.Millisecond, Worth: 8, LateWorth: 0.1}}},
		ClassNames: []string{"result-page", "round-update"}, Widths: []float64{1, 1},
		AnswerGrace: 20 * time.Millisecond, DrainGrace: time.Second, MostHeld: 20000,
	}
}

// OneCore is a controller before one exchange whose processor does so many set-ups a second and has ample
// circuits.
func OneCore(perSecond float64, seed uint64) Config {
	s := CountDay(2)
	s.Module.Classes[0].Hold, s.Module.Classes[1].Hold = 300*time.Millisecond, 300*time.Millisecond
	return Config{Exchanges: 2, Controllers: 1, Settings: s, Seed: seed, Reports: true,
		Lines: []Line{{}, {Costs: Costs{SetUp: time.Duration(float64(time.Second) / perSecond)}, TurnAway: 3 * time.Second,
			ColdFrom: 0.3, WarmWithin: 14 * time.Second, FallMultiple: 4, FallAfter: 2 * time.Second}},
		Circuits: func(int, int) int { return 2000 },
		Delay:    func(int, int) time.Duration { return time.Millisecond },
		Hold:     []time.Duration{300 * time.Millisecond, 300 * time.Millisecond}}
}

// Impatient are callers that dial again twice, a part of whom ignores advice.
func Impatient(ignore float64) Habit {
	return Habit{Redials: 2, Ignore: ignore, PerHost: 0, RedialIn: [2]time.Duration{300 * time.Millisecond, 1200 * time.Millisecond},
		Patience: [2]float64{0.3, 0.4}}
}

// MeshDay is a mesh of exchanges, each with a controller, on a counting day: calls cost work at both ends, and
// traffic is uneven. planned is how many calls a second each exchange's callers make at the planned load.
func MeshDay(n int, planned float64, seed uint64) Config {
	s := CountDay(n)
	unit := time.Duration(0.82 / planned / 72 * float64(time.Second)) // processors 82% busy at the planned load
	line := Line{Costs: Costs{Look: 10 * unit, SetUp: 18 * unit, Answer: 8 * unit, Release: 5 * unit, Refuse: 6 * unit, Repeat: 4 * unit},
		TurnAway: 3 * time.Second, Resend: 500 * time.Millisecond,
		ColdFrom: 0.3, WarmWithin: 14 * time.Second, FallMultiple: 4, FallAfter: 2 * time.Second}
	c := Config{Exchanges: n, Controllers: n, Settings: s, Seed: seed, Reports: true,
		Delay: func(a, b int) time.Duration { return time.Duration(9+(a+b)%4*5) * time.Millisecond },
		Hold:  []time.Duration{11 * time.Second, 6600 * time.Millisecond}}
	for range n {
		c.Lines = append(c.Lines, line)
	}
	c.Circuits = func(a, b int) int {
		busy := planned * (Shares(n, a)[b] + Shares(n, b)[a]) * 10.7
		return int(busy + 3*math.Sqrt(busy))
	}
	return c
}

// Shares is where the calls of an exchange of a MeshDay go.
func Shares(n, from int) []float64 {
	out, sum := make([]float64, n), 0.0
	for i := range out {
		if i != from {
			out[i] = 1 + 0.5*float64((i*3+from)%4)
			sum += out[i]
		}
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}
