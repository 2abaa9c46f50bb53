package m3ua

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"brookmux/internal/tomlfile"
)

// Config is what deploy/m3ua.toml says.
type Config struct {
	Enabled        bool       `toml:"enabled"`
	Listen         string     `toml:"listen"` // where peers connect; empty: no server
	PointCode      uint32     `toml:"point_code"`
	RoutingContext uint32     `toml:"routing_context"`
	Timers         Timers     `toml:"timers"`
	Classes        []Category `toml:"class"`
	Exchanges      []Exchange `toml:"exchange"`
	Peers          []Peer     `toml:"peer"`
	Links          []Link     `toml:"link"`
}

// maxSilence is the most milliseconds from an exchange's last word to the end of the calls on it: their callers are owed
// a release within 8 s.
const maxSilence = 7500

// Timers are in milliseconds.
type Timers struct {
	Beat int `toml:"beat_ms"` // between heartbeats; one that is not acknowledged by the next ends the association
	Ack  int `toml:"ack_ms"`  // in which an association has to become active
	T1   int `toml:"t1_ms"`   // after which a REL without RLC is sent again
	Gone int `toml:"gone_ms"` // after which calls on an exchange whose association stays away are over
}

// Category ties a calling party's category to a class of the settings.
type Category struct {
	Category uint8  `toml:"category"`
	Name     string `toml:"name"`
}

// Exchange ties an exchange's number to its point code.
type Exchange struct {
	Number    int    `toml:"number"`
	PointCode uint32 `toml:"point_code"`
}

// Peer is one that connects to the server.
type Peer struct {
	ASP       uint32 `toml:"asp"` // its ASP identifier
	PointCode uint32 `toml:"point_code"`
}

// Link is an exchange that the client connects to.
type Link struct {
	ID        uint32 `toml:"id"` // its switch, distinct from all that the name service lists
	Number    int    `toml:"number"`
	Zone      int    `toml:"zone"`
	Address   string `toml:"address"`
	PointCode uint32 `toml:"point_code"`
	ASP       uint32 `toml:"asp"` // the ASP identifier that it knows us by
	Circuits  int    `toml:"circuits"`
}

// Load reads a configuration; where there is none, the front is off.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Config{}, nil
	}
	if err != nil {
		return Config{}, fmt.Errorf("m3ua: configuration: %w", err)
	}
	var c Config
	if err := tomlfile.Decode(text, &c); err != nil {
		return c, fmt.Errorf("m3ua: configuration %s: %w", path, err)
	}
	return c, c.check()
}

// check names the first entry that can't be served, and puts defaults in.
func (c *Config) check() error {
	if !c.Enabled {
		return nil
	}
	for _, t := range []struct {
		value *int
		name  string
		usual int
	}{{&c.Timers.Beat, "beat_ms", 2000}, {&c.Timers.Ack, "ack_ms", 2000}, {&c.Timers.T1, "t1_ms", 15000},
		{&c.Timers.Gone, "gone_ms", 3000}} {
		if *t.value < 0 {
			return fmt.Errorf("m3ua: configuration: %s is %d", t.name, *t.value)
		} else if *t.value == 0 {
			*t.value = t.usual
		}
	}
	if worst := 2*c.Timers.Beat + c.Timers.Gone; worst > maxSilence {
		return fmt.Errorf("m3ua: configuration: twice beat_ms and gone_ms make %d ms, at most %d: calls on an exchange that vanished are over then",
			worst, maxSilence)
	}
	if c.PointCode == 0 {
		return errors.New("m3ua: configuration: point_code is missing")
	}
	if c.Listen != "" && (len(c.Peers) == 0 || len(c.Exchanges) == 0 || len(c.Classes) == 0) {
		return errors.New("m3ua: configuration: a server needs peer, exchange and class")
	}
	for i, p := range c.Peers {
		if p.PointCode == 0 {
			return fmt.Errorf("m3ua: configuration: peer %d has no point_code", i)
		}
	}
	for i, l := range c.Links {
		if l.Address == "" || l.PointCode == 0 || l.Circuits < 1 || l.Circuits > 1<<14-1 {
			return fmt.Errorf("m3ua: configuration: link %d needs address, point_code and 1 to 16383 circuits", i)
		}
	}
	return nil
}

// ms is a time of the configuration.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
