package faulttrial

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// program is the border controller, built once for all tests, unless FAULTTRIAL_PROGRAM names one.
var program string

func TestMain(m *testing.M) { os.Exit(withProgram(m)) }

func withProgram(m *testing.M) int {
	if program = os.Getenv("FAULTTRIAL_PROGRAM"); program != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "faulttrial")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "brookmux")
	if out, err := exec.Command("go", "build", "-o", program, "brookmux/cmd/brookmux").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// newTestLab returns a lab of one controller and two cores, on which calls stand for a minute.
func newTestLab(t *testing.T, change func(*LabConfig)) *Lab {
	t.Helper()
	c := LabConfig{Program: program, Dir: t.TempDir(), Seed: 1, Controllers: 1, Cores: 2, Circuits: 100,
		Settings: Settings{ConnectTimeout: 500 * time.Millisecond, MaxAttempts: 3, Memory: 192, Descriptors: 1024,
			Classes: []Class{{Name: "page", Aim: time.Second, Deadline: 2 * time.Second, Hold: time.Minute}}},
		Core:    Behaviour{Work: 5 * time.Millisecond, Hold: time.Minute},
		Callers: CallerBehaviour{Rate: 20, Connections: 3, Acknowledge: true, StopAt: time.Hour}}
	if change != nil {
		change(&c)
	}
	l, err := NewLab(c)
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Close()
		if t.Failed() {
			log, _ := os.ReadFile(filepath.Join(c.Dir, "n1", "log"))
			t.Logf("log of the controller:\n%s", log)
		}
	})
	return l
}

// standOn has calls stand on both cores.
func standOn(t *testing.T, l *Lab, calls int) {
	t.Helper()
	l.Callers(0).Burst(calls)
	require.Eventually(t, func() bool { return l.Standing() >= calls }, 5*time.Second, 10*time.Millisecond)
}

// requireKept checks that no rule is broken, and that something was judged.
func requireKept(t *testing.T, l *Lab) Verdict {
	t.Helper()
	l.Record.Add(Event{Kind: TrialEnd})
	verdict := Check(l.Record.Events(), CheckConfig{Settings: l.Settings})
	for _, f := range verdict.Findings {
		t.Error(f)
	}
	require.NotZero(t, verdict.Stood)
	return verdict
}

// TestVanishedCore is incident 601762: a core vanishes with calls standing on it while discovery is down, and their
// callers have to be told within 8 s of their end, by a controller that is busy as by one in which nothing else
// happens, and also where another core takes the address.
func TestVanishedCore(t *testing.T) {
	for name, play := range map[string]struct {
		circuits int
		load     bool
	}{
		"busy":                {circuits: 100, load: true},
		"busy, circuits full": {circuits: 6, load: true}, // nothing is sent to the core: there is no room
		"quiet":               {circuits: 100},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newTestLab(t, func(c *LabConfig) { c.Circuits = play.circuits })
			require.NoError(t, l.Discovery.SetMode(Silent, 0))
			standOn(t, l, min(12, play.circuits))
			if play.load {
				go l.Callers(0).Run()
			}
			time.Sleep(4 * time.Second)
			l.Core(1).Vanish()
			time.Sleep(9 * time.Second)
			requireKept(t, l)
		})
	}
	for _, after := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprintf("address taken after %v", after), func(t *testing.T) {
			t.Parallel()
			l := newTestLab(t, nil)
			require.NoError(t, l.Discovery.SetMode(Silent, 0))
			standOn(t, l, 12)
			time.Sleep(3 * time.Second)
			l.Core(1).Vanish()
			time.Sleep(after)
			require.NoError(t, l.Replace(1, false))
			time.Sleep(9*time.Second - after)
			requireKept(t, l)
		})
	}
}

// TestCoreBackInTime: calls go on standing on a core that hangs or is cut off and comes back within the limits, and on
// one that closes, resets or forgets its connections.
func TestCoreBackInTime(t *testing.T) {
	for name, play := range map[string]func(*Lab){
		"cut off": func(l *Lab) {
			l.Core(1).CutOff()
			time.Sleep(5500 * time.Millisecond)
			l.Core(1).Return()
		},
		"hung": func(l *Lab) {
			l.Core(1).Hang()
			time.Sleep(5500 * time.Millisecond)
			l.Core(1).Return()
		},
		"closes":  func(l *Lab) { l.Core(1).Disturb("close") },
		"resets":  func(l *Lab) { l.Core(1).Disturb("reset") },
		"forgets": func(l *Lab) { l.Core(1).Disturb("forget") },
	} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, busy %v", name, busy), func(t *testing.T) {
				t.Parallel()
				l := newTestLab(t, nil)
				require.NoError(t, l.Discovery.SetMode(Silent, 0))
				standOn(t, l, 12)
				if busy {
					go l.Callers(0).Run()
				}
				time.Sleep(3 * time.Second)
				play(l)
				time.Sleep(9 * time.Second)
				verdict := requireKept(t, l)
				require.Zero(t, verdict.Cut)
			})
		}
	}
}
