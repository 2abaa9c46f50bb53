package main

import (
	"fmt"

	"brookmux/internal/core"
	"brookmux/internal/sipfront"
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
