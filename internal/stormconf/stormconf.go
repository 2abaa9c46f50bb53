// Package stormconf reads the operators' storm configuration, deploy/storm.toml. It owns the file's format and its
// validation; package storm applies the settings.
package stormconf

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"brookmux/internal/storm"
	"brookmux/internal/tomlfile"
)

// File is the content of deploy/storm.toml.
type File struct {
	Enabled bool    `toml:"enabled"`
	Target  float64 `toml:"target"` // maximum queueing delay, as a fraction of the shortest aim; 0 for the default
	Parts   Parts   `toml:"parts"`
	Notify  Notify  `toml:"told"`
	Pace    Pace    `toml:"pace"`
}

// Parts switches the mechanisms of storm protection individually. One that the file does not name is on.
type Parts struct {
	Window  *bool `toml:"window"`
	Budget  *bool `toml:"budget"`
	Advice  *bool `toml:"advice"`
	Callers *bool `toml:"callers"`
	Cold    *bool `toml:"cold"`
}

// Notify selects how callers and peers are notified of waits and congestion, in addition to X-Cooldown.
type Notify struct {
	RetryAfter bool `toml:"retry_after"` // SIP Retry-After (RFC 3261, 20.33)
	Level      bool `toml:"level"`       // ISUP automatic congestion level (Q.763, 3.4)
	Network    bool `toml:"network"`     // M3UA SCON, DUNA and DAVA (RFC 4666, 3.4)
}

// Pace is the rate limit of new connections and associations; per_second 0 is no limit.
type Pace struct {
	PerSecond float64 `toml:"per_second"`
	Burst     int     `toml:"burst"`
	Waiting   int     `toml:"waiting"` // maximum number of queued connections
}

// Load reads a file. A file that does not exist is no error: storm protection is then disabled.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return File{}, nil
	}
	if err != nil {
		return File{}, fmt.Errorf("storm: configuration: %w", err)
	}
	f, err := Parse(text)
	if err != nil {
		return f, fmt.Errorf("storm: configuration %s: %w", path, err)
	}
	return f, nil
}

// Parse decodes and validates a file's text. An error names the line or the invalid field.
func Parse(text []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(text, &f); err != nil {
		return File{}, err
	}
	for _, c := range []struct {
		field     string
		value     float64
		low, high float64
	}{{"target", f.Target, 0, 1}, {"pace.per_second", f.Pace.PerSecond, 0, 1e5}, {"pace.burst", float64(f.Pace.Burst), 0, 1e5},
		{"pace.waiting", float64(f.Pace.Waiting), 0, 4096}} {
		if !(c.value >= c.low && c.value <= c.high) {
			return File{}, fmt.Errorf("%s is %v, it must be from %v to %v", c.field, c.value, c.low, c.high)
		}
	}
	if f.Pace.PerSecond > 0 && f.Pace.Burst < 1 {
		return File{}, errors.New("pace.burst is needed when pace.per_second is set")
	}
	return f, nil
}

// Enabled reports whether a part is on; a part that the file does not name is.
func Enabled(part *bool) bool { return part == nil || *part }

// Config returns the file's settings as a storm.Config. The core adds the platform's settings to it.
func (f File) Config(seed uint64) storm.Config {
	return storm.Config{Seed: seed, Target: f.Target, Window: Enabled(f.Parts.Window), Budget: Enabled(f.Parts.Budget),
		Advice: Enabled(f.Parts.Advice), Callers: Enabled(f.Parts.Callers), Cold: Enabled(f.Parts.Cold)}
}
