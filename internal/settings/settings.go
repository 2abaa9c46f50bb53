// Package settings holds the one settings type of brookmux and its parser. The simulator's adapter and the
// border controller both read the same JSON object with it.
package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"brookmux"
)

// Settings is what an instance is told at its start.
type Settings struct {
	Module         brookmux.Settings
	ClassNames     []string      // by the module's class index
	ReportNames    []string      // of a load report's values, in order
	Zones          []string      // by the module's zone index
	Widths         []float64     // circuits that a call takes, by the module's class index
	ConnectTimeout time.Duration // a connection that takes longer has failed
	Keepalive      time.Duration // idle connections close after this
	AnswerGrace    time.Duration // after a caller's deadline
	DrainGrace     time.Duration // after word that a switch drains or is gone
	MostHeld       int           // calls open at a time
}

// MS turns the wire's milliseconds into a duration.
func MS(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// ToMS turns a duration into the wire's milliseconds.
func ToMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

var (
	effects = map[string]brookmux.Effect{
		"": brookmux.Safe, "repeatable": brookmux.Safe, "by_key": brookmux.Keyed, "once": brookmux.Once}
	scopes = map[string]brookmux.Scope{
		"": brookmux.ScopeAll, "all": brookmux.ScopeAll, "zone": brookmux.ScopeZone, "cell": brookmux.ScopeCell}
	reporting = map[string]brookmux.ReportHow{
		"": brookmux.ReportsNone, "silent": brookmux.ReportsNone,
		"piggyback": brookmux.ReportsAnswers, "pull": brookmux.ReportsProbe}
	discoveries = map[string]bool{"": false, "push": false, "ask": true}
	shapes      = map[string]bool{"": false, "network": false, "skills": true}
)

// Parse reads a settings text; unknown keys are skipped.
func Parse(text []byte) (Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Settings{}, fmt.Errorf("settings can't be read: %w", err)
	}
	return FromValue(v)
}

// FromValue reads a settings object that stands inside another text.
func FromValue(v *fastjson.Value) (Settings, error) {
	r := reader{}
	if v == nil || v.Type() != fastjson.TypeObject {
		return Settings{}, fmt.Errorf("settings can't be read: not an object")
	}
	allow, rules, spec, report := v.Get("permissions"), v.Get("rules"), v.Get("specifics"), v.Get("loadReport")
	s := Settings{
		Module: brookmux.Settings{
			Instances: r.whole(v, "instances"), Here: -1,
			Probes: r.yes(allow, "probes"), RetryAfter: r.yes(allow, "retryAfter"),
			MaxRetryAfter: r.ms(allow, "maxRetryAfterMs"), MaxAttempts: r.whole(allow, "maxAttempts"),
			ColdFrom: r.number(rules, "coldFrom"), WarmWithin: r.ms(rules, "warmWithinMs"),
			FallMultiple: r.number(rules, "fallMultiple"), ReleaseWait: r.ms(spec, "releaseGuardMs"),
		},
		ReportNames: r.texts(report, "names"), Zones: r.texts(v, "zones"),
		ConnectTimeout: r.ms(allow, "connectTimeoutMs"), Keepalive: r.ms(allow, "keepaliveMs"),
		AnswerGrace: r.ms(rules, "graceToAnswerMs"), DrainGrace: r.ms(rules, "drainGraceMs"),
		MostHeld: r.whole(allow, "mostHeld"),
	}
	if spec.Exists("here") {
		s.Module.Here = r.whole(spec, "here")
	}
	s.Module.Ask = word(&r, "discovery", r.text(v, "discovery"), discoveries)
	s.Module.Pools = word(&r, "specifics.shape", r.text(spec, "shape"), shapes)
	s.Module.Reports = word(&r, "loadReport.how", r.text(report, "how"), reporting)
	for _, w := range r.list(spec, "channelsNeeded") {
		f, err := w.Float64()
		r.keep("channelsNeeded", err)
		s.Widths = append(s.Widths, f)
	}
	r.classes(&s, v, spec)
	return s, r.err
}

// classes reads the classes of call with what the specifics say of each.
func (r *reader) classes(s *Settings, v, spec *fastjson.Value) {
	hold, pools := r.list(spec, "classHoldMs"), r.list(spec, "skilledPools")
	for i, c := range r.list(v, "classes") {
		k := brookmux.Class{Aim: r.ms(c, "aimMs"), Deadline: r.ms(c, "deadlineMs"), Worth: r.number(c, "gain"),
			LateWorth: r.number(c, "lateValue"), Window: r.ms(c, "dedupWindowMs"),
			Effect: word(r, "classes.effect", r.text(c, "effect"), effects),
			Group:  word(r, "classes.group", r.text(c, "group"), scopes)}
		if i < len(hold) {
			h, err := hold[i].Float64()
			r.keep("classHoldMs", err)
			k.Hold = MS(h)
		}
		if i < len(pools) {
			members, err := pools[i].Array()
			r.keep("skilledPools", err)
			for _, m := range members {
				n, err := m.Int()
				r.keep("skilledPools", err)
				k.Pools = append(k.Pools, n)
			}
		}
		s.Module.Classes = append(s.Module.Classes, k)
		s.ClassNames = append(s.ClassNames, r.text(c, "name"))
	}
}

// After returns these settings with the classes at the places that they had before: those that are gone stay
// under a name that no call has, new ones come after them. Whoever holds a class by its index can go on.
func (s Settings) After(before Settings) Settings {
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

// reader reads typed members and keeps the first error. Missing and null members are zero.
type reader struct{ err error }

func (r *reader) keep(key string, err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("settings can't be read: setting %s: %w", key, err)
	}
}

// member returns a member that is there and not null, else nil.
func member(v *fastjson.Value, key string) *fastjson.Value {
	if m := v.Get(key); m != nil && m.Type() != fastjson.TypeNull {
		return m
	}
	return nil
}

func (r *reader) number(v *fastjson.Value, key string) float64 {
	m := member(v, key)
	if m == nil {
		return 0
	}
	f, err := m.Float64()
	r.keep(key, err)
	return f
}

func (r *reader) whole(v *fastjson.Value, key string) int {
	m := member(v, key)
	if m == nil {
		return 0
	}
	n, err := m.Int()
	r.keep(key, err)
	return n
}

func (r *reader) ms(v *fastjson.Value, key string) time.Duration { return MS(r.number(v, key)) }

func (r *reader) yes(v *fastjson.Value, key string) bool {
	m := member(v, key)
	if m == nil {
		return false
	}
	b, err := m.Bool()
	r.keep(key, err)
	return b
}

func (r *reader) text(v *fastjson.Value, key string) string {
	m := member(v, key)
	if m == nil {
		return ""
	}
	b, err := m.StringBytes()
	r.keep(key, err)
	return string(b)
}

func (r *reader) list(v *fastjson.Value, key string) []*fastjson.Value {
	m := member(v, key)
	if m == nil {
		return nil
	}
	a, err := m.Array()
	r.keep(key, err)
	return a
}

func (r *reader) texts(v *fastjson.Value, key string) []string {
	var out []string
	for _, m := range r.list(v, key) {
		b, err := m.StringBytes()
		r.keep(key, err)
		out = append(out, string(b))
	}
	return out
}

// word looks up one of the wire's words.
func word[T any](r *reader, setting, value string, known map[string]T) T {
	v, ok := known[value]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("setting %s: unknown word %q", setting, value)
	}
	return v
}

// NoReport is a report in which nothing was told.
func NoReport() brookmux.Report {
	return brookmux.Report{Free: brookmux.Absent, Size: brookmux.Absent, Active: brookmux.Absent,
		Queue: brookmux.Absent, Util: brookmux.Absent, Wait: brookmux.Absent, Rate: brookmux.Absent,
		HoldBack: brookmux.Absent}
}

// Figure sets the value of a report that the wire calls by this name, in the words of the settings or in
// those of a real core's report; a name that is not known is skipped.
func Figure(r *brookmux.Report, name string, value float64) {
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
