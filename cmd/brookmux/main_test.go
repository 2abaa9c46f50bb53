package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"brookmux/internal/playback"
)

// inProcess runs the program inside the test process, so that the race detector covers it.
func inProcess(_ *testing.T, env map[string]string, out io.Writer) playback.Process {
	s, done := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}, make(chan error, 1)
	level := &slog.LevelVar{}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	go func() {
		done <- run(context.Background(), func(k string) string { return env[k] }, s, log, level, func(config) {})
	}()
	return playback.Process{Wait: sync.OnceValue(func() error { return <-done }), Signal: func(sig os.Signal) {
		to := s.stop
		if sig == syscall.SIGHUP {
			to = s.reload
		}
		select { // as signal.Notify does
		case to <- sig:
		default:
		}
	}}
}

// TestExchanges plays the recorded exchanges of testdata.
func TestExchanges(t *testing.T) { playback.Run(t, "testdata/*.txt", inProcess) }

// TestBinary builds the deployed binary, plays exchanges with it over sockets and ends it with SIGTERM: it must exit
// with 0.
func TestBinary(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "brookmux")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	playback.Run(t, "testdata/call_*.txt", func(t *testing.T, env map[string]string, out io.Writer) playback.Process {
		c := exec.Command(bin)
		for k, v := range env {
			c.Env = append(c.Env, k+"="+v)
		}
		c.Stdout, c.Stderr = out, out
		require.NoError(t, c.Start())
		return playback.Process{Wait: sync.OnceValue(c.Wait), Signal: func(sig os.Signal) { _ = c.Process.Signal(sig) }}
	})
}
