package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"brookmux/internal/directory"
	"brookmux/internal/m3ua"
	"brookmux/internal/settings"
	"brookmux/internal/stormconf"
)

// platform is the content of the platform's configuration file.
type platform struct {
	name, listen, nameserver string
	seed                     uint64
	cores                    float64
	memory                   int64           // bytes
	sockets                  int             // descriptors
	cachedList               *fastjson.Value // the cached membership list
	settings                 settings.Settings
}

// config is the whole configuration that is read at start.
type config struct {
	platform
	m3ua    m3ua.Config
	storm   stormconf.File
	store   storeConfig
	netconf netconfConfig
}

// loadConfig reads the configuration files. A non-empty listen address takes precedence over the platform's file.
func loadConfig(path, listen, m3uaFile, storeFile, stormFile, netconfFile string) (config, error) {
	p, err := loadPlatform(path, listen)
	c := config{platform: p}
	if err != nil {
		return c, err
	}
	if c.m3ua, err = m3ua.Load(m3uaFile); err != nil {
		return c, err
	}
	if c.storm, err = stormconf.Load(stormFile); err != nil {
		return c, err
	}
	if c.netconf, err = loadNETCONF(netconfFile); err != nil {
		return c, err
	}
	c.store, err = loadStore(storeFile)
	return c, err
}

// syntaxErrorLine returns the line of the first JSON syntax error in a text, or 0 if there is none.
func syntaxErrorLine(text []byte) int {
	var bad *json.SyntaxError
	if !errors.As(json.Unmarshal(text, new(any)), &bad) {
		return 0
	}
	return 1 + bytes.Count(text[:min(int(bad.Offset), len(text))], []byte("\n"))
}

// loadPlatform reads and checks the platform's file. A non-empty listen address takes precedence over the file.
// The defaults are 192 MiB of memory and 1024 descriptors.
func loadPlatform(path, listen string) (platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return platform{}, fmt.Errorf("configuration: %w", err)
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		if n := syntaxErrorLine(text); n > 0 {
			err = fmt.Errorf("line %d: %w", n, err)
		}
		return platform{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	limits := v.Get("limits")
	p := platform{name: string(v.GetStringBytes("name")), listen: string(v.GetStringBytes("listen")),
		nameserver: string(v.GetStringBytes("nameserver")), cores: limits.GetFloat64("cores"),
		memory: int64(limits.GetInt("memory_mb")) << 20, sockets: limits.GetInt("sockets"), cachedList: v.Get("known")}
	if listen != "" {
		p.listen = listen
	}
	if p.listen == "" || p.nameserver == "" || p.cachedList == nil {
		return p, errors.New("configuration: listen, nameserver and known are needed")
	}
	if err := directory.Check(p.nameserver); err != nil {
		return p, fmt.Errorf("configuration: %w", err)
	}
	if p.memory <= 0 {
		p.memory = 192 << 20
	}
	if p.sockets <= 0 {
		p.sockets = 1024
	}
	if p.seed, err = strconv.ParseUint(string(v.GetStringBytes("seed")), 16, 64); err != nil {
		return p, fmt.Errorf("configuration: seed: %w", err)
	}
	if p.settings, err = settings.FromValue(v.Get("settings")); err != nil {
		return p, fmt.Errorf("configuration: %w", err)
	}
	return p, nil
}
