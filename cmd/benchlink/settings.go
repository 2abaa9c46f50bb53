package main

import (
	"time"

	"brookmux"
	conf "brookmux/internal/settings"
)

// ms converts the wire's milliseconds to a duration.
func ms(v float64) time.Duration { return conf.MS(v) }

// toMs converts a duration to the wire's milliseconds.
func toMs(d time.Duration) float64 { return conf.ToMS(d) }

// parseSettings parses a settings text and returns the module's settings and the names of a report's values, in order.
func parseSettings(text []byte) (brookmux.Settings, []string, error) {
	s, err := conf.Parse(text)
	return s.Module, s.ReportNames, err
}

// report returns the report with these values, named by position. Values without a known name are ignored.
func report(names []string, values []float32) brookmux.Report {
	r := conf.EmptyReport()
	for k, v := range values {
		if k < len(names) {
			conf.SetReportValue(&r, names[k], float64(v))
		}
	}
	return r
}
