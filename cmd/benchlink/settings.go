package main

import (
	"encoding/json"
	"fmt"
	"time"

	"pitchrock"
)

// bootInfo mirrors the settings text of an INIT; unknown keys are skipped.
type bootInfo struct {
	Instances int       `json:"instances"`
	Discovery string    `json:"discovery"`
	Classes   []class   `json:"classes"`
	Report    report    `json:"loadReport"`
	Allow     allow     `json:"permissions"`
	Rules     rules     `json:"rules"`
	Specifics specifics `json:"specifics"`
}

type class struct {
	Aim      float64 `json:"aimMs"`
	Deadline float64 `json:"deadlineMs"`
	Window   float64 `json:"dedupWindowMs"`
	Effect   string  `json:"effect"`
	Gain     float64 `json:"gain"`
	Group    string  `json:"group"`
	Late     float64 `json:"lateValue"`
}

type report struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

type allow struct {
	MaxAttempts   int     `json:"maxAttempts"`
	MaxRetryAfter float64 `json:"maxRetryAfterMs"`
	Probes        bool    `json:"probes"`
	RetryAfter    bool    `json:"retryAfter"`
}

type rules struct {
	ColdFrom     float64 `json:"coldFrom"`
	FallMultiple float64 `json:"fallMultiple"`
	WarmWithin   float64 `json:"warmWithinMs"`
}

type specifics struct {
	Hold       []float64 `json:"classHoldMs"`
	FarReports string    `json:"farReports"`
	Here       *int      `json:"here"`
	Release    float64   `json:"releaseGuardMs"`
	Shape      string    `json:"shape"`
	Pools      [][]int   `json:"skilledPools"`
}

// ms turns the wire's milliseconds into a duration.
func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// toMs turns a duration into the wire's milliseconds.
func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// word looks up one of the wire's words.
func word[T any](setting, value string, known map[string]T) (T, error) {
	v, ok := known[value]
	if !ok {
		return v, fmt.Errorf("setting %s: unknown word %q", setting, value)
	}
	return v, nil
}

var (
	effects = map[string]pitchrock.Effect{
		"": pitchrock.Safe, "repeatable": pitchrock.Safe, "by_key": pitchrock.Keyed, "once": pitchrock.Once}
	scopes = map[string]pitchrock.Scope{
		"": pitchrock.ScopeAll, "all": pitchrock.ScopeAll, "zone": pitchrock.ScopeZone, "cell": pitchrock.ScopeCell}
	reporting = map[string]pitchrock.ReportHow{
		"": pitchrock.ReportsNone, "silent": pitchrock.ReportsNone,
		"piggyback": pitchrock.ReportsAnswers, "pull": pitchrock.ReportsProbe}
	discoveries = map[string]bool{"": false, "push": false, "ask": true}
	shapes      = map[string]bool{"": false, "network": false, "skills": true}
)

// parseSettings translates a settings text and returns the names of the report's values too.
func parseSettings(text []byte) (pitchrock.Settings, []string, error) {
	var in bootInfo
	if err := json.Unmarshal(text, &in); err != nil {
		return pitchrock.Settings{}, nil, fmt.Errorf("settings can't be read: %w", err)
	}
	s := pitchrock.Settings{
		Instances: in.Instances, Here: -1, Probes: in.Allow.Probes, RetryAfter: in.Allow.RetryAfter,
		MaxRetryAfter: ms(in.Allow.MaxRetryAfter), MaxAttempts: in.Allow.MaxAttempts, ColdFrom: in.Rules.ColdFrom,
		WarmWithin: ms(in.Rules.WarmWithin), FallMultiple: in.Rules.FallMultiple, ReleaseWait: ms(in.Specifics.Release),
	}
	if in.Specifics.Here != nil {
		s.Here = *in.Specifics.Here
	}
	var err error
	if s.Ask, err = word("discovery", in.Discovery, discoveries); err != nil {
		return s, nil, err
	}
	if s.Pools, err = word("specifics.shape", in.Specifics.Shape, shapes); err != nil {
		return s, nil, err
	}
	if s.Reports, err = word("loadReport.how", in.Report.How, reporting); err != nil {
		return s, nil, err
	}
	s.Classes, err = classes(in)
	return s, in.Report.Names, err
}

// classes translates the classes of call with what the specifics say of each.
func classes(in bootInfo) ([]pitchrock.Class, error) {
	var out []pitchrock.Class
	for i, c := range in.Classes {
		k := pitchrock.Class{Aim: ms(c.Aim), Deadline: ms(c.Deadline), Worth: c.Gain, LateWorth: c.Late,
			Window: ms(c.Window)}
		var err error
		if k.Effect, err = word("classes.effect", c.Effect, effects); err != nil {
			return nil, err
		}
		if k.Group, err = word("classes.group", c.Group, scopes); err != nil {
			return nil, err
		}
		if i < len(in.Specifics.Hold) {
			k.Hold = ms(in.Specifics.Hold[i])
		}
		if i < len(in.Specifics.Pools) {
			k.Pools = in.Specifics.Pools[i]
		}
		out = append(out, k)
	}
	return out, nil
}
