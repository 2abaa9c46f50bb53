package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"brookmux/internal/m3ua"
	"brookmux/internal/settings"
)

// config is what the platform tells the program at its start.
type config struct {
	name, listen, nameserver string
	seed                     uint64
	cores                    float64
	memory                   int64 // bytes
	sockets                  int
	known                    *fastjson.Value
	settings                 settings.Settings
	m3ua                     m3ua.Config
	manage                   manageConfig
}

// load reads the configuration file; listen, where given, goes before what the file says.
func load(path, listen, m3uaFile, storeFile string) (config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return config{}, fmt.Errorf("configuration: %w", err)
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	limits := v.Get("limits")
	c := config{name: string(v.GetStringBytes("name")), listen: string(v.GetStringBytes("listen")),
		nameserver: string(v.GetStringBytes("nameserver")), cores: limits.GetFloat64("cores"),
		memory: int64(limits.GetInt("memory_mb")) << 20, sockets: limits.GetInt("sockets"), known: v.Get("known")}
	if listen != "" {
		c.listen = listen
	}
	if c.listen == "" || c.nameserver == "" || c.known == nil {
		return c, errors.New("configuration: listen, nameserver and known are needed")
	}
	if c.memory <= 0 {
		c.memory = 192 << 20
	}
	if c.sockets <= 0 {
		c.sockets = 1024
	}
	if c.seed, err = strconv.ParseUint(string(v.GetStringBytes("seed")), 16, 64); err != nil {
		return c, fmt.Errorf("configuration: seed: %w", err)
	}
	if c.settings, err = settings.FromValue(v.Get("settings")); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if c.m3ua, err = m3ua.Load(m3uaFile); err != nil {
		return c, err
	}
	if c.manage, err = loadManage(storeFile); err != nil {
		return c, err
	}
	return c, nil
}
