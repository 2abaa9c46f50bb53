package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"brookmux"
	"brookmux/internal/settings"
)

// TestColdGuard checks that an exchange whose core has restarted gets at most this controller's part of a cold core's
// capacity in any 2 s, and its full load again once the core is warm.
func TestColdGuard(t *testing.T) {
	e := &Engine{setUpCounters: map[int]*setUpCounter{},
		switches: map[brookmux.SwitchID]brookmux.Switch{1: {ID: 1, Number: 3}}}
	e.Settings = settings.Settings{Module: brookmux.Settings{ColdFrom: 0.3, WarmWithin: 14 * time.Second, FallMultiple: 4}}
	const every = 50 * time.Millisecond // 20 set-ups a second
	e.now = time.Hour
	for range 300 {
		e.now += every
		require.False(t, e.exceedsColdLimit(1), "a warm core")
	}
	e.switches[2] = brookmux.Switch{ID: 2, Number: 3, Since: e.now}
	e.now += 3 * time.Second // moves the set-ups to the old core out of the window
	passed := 0
	for range 300 {
		if !e.exceedsColdLimit(2) {
			passed++
		}
	}
	require.InDelta(t, 4*0.8*(0.3+0.7*3/14)*20*2, passed, 2, "a burst right after the start")
	e.now += 14 * time.Second
	require.False(t, e.exceedsColdLimit(2), "the core is warm again")

	// An exchange without observed load: its planned load is divided among all controllers.
	e.Settings.Module.Instances = 2
	for planned, want := range map[float64]float64{0: coldMinSetUps, 40: 4 * 0.8 * 0.3 * 20 * 2} {
		e.setUpCounters, e.planned = map[int]*setUpCounter{}, map[int]float64{3: planned}
		e.switches[3] = brookmux.Switch{ID: 3, Number: 3, Since: e.now}
		passed := 0
		for range 100 {
			if !e.exceedsColdLimit(3) {
				passed++
			}
		}
		require.InDelta(t, want, passed, 1, planned)
	}
}
