package faulttrial

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// program is the border controller, built once for all tests, unless FAULTTRIAL_PROGRAM names one.
var program string

// parallel is how many trials are played side by side: they mostly wait.
const parallel = 12

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", strconv.Itoa(max(parallel, runtime.GOMAXPROCS(0)))); err != nil {
		panic(err)
	}
	os.Exit(withProgram(m))
}

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
		Core:    CoreBehaviour{Work: 5 * time.Millisecond, Hold: time.Minute},
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
	t.Parallel()
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
	t.Parallel()
	for name, play := range map[string]func(*Lab){
		"cut off": func(l *Lab) {
			l.Core(1).CutOff()
			time.Sleep(5500 * time.Millisecond)
			l.Core(1).Restore()
		},
		"hung": func(l *Lab) {
			l.Core(1).Hang()
			time.Sleep(5500 * time.Millisecond)
			l.Core(1).Restore()
		},
		"closes":  func(l *Lab) { l.Core(1).DropIdleConnections("close") },
		"resets":  func(l *Lab) { l.Core(1).DropIdleConnections("reset") },
		"forgets": func(l *Lab) { l.Core(1).DropIdleConnections("forget") },
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

// TestSlowDiscovery: answers that come late count, and a service that answers one query after another is not kept
// crowded: nothing new goes to a core that drains.
func TestSlowDiscovery(t *testing.T) {
	t.Parallel()
	for _, mode := range []struct {
		DiscoveryMode
		delay time.Duration
	}{{Slow, 3500 * time.Millisecond}, {Slow, 5 * time.Second}, {Crowded, time.Second}, {Crowded, 300 * time.Millisecond}, {Lossy, 0}} {
		t.Run(fmt.Sprintf("%s %v", mode.DiscoveryMode, mode.delay), func(t *testing.T) {
			t.Parallel()
			l := newTestLab(t, func(c *LabConfig) { c.Core.Hold = time.Second })
			require.NoError(t, l.Discovery.SetMode(mode.DiscoveryMode, mode.delay))
			go l.Callers(0).Run()
			time.Sleep(7 * time.Second)
			core := l.Core(1)
			l.Discovery.Set(Member{ID: core.ID, Number: 1, State: Draining, Addresses: core.Addresses()})
			time.Sleep(9 * time.Second)
			requireKept(t, l)
			var told, after int
			for _, e := range l.Record.Events() {
				switch {
				case e.Kind == DiscoverySent && e.Serial == 2:
					told++
				case e.Kind == CoreSetup && e.Core == core.ID && told > 1:
					after++
				}
			}
			require.NotZero(t, told)
			require.LessOrEqual(t, after, 25, "the drain is known")
		})
	}
}

// untold lists the calls that stood and whose callers were not told of the end.
func untold(l *Lab) []string {
	stands := map[string]bool{}
	for _, e := range l.Record.Events() {
		switch e.Kind {
		case CallerAnswer:
			if e.Status < 300 {
				stands[e.Call] = true
			}
		case CallerRelease, CallerHangup:
			delete(stands, e.Call)
		}
	}
	return slices.Sorted(maps.Keys(stands))
}

// TestDrain: after SIGTERM, the ends of the calls that stand are told, what still comes on open connections is
// answered, and the program ends by itself. More signals change nothing.
func TestDrain(t *testing.T) {
	t.Parallel()
	for name, during := range map[string]func(*testing.T, *Lab){
		"plain": func(*testing.T, *Lab) {},
		"signals": func(_ *testing.T, l *Lab) {
			l.Controller(0).Signal(syscall.SIGTERM)
			l.Controller(0).Signal(syscall.SIGHUP)
		},
		"discovery down": func(t *testing.T, l *Lab) { require.NoError(t, l.Discovery.SetMode(Refused, 0)) },
		"core vanishes":  func(_ *testing.T, l *Lab) { l.Core(1).Vanish() },
		"core hangs":     func(_ *testing.T, l *Lab) { l.Core(1).Hang(); time.Sleep(2 * time.Second); l.Core(1).Restore() },
		"core crashes":   func(_ *testing.T, l *Lab) { l.Core(1).Crash() },
		"configuration": func(t *testing.T, l *Lab) {
			require.NoError(t, l.Discovery.Move("n1"))
			require.NoError(t, l.Controller(0).WriteConfig(false))
			l.Controller(0).Signal(syscall.SIGHUP)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newTestLab(t, func(c *LabConfig) { c.Core.Hold = 3 * time.Second })
			go l.Callers(0).Run()
			time.Sleep(1500 * time.Millisecond)
			l.Controller(0).Signal(syscall.SIGTERM)
			time.Sleep(100 * time.Millisecond)
			l.Callers(0).SetConnectingStopped(true) // no new connections; those that are open stay in use
			during(t, l)
			time.Sleep(2500 * time.Millisecond)
			l.Callers(0).SetSendingStopped(true)
			select {
			case <-l.Controller(0).Exited():
			case <-time.After(14 * time.Second):
				require.Fail(t, "the program does not end")
			}
			require.Eventually(t, func() bool { return l.Standing() == 0 }, 8*time.Second, 10*time.Millisecond)
			time.Sleep(releaseTold + 2*slack) // the last end is due by then
			requireKept(t, l)
			require.Empty(t, untold(l), "the ends of all calls are told")
			exits := 0
			for _, e := range l.Record.Events() {
				if e.Kind == ProcessExit {
					require.Equal(t, "0", e.Text)
					exits++
				}
			}
			require.Equal(t, 1, exits)
		})
	}
}

// TestBrokenAnswers guards against calls that are left standing at a core after their callers had a refusal: the core's
// answers break off with a reset of their connection, and the calls stand there, unheard, until they are released.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	for _, play := range []struct {
		calls int
		rate  float64
	}{{calls: 1}, {calls: 2}, {calls: 12}, {calls: 2, rate: 10}} {
		t.Run(fmt.Sprintf("%d calls, %v a second", play.calls, play.rate), func(t *testing.T) {
			t.Parallel()
			l := newTestLab(t, func(c *LabConfig) { c.Cores, c.Core.BreakOff, c.Callers.Rate = 1, 1, play.rate })
			l.Callers(0).Burst(play.calls)
			if play.rate > 0 {
				go l.Callers(0).Run()
			}
			time.Sleep(3 * time.Second)
			l.Callers(0).Finish()
			time.Sleep(3 * time.Second)
			l.Record.Add(Event{Kind: TrialEnd})
			verdict := Check(l.Record.Events(), CheckConfig{Settings: l.Settings})
			require.Empty(t, verdict.Findings)
			require.GreaterOrEqual(t, verdict.Refused+verdict.Failed, play.calls)
			require.Zero(t, l.Standing())
		})
	}
}

// TestDrainTellsReleases guards against releases that are lost in the program's exit: twelve calls end at once while it
// drains, and it ends by itself, in time, once their callers can have read of all of them.
func TestDrainTellsReleases(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*CallerBehaviour){
		"acknowledged":             func(*CallerBehaviour) {},
		"one connection":           func(b *CallerBehaviour) { b.Connections = 1 },
		"read slowly":              func(b *CallerBehaviour) { b.Connections, b.ReadPause = 1, 40*time.Millisecond },
		"set-up with each":         func(b *CallerBehaviour) { b.DialOnEnd = true },
		"never acknowledged":       func(b *CallerBehaviour) { b.Acknowledge = false },
		"never acknowledged, kept": func(b *CallerBehaviour) { b.Acknowledge, b.KeepOpen = false, true },
	} {
		for play := range 2 {
			t.Run(fmt.Sprintf("%s, play %d", name, play), func(t *testing.T) {
				t.Parallel()
				l := newTestLab(t, func(c *LabConfig) { change(&c.Callers) })
				standOn(t, l, 12)
				l.Controller(0).Signal(syscall.SIGTERM)
				l.Callers(0).SetConnectingStopped(true)
				time.Sleep(1500 * time.Millisecond)
				l.Core(1).EndCalls()
				l.Core(2).EndCalls()
				select {
				case <-l.Controller(0).Exited():
				case <-time.After(l.Settings.KillAfter() - 1500*time.Millisecond):
					require.Fail(t, "the program has not ended when it may be killed")
				}
				time.Sleep(releaseTold)
				verdict := requireKept(t, l)
				require.Zero(t, verdict.Excused[excuseRestarted])
				require.Empty(t, untold(l), "the ends of all calls are told")
			})
		}
	}
}
