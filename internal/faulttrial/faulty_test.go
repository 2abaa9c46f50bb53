package faulttrial

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFaultyControllers checks that a complete trial detects a controller that breaks one rule, and that the unmodified
// program breaks none in the same trial.
func TestFaultyControllers(t *testing.T) {
	t.Parallel()
	plan := Plan{Seed: 1, Length: 6 * time.Second, Controllers: 1, Cores: 2, Circuits: 60,
		Settings: Settings{ConnectTimeout: 500 * time.Millisecond, MaxAttempts: 3, Memory: 192, Descriptors: 1024,
			Classes: []Class{{Name: "page", Aim: time.Second, Deadline: 2 * time.Second, Hold: 4 * time.Second}}},
		Core:    CoreBehaviour{Work: 5 * time.Millisecond, Hold: 4 * time.Second},
		Callers: CallerBehaviour{Rate: 15, Connections: 3, Acknowledge: true}}
	for _, testCase := range []struct {
		fault string
		rule  Rule
		step  Step
	}{
		{"answers-twice", RuleSecondAnswer, Step{At: time.Second, Kind: FaultBurst, Count: 5}},
		{"loses-releases", RuleRelease, Step{At: 3 * time.Second, Kind: FaultDrainEnds, For: time.Second}},
		{"ignores-drains", RuleDrain, Step{At: time.Second, Kind: FaultDrainReplace, Core: 1, For: 4500 * time.Millisecond}},
	} {
		for _, faulty := range []bool{true, false} {
			name := testCase.fault
			if !faulty {
				name += ", not"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				path, dir := program, t.TempDir()
				if faulty {
					path = filepath.Join(dir, "faulty")
					flags := "-X main.fault=" + testCase.fault + " -X main.program=" + program
					out, err := exec.Command("go", "build", "-ldflags", flags, "-o", path, "brookmux/internal/faulttrial/faulty").CombinedOutput()
					require.NoError(t, err, "%s", out)
				}
				p := plan
				p.Steps = []Step{testCase.step}
				trial, err := Run(p, path, dir, nil)
				require.NoError(t, err)
				require.Equal(t, faulty, trial.Verdict.Has(testCase.rule), "%v", trial.Verdict.Findings)
				for _, f := range trial.Verdict.Findings {
					require.Equal(t, testCase.rule, f.Rule, "%v", f)
				}
			})
		}
	}
}
