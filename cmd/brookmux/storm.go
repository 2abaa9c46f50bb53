package main

import (
	"fmt"
	"strconv"

	"brookmux/internal/core"
	"brookmux/internal/sipfront"
	"brookmux/internal/store"
	"brookmux/internal/storm"
)

// newStorm returns the storm control, or nil if the operators' file disables it.
func newStorm(c config) (*storm.Storm, error) {
	if !c.storm.Enabled {
		return nil, nil
	}
	s, err := storm.New(core.StormConfig(c.storm.Config(c.seed), c.settings))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return s, nil
}

// configureFront sets whether the SIP front sends Retry-After to rejected callers, and the pace at which it accepts new
// connections. It changes nothing if storm control is disabled.
func configureFront(c config, front *sipfront.Front) error {
	if !c.storm.Enabled {
		return nil
	}
	front.SetRetryAfter(c.storm.Notify.RetryAfter)
	if c.storm.Pace.PerSecond > 0 {
		p, err := storm.NewPacer(storm.Pace(c.storm.Pace))
		if err != nil {
			return err
		}
		front.SetPace(p)
	}
	return nil
}

// stormOps returns the operations that write the state and counters of storm control under a base path, or nil if s is
// nil.
func stormOps(base string, s *core.Storm) []store.Op {
	if s == nil {
		return nil
	}
	var ops []store.Op
	put := func(path, value string) { ops = append(ops, store.Op{Path: base + path, Value: value}) }
	for name, v := range map[string]int{"redials": s.Redials, "ignorers": s.Ignorers, "no-room": s.Rejected[storm.NoRoom],
		"came-early": s.Rejected[storm.CameEarly], "vetoed": s.Vetoed, "ramps": s.Ramps} {
		put("counters/"+name, strconv.Itoa(v))
	}
	rate := func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
	for _, x := range s.Scopes {
		prefix := fmt.Sprintf("scope[kind=%s][name=%s]/", x.Scope.Kind, x.Scope.Name)
		put(prefix+"kind", x.Scope.Kind)
		put(prefix+"name", x.Scope.Name)
		put(prefix+"state", x.State.String())
		put(prefix+"offered", rate(x.Offered))
		put(prefix+"usual", rate(x.Usual))
		put(prefix+"redials", strconv.Itoa(int(100*x.Redials+0.5)))
		if x.Scope.Kind == "exchange" {
			put(prefix+"window", rate(x.Window))
			put(prefix+"open", strconv.Itoa(x.Open))
			put(prefix+"wait", strconv.FormatInt(x.Wait.Milliseconds(), 10))
		}
	}
	return ops
}
