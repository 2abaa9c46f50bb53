package main

import (
	"time"

	"brookmux"
	conf "brookmux/internal/settings"
)

// ms turns the wire's milliseconds into a duration.
func ms(v float64) time.Duration { return conf.MS(v) }

// toMs turns a duration into the wire's milliseconds.
func toMs(d time.Duration) float64 { return conf.ToMS(d) }

// parseSettings translates a settings text and returns the names of the report's values too.
func parseSettings(text []byte) (brookmux.Settings, []string, error) {
	s, err := conf.Parse(text)
	return s.Module, s.ReportNames, err
}

// figures names a report's values; names that are not known are skipped.
func figures(names []string, values []float32) brookmux.Report {
	r := conf.NoReport()
	for k, v := range values {
		if k < len(names) {
			conf.Figure(&r, names[k], float64(v))
		}
	}
	return r
}
