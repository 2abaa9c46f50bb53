package main

import (
	"fmt"
	"strconv"

	"brookmux/internal/core"
	"brookmux/internal/sipfront"
	"brookmux/internal/store"
	"brookmux/internal/storm"
)

// damper is what sees storms and damps them, nil where the operators' file has it off.
func damper(c config) (*storm.Storm, error) {
	if !c.storm.Enabled {
		return nil, nil
	}
	s, err := storm.New(core.StormConfig(c.storm.Storm(c.seed), c.settings))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return s, nil
}

// tell sets the forms in which the SIP front tells callers of a storm, and the pace of new ones.
func tell(c config, front *sipfront.Front) error {
	if !c.storm.Enabled {
		return nil
	}
	front.SetRetryAfter(c.storm.Told.RetryAfter)
	if c.storm.Pace.PerSecond > 0 {
		p, err := storm.NewPacer(storm.Pace(c.storm.Pace))
		if err != nil {
			return err
		}
		front.SetPace(p)
	}
	return nil
}

// stormOps keeps what there is to tell of storms under a path.
func stormOps(base string, s *core.Storm) []store.Op {
	if s == nil {
		return nil
	}
	var ops []store.Op
	put := func(path, value string) { ops = append(ops, store.Op{Path: base + path, Value: value}) }
	for name, v := range map[string]int{"redials": s.Redials, "ignorers": s.Ignorers, "no-room": s.Turned[storm.NoRoom],
		"came-early": s.Turned[storm.CameEarly], "vetoed": s.Vetoed, "ramps": s.Ramps} {
		put("counters/"+name, strconv.Itoa(v))
	}
	rate := func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
	for _, x := range s.Scopes {
		at := fmt.Sprintf("scope[kind=%s][name=%s]/", x.Scope.Kind, x.Scope.Name)
		put(at+"kind", x.Scope.Kind)
		put(at+"name", x.Scope.Name)
		put(at+"state", x.State.String())
		put(at+"offered", rate(x.Offered))
		put(at+"usual", rate(x.Usual))
		put(at+"redials", strconv.Itoa(int(100*x.Redials+0.5)))
		if x.Scope.Kind == "exchange" {
			put(at+"window", rate(x.Window))
			put(at+"open", strconv.Itoa(x.Open))
			put(at+"wait", strconv.FormatInt(x.Wait.Milliseconds(), 10))
		}
	}
	return ops
}
