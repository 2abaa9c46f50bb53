// Package settings holds the platform's settings type and its parser. The simulator's adapter and the border
// controller both read the same JSON object with it.
package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"brookmux"
)

// Settings is the configuration that an instance receives at its start.
type Settings struct {
	Module         brookmux.Settings
	ClassNames     []string      // by the module's class index
	ReportNames    []string      // names of a load report's values, in order
	Zones          []string      // by the module's zone index
	Widths         []float64     // circuits per call, by the module's class index
	ConnectTimeout time.Duration // a connection attempt that takes longer has failed
	Keepalive      time.Duration // idle connections are closed after this
	AnswerGrace    time.Duration // time allowed after a caller's deadline for the final answer
	DrainGrace     time.Duration // period after the notification that a switch drains or is gone
	MaxOpenCalls   int           // maximum number of open calls
}

// MS converts milliseconds, the unit of the settings and the wire, to a duration.
func MS(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// ToMS converts a duration to milliseconds.
func ToMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// The values that a setting may have and what they stand for. The empty string is the default.
var (
	effects = map[string]brookmux.Effect{
		"": brookmux.Safe, "repeatable": brookmux.Safe, "by_key": brookmux.Keyed, "once": brookmux.Once}
	scopes = map[string]brookmux.Scope{
		"": brookmux.ScopeAll, "all": brookmux.ScopeAll, "zone": brookmux.ScopeZone, "cell": brookmux.ScopeCell}
	reportModes = map[string]brookmux.ReportMode{
		"": brookmux.ReportsNone, "silent": brookmux.ReportsNone,
		"piggyback": brookmux.ReportsAnswers, "pull": brookmux.ReportsProbe}
	discoveries = map[string]bool{"": false, "push": false, "ask": true}
	shapes      = map[string]bool{"": false, "network": false, "skills": true}
)

// Parse decodes a JSON settings object; unknown keys are ignored.
func Parse(text []byte) (Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Settings{}, fmt.Errorf("settings can't be read: %w", err)
	}
	return FromValue(v)
}

// FromValue decodes a settings object that is part of a parsed JSON document. It returns the first error; the
// settings are incomplete then.
func FromValue(v *fastjson.Value) (Settings, error) {
	r := reader{}
	if v == nil || v.Type() != fastjson.TypeObject {
		return Settings{}, fmt.Errorf("settings can't be read: not an object")
	}
	permissions, rules, specifics, report := v.Get("permissions"), v.Get("rules"), v.Get("specifics"), v.Get("loadReport")
	s := Settings{
		Module: brookmux.Settings{
			Instances: r.integer(v, "instances"), Here: -1,
			Probes: r.boolean(permissions, "probes"), RetryAfter: r.boolean(permissions, "retryAfter"),
			MaxRetryAfter: r.ms(permissions, "maxRetryAfterMs"), MaxAttempts: r.integer(permissions, "maxAttempts"),
			ColdFrom: r.number(rules, "coldFrom"), WarmWithin: r.ms(rules, "warmWithinMs"),
			FallMultiple: r.number(rules, "fallMultiple"), ReleaseWait: r.ms(specifics, "releaseGuardMs"),
		},
		ReportNames: r.strs(report, "names"), Zones: r.strs(v, "zones"),
		ConnectTimeout: r.ms(permissions, "connectTimeoutMs"), Keepalive: r.ms(permissions, "keepaliveMs"),
		AnswerGrace: r.ms(rules, "graceToAnswerMs"), DrainGrace: r.ms(rules, "drainGraceMs"),
		MaxOpenCalls: r.integer(permissions, "mostHeld"),
	}
	if specifics.Exists("here") {
		s.Module.Here = r.integer(specifics, "here")
	}
	s.Module.FollowMembers = lookup(&r, "discovery", r.str(v, "discovery"), discoveries)
	s.Module.Pools = lookup(&r, "specifics.shape", r.str(specifics, "shape"), shapes)
	s.Module.Reports = lookup(&r, "loadReport.how", r.str(report, "how"), reportModes)
	for _, w := range r.list(specifics, "channelsNeeded") {
		f, err := w.Float64()
		r.fail("channelsNeeded", err)
		s.Widths = append(s.Widths, f)
	}
	r.classes(&s, v, specifics)
	return s, r.err
}

// classes decodes the call classes and their entries in the specifics, which are matched by index.
func (r *reader) classes(s *Settings, v, specifics *fastjson.Value) {
	hold, pools := r.list(specifics, "classHoldMs"), r.list(specifics, "skilledPools")
	for i, c := range r.list(v, "classes") {
		k := brookmux.Class{Aim: r.ms(c, "aimMs"), Deadline: r.ms(c, "deadlineMs"), Worth: r.number(c, "gain"),
			LateWorth: r.number(c, "lateValue"), Window: r.ms(c, "dedupWindowMs"),
			Effect: lookup(r, "classes.effect", r.str(c, "effect"), effects),
			Group:  lookup(r, "classes.group", r.str(c, "group"), scopes)}
		if i < len(hold) {
			h, err := hold[i].Float64()
			r.fail("classHoldMs", err)
			k.Hold = MS(h)
		}
		if i < len(pools) {
			members, err := pools[i].Array()
			r.fail("skilledPools", err)
			for _, m := range members {
				n, err := m.Int()
				r.fail("skilledPools", err)
				k.Pools = append(k.Pools, n)
			}
		}
		s.Module.Classes = append(s.Module.Classes, k)
		s.ClassNames = append(s.ClassNames, r.str(c, "name"))
	}
}

// WithIndexesOf returns these settings with the class indexes of before, so that a class index stays valid across a
// change of settings. Removed classes keep their index under an empty name, which no call has; new classes are
// appended.
func (s Settings) WithIndexesOf(before Settings) Settings {
	out := s
	out.ClassNames = slices.Clone(before.ClassNames)
	out.Module.Classes = slices.Clone(before.Module.Classes)
	out.Widths = nil
	for i, name := range s.ClassNames {
		if at := slices.Index(out.ClassNames, name); at >= 0 {
			out.Module.Classes[at] = s.Module.Classes[i]
		} else {
			out.ClassNames = append(out.ClassNames, name)
			out.Module.Classes = append(out.Module.Classes, s.Module.Classes[i])
		}
	}
	for i, name := range out.ClassNames {
		switch at := slices.Index(s.ClassNames, name); {
		case at < 0:
			out.ClassNames[i] = ""
			out.Widths = append(out.Widths, 0)
		case at < len(s.Widths):
			out.Widths = append(out.Widths, s.Widths[at])
		}
	}
	return out
}

// reader decodes typed members and keeps the first error. Missing and null members decode to the zero value.
type reader struct{ err error }

// fail records the error of a setting unless an earlier one is recorded or err is nil.
func (r *reader) fail(key string, err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("settings can't be read: setting %s: %w", key, err)
	}
}

// member returns a member of v, or nil if it is missing or null.
func member(v *fastjson.Value, key string) *fastjson.Value {
	if m := v.Get(key); m != nil && m.Type() != fastjson.TypeNull {
		return m
	}
	return nil
}

// number decodes a number, 0 if the member is missing.
func (r *reader) number(v *fastjson.Value, key string) float64 {
	m := member(v, key)
	if m == nil {
		return 0
	}
	f, err := m.Float64()
	r.fail(key, err)
	return f
}

// integer decodes an integer, 0 if the member is missing.
func (r *reader) integer(v *fastjson.Value, key string) int {
	m := member(v, key)
	if m == nil {
		return 0
	}
	n, err := m.Int()
	r.fail(key, err)
	return n
}

// ms decodes a number of milliseconds, 0 if the member is missing.
func (r *reader) ms(v *fastjson.Value, key string) time.Duration { return MS(r.number(v, key)) }

// boolean decodes a boolean, false if the member is missing.
func (r *reader) boolean(v *fastjson.Value, key string) bool {
	m := member(v, key)
	if m == nil {
		return false
	}
	b, err := m.Bool()
	r.fail(key, err)
	return b
}

// str decodes a string, empty if the member is missing.
func (r *reader) str(v *fastjson.Value, key string) string {
	m := member(v, key)
	if m == nil {
		return ""
	}
	b, err := m.StringBytes()
	r.fail(key, err)
	return string(b)
}

// list returns the elements of an array, nil if the member is missing.
func (r *reader) list(v *fastjson.Value, key string) []*fastjson.Value {
	m := member(v, key)
	if m == nil {
		return nil
	}
	a, err := m.Array()
	r.fail(key, err)
	return a
}

// strs decodes an array of strings, nil if the member is missing.
func (r *reader) strs(v *fastjson.Value, key string) []string {
	var out []string
	for _, m := range r.list(v, key) {
		b, err := m.StringBytes()
		r.fail(key, err)
		out = append(out, string(b))
	}
	return out
}

// lookup returns what a setting's value stands for in known, or records an error for an unknown value.
func lookup[T any](r *reader, setting, value string, known map[string]T) T {
	v, ok := known[value]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("setting %s: unknown value %q", setting, value)
	}
	return v
}

// EmptyReport returns a load report with every value absent.
func EmptyReport() brookmux.Report {
	return brookmux.Report{Free: brookmux.Absent, Size: brookmux.Absent, Active: brookmux.Absent,
		Queue: brookmux.Absent, Util: brookmux.Absent, Wait: brookmux.Absent, Rate: brookmux.Absent,
		HoldBack: brookmux.Absent}
}

// SetReportValue sets the report value with this wire name, as used in the settings or in a real core's report. Unknown
// names are ignored.
func SetReportValue(r *brookmux.Report, name string, value float64) {
	switch name {
	case "idle", "x0":
		r.Free = value
	case "circuits", "x1":
		r.Size = value
	case "active", "inflight":
		r.Active = value
	case "waiting", "queue":
		r.Queue = value
	case "cpu", "util":
		r.Util = value
	case "avg_ms", "latency_ms":
		r.Wait = value
	case "max_rate", "qps":
		r.Rate = value
	case "reduce", "eps":
		r.HoldBack = value
	}
}
