package m3ua

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"brookmux/internal/tomlfile"
)

// Config is the content of the configuration file, deploy/m3ua.toml.
type Config struct {
	Enabled        bool       `toml:"enabled"`
	Listen         string     `toml:"listen"` // address that peers connect to; empty for no server
	PointCode      uint32     `toml:"point_code"`
	RoutingContext uint32     `toml:"routing_context"`
	Timers         Timers     `toml:"timers"`
	Classes        []Category `toml:"class"`
	Exchanges      []Exchange `toml:"exchange"`
	Peers          []Peer     `toml:"peer"`
	Links          []Link     `toml:"link"`
}

// maxCallEndDelay is the maximum time in milliseconds from the last message of an exchange to the end of the calls on
// it. Their callers must receive a release within 8 s.
const maxCallEndDelay = 7500

// maxCIC is the largest circuit identification code (Q.763, 1.2).
const maxCIC = 1<<14 - 1

// Timers are the protocol timers, in milliseconds. A value of 0 selects the default.
type Timers struct {
	Beat int `toml:"beat_ms"` // heartbeat interval; one not acknowledged before the next is due ends the association
	Ack  int `toml:"ack_ms"`  // timeout for an association to become active, and for the client's dial
	T1   int `toml:"t1_ms"`   // interval at which a REL is sent again until its RLC arrives
	Gone int `toml:"gone_ms"` // time without an active association after which the calls on an exchange end
}

// Category maps a calling party's category (Q.763) to the name of a class in the settings.
type Category struct {
	Category uint8  `toml:"category"`
	Name     string `toml:"name"`
}

// Exchange maps an exchange's point code to its number.
type Exchange struct {
	Number    int    `toml:"number"`
	PointCode uint32 `toml:"point_code"`
}

// Peer is a signalling peer that may connect to the server.
type Peer struct {
	ASP       uint32 `toml:"asp"` // its ASP identifier
	PointCode uint32 `toml:"point_code"`
}

// Link is an exchange that the client connects to and sends attempts to.
type Link struct {
	ID        uint32 `toml:"id"` // SwitchID of the exchange, distinct from all those in the membership list
	Number    int    `toml:"number"`
	Zone      int    `toml:"zone"`
	Address   string `toml:"address"`
	PointCode uint32 `toml:"point_code"`
	ASP       uint32 `toml:"asp"`      // ASP identifier under which this controller registers there
	Circuits  int    `toml:"circuits"` // number of circuits, with the CICs from 1
}

// Load reads and validates the configuration file at path. If there is no such file, it returns a Config that is not
// enabled.
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
	return c, c.validate()
}

// validate sets the defaults of the timers and returns an error for the first invalid entry. A Config that is not
// enabled is valid.
func (c *Config) validate() error {
	if !c.Enabled {
		return nil
	}
	for _, t := range []struct {
		value  *int
		name   string
		preset int
	}{{&c.Timers.Beat, "beat_ms", 2000}, {&c.Timers.Ack, "ack_ms", 2000}, {&c.Timers.T1, "t1_ms", 15000},
		{&c.Timers.Gone, "gone_ms", 3000}} {
		if *t.value < 0 {
			return fmt.Errorf("m3ua: configuration: %s is negative: %d", t.name, *t.value)
		} else if *t.value == 0 {
			*t.value = t.preset
		}
	}
	if delay := 2*c.Timers.Beat + c.Timers.Gone; delay > maxCallEndDelay {
		return fmt.Errorf("m3ua: configuration: 2*beat_ms + gone_ms is %d ms, maximum %d: it is the time until calls on an unresponsive exchange end",
			delay, maxCallEndDelay)
	}
	if c.PointCode == 0 {
		return errors.New("m3ua: configuration: point_code is missing")
	}
	if c.Listen != "" && (len(c.Peers) == 0 || len(c.Exchanges) == 0 || len(c.Classes) == 0) {
		return errors.New("m3ua: configuration: listen requires at least one peer, exchange and class")
	}
	for i, p := range c.Peers {
		if p.PointCode == 0 {
			return fmt.Errorf("m3ua: configuration: peer %d has no point_code", i)
		}
	}
	for i, l := range c.Links {
		if l.Address == "" || l.PointCode == 0 || l.Circuits < 1 || l.Circuits > maxCIC {
			return fmt.Errorf("m3ua: configuration: link %d requires address, point_code and 1 to 16383 circuits", i)
		}
	}
	return nil
}

// milliseconds converts a time in the configuration to a duration.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
