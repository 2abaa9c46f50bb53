// Package stormconf reads the operators' file on storms, deploy/storm.toml. It owns the file's form and its
// checks, and knows nothing of what is decided with it.
package stormconf

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"brookmux/internal/storm"
	"brookmux/internal/tomlfile"
)

// File is what deploy/storm.toml says.
type File struct {
	Enabled bool    `toml:"enabled"`
	Target  float64 `toml:"target"` // part of the shortest aim that a set-up may wait in line, 0 for the usual one
	Parts   Parts   `toml:"parts"`
	Told    Told    `toml:"told"`
	Pace    Pace    `toml:"pace"`
}

// Parts can be switched off alone. One that the file does not name is on.
type Parts struct {
	Window  *bool `toml:"window"`
	Budget  *bool `toml:"budget"`
	Advice  *bool `toml:"advice"`
	Callers *bool `toml:"callers"`
	Cold    *bool `toml:"cold"`
}

// Told is in which forms callers and peers are told, beside X-Cooldown.
type Told struct {
	RetryAfter bool `toml:"retry_after"` // SIP Retry-After (RFC 3261, 20.33)
	Level      bool `toml:"level"`       // ISUP automatic congestion level (Q.763, 3.4)
	Network    bool `toml:"network"`     // M3UA SCON, DUNA and DAVA (RFC 4666, 3.4)
}

// Pace is that of new connections and associations; per_second 0 is none.
type Pace struct {
	PerSecond float64 `toml:"per_second"`
	Burst     int     `toml:"burst"`
	Waiting   int     `toml:"waiting"` // connections that may wait for their turn
}

// Load reads a file; where there is none, storms are neither seen nor damped.
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

// Parse reads a file's text. An error names the line, or the field that can't be served.
func Parse(text []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(text, &f); err != nil {
		return File{}, err
	}
	for _, c := range []struct {
		field       string
		value       float64
		least, most float64
	}{{"target", f.Target, 0, 1}, {"pace.per_second", f.Pace.PerSecond, 0, 1e5}, {"pace.burst", float64(f.Pace.Burst), 0, 1e5},
		{"pace.waiting", float64(f.Pace.Waiting), 0, 4096}} {
		if !(c.value >= c.least && c.value <= c.most) {
			return File{}, fmt.Errorf("%s is %v, from %v to %v is served", c.field, c.value, c.least, c.most)
		}
	}
	if f.Pace.PerSecond > 0 && f.Pace.Burst < 1 {
		return File{}, errors.New("pace.burst is needed with pace.per_second")
	}
	return f, nil
}

// On tells whether a part is on.
func On(part *bool) bool { return part == nil || *part }

// Storm is what the file makes of storm; what the platform's settings say is put in by the core.
func (f File) Storm(seed uint64) storm.Config {
	return storm.Config{Seed: seed, Target: f.Target, Window: On(f.Parts.Window), Budget: On(f.Parts.Budget),
		Advice: On(f.Parts.Advice), Callers: On(f.Parts.Callers), Cold: On(f.Parts.Cold)}
}
