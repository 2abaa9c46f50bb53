package stormlab

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux/internal/core"
	"brookmux/internal/standin"
)

// runScenarios runs the scenarios over a few seeds in virtual time and returns the rows by "scenario variant". The test
// fails if a rule is broken or a processor crashes.
func runScenarios(t *testing.T, seeds int, variants []string, names ...string) map[string]Row {
	var scenarios []Scenario
	for _, n := range names {
		s, err := FindScenario(n)
		require.NoError(t, err)
		scenarios = append(scenarios, s)
	}
	results, err := Sweep(scenarios, variants, seeds, runtime.NumCPU(), nil)
	require.NoError(t, err)
	rows := map[string]Row{}
	for _, r := range results {
		require.Empty(t, r.Violations, "%s %s %d", r.Scenario, r.Variant, r.Seed)
		require.Zero(t, r.Crashed)
	}
	for _, r := range Summarize(results) {
		rows[r.Scenario+" "+r.Variant] = r
	}
	return rows
}

// TestOneCore checks that service recovers after a restart of the controller at 98%, 111% and 133% of the core's
// capacity, clearly better than without storm control, and that no retry wait repeats within a hundred.
func TestOneCore(t *testing.T) {
	rows := runScenarios(t, 3, []string{"off", "on"}, "one-98", "one-111", "one-133")
	for name, minShare := range map[string]float64{"one-98": 0.9, "one-111": 0.85, "one-133": 0.7} {
		on, off := rows[name+" on"], rows[name+" off"]
		require.Greater(t, on.Share20To35, minShare, name)
		require.Greater(t, on.Share0To20, off.Share0To20+0.1, name)
		require.Less(t, on.MaxWait, time.Second, name)
		require.Zero(t, on.RepeatedWaits, name)
	}
}

// TestMesh checks that a mesh of seven controllers recovers to 90% of the earlier service within 20 s after three are
// killed, also with cold processors and with a second outage, and that no processor rejects a set-up.
func TestMesh(t *testing.T) {
	for name, r := range runScenarios(t, 2, []string{"on"}, "mesh", "mesh-cold", "mesh-again", "mesh-obedient") {
		require.True(t, r.RecoveryMax >= 0 && r.RecoveryMax <= 20*time.Second, "%s: %v", name, r.RecoveryMax)
		require.Zero(t, r.Rejected, name)
		require.Zero(t, r.RepeatedWaits, name)
	}
}

// TestObedient checks that callers that follow retry advice are served nearly as well when 30% of the callers ignore it
// as when all follow it.
func TestObedient(t *testing.T) {
	rows := runScenarios(t, 3, []string{"on"}, "mesh-obedient", "mesh-cold")
	require.Greater(t, rows["mesh-cold on"].ShareObedient, 0.95*rows["mesh-obedient on"].ShareObedient)
}

// TestRules checks that the other scenarios break no rule, with all parts of storm control and without the window.
func TestRules(t *testing.T) {
	runScenarios(t, 1, []string{"on", "no-window"}, "one-all-ignore", "one-no-advice", "one-spoilt", "one-picky",
		"mesh-all-cold", "mesh-half-cold", "mesh-number", "mesh-elsewhere", "mesh-slow", "mesh-peer", "mesh-stall")
}

// TestSamePlay checks that two runs with the same seed give the same result.
func TestSamePlay(t *testing.T) {
	s, err := FindScenario("mesh-elsewhere")
	require.NoError(t, err)
	first, err := Run(s, "on", 3)
	require.NoError(t, err)
	repeated, err := Run(s, "on", 3)
	require.NoError(t, err)
	require.Equal(t, first, repeated)
}

// TestChangesInAStorm changes the settings of one controller during a storm, steps the clock of another back and drains
// a third. No rule may break, the controller with the new settings sends no further waits, and the drain ends.
func TestChangesInAStorm(t *testing.T) {
	s, err := FindScenario("mesh-cold")
	require.NoError(t, err)
	c := s.Mesh(1)
	skew := time.Duration(0)
	configure, err := engineConfigurer("on", new(Result))
	require.NoError(t, err)
	c.Engine = func(i int, config *core.Config) {
		configure(i, config)
		if now := config.Clock; i == 2 {
			config.Clock = func() time.Duration { return now() + skew }
		}
	}
	m, err := standin.NewMesh(c)
	require.NoError(t, err)
	r := standin.NewRecord()
	s.Load(m, r)
	for _, step := range s.Script {
		m.RunUntil(step.At)
		require.NoError(t, step.Do(m))
	}
	m.RunUntil(27 * time.Second)
	skew = -40 * time.Millisecond
	newSettings := m.Settings
	newSettings.Module.MaxRetryAfter = 0
	newSettings.Module.Here = 0
	applyErr := m.Reconfigure(0, newSettings)
	m.RunUntil(29 * time.Second)
	require.NoError(t, *applyErr)
	waitsSent := len(r.AdvisedWaits[[2]int{0, 1}])
	require.Positive(t, waitsSent, "waits were sent before the settings changed")
	drained := m.Drain(4)
	m.RunUntil(330 * time.Second) // releases lost with a replaced processor are awaited for at most five minutes
	require.Empty(t, m.Ledger.Violations)
	require.Equal(t, waitsSent, len(r.AdvisedWaits[[2]int{0, 1}]), "no wait is sent under the new settings")
	select {
	case <-drained:
	default:
		require.Fail(t, "the drain did not end")
	}
}

// TestTables checks that both table formats have a line for each row, and that unknown scenarios and variants are
// errors.
func TestTables(t *testing.T) {
	rows := []Row{{Scenario: "a", Variant: "on", Seeds: 2, RecoveryMax: -1}, {Scenario: "b", Variant: "off"}}
	var md, csv bytes.Buffer
	require.NoError(t, WriteMarkdown(&md, rows))
	require.NoError(t, WriteCSV(&csv, rows))
	require.Equal(t, 4, bytes.Count(md.Bytes(), []byte("\n")))
	require.Equal(t, 3, bytes.Count(csv.Bytes(), []byte("\n")))
	require.Contains(t, csv.String(), "never")
	_, err := FindScenario("no such")
	require.Error(t, err)
	_, err = Run(Scenarios()[0], "no such", 1)
	require.Error(t, err)
}
