package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/crypto/ssh/knownhosts"

	"brookmux/internal/standin/loopback"
)

// runCLI runs the command line and returns its exit code, output and error output.
func runCLI(getenv func(string) string, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := runCommand(args, getenv, &out, &errs)
	return code, out.String(), errs.String()
}

// TestCheck: check reports each faulty file with its fault, and exits with 1.
func TestCheck(t *testing.T) {
	s := newSite(t, nil)
	code, out, _ := runCLI(func(k string) string { return s.env[k] }, "check")
	require.Zero(t, code, out)
	for name, text := range map[string]string{"GW_CONFIG": "{\n\"name\": \"n0\",\n\"listen\" 5}\n", "BROOKMUX_STORM": "enabled = true\n\nspeed = 1\n", "BROOKMUX_M3UA": "speed = 1\n"} {
		require.NoError(t, os.WriteFile(s.env[name], []byte(text), 0o600))
	}
	code, out, errs := runCLI(func(k string) string { return s.env[k] }, "check")
	require.Equal(t, 1, code)
	require.Contains(t, errs, "3 files can't be served")
	require.Contains(t, out, s.env["BROOKMUX_STORM"])
	require.Contains(t, out, s.env["GW_CONFIG"]+": line 3: ")
	require.Contains(t, out, "3| speed = 1", "the line")
	require.Contains(t, out, s.env["BROOKMUX_NETCONF"]+": ok")
}

// TestHelp: help lists the commands and flags, version the models, and an unknown command is an error.
func TestHelp(t *testing.T) {
	none := func(string) string { return "" }
	code, out, _ := runCLI(none, "--help")
	require.Zero(t, code)
	for _, word := range []string{"serve", "check", "config", "watch", "version"} {
		require.Contains(t, out, word)
	}
	code, out, _ = runCLI(none, "config", "commit", "--help")
	require.Zero(t, code)
	require.Contains(t, out, "--trial")
	code, out, _ = runCLI(none, "version")
	require.Zero(t, code)
	require.Contains(t, out, "brookmux-exchanges 2026-12-01")
	code, _, errs := runCLI(none, "fly")
	require.Equal(t, 1, code)
	require.Contains(t, errs, "fly")
}

// TestConfigCommands runs the config commands in order: set, diff, a trial that is cancelled and one that is confirmed,
// history and rollback, over NETCONF and gNMI.
func TestConfigCommands(t *testing.T) {
	t.Parallel()
	core, err := loopback.NewCore(100, time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { core.Close() })
	s := newSite(t, []*loopback.Core{core})
	s.start()
	address := s.out.await(t, `msg="netconf listens".* address=(\S+)`)
	hosts := filepath.Join(t.TempDir(), "known_hosts")
	require.NoError(t, os.WriteFile(hosts, []byte(knownhosts.Line([]string{address}, s.signer(s.host).PublicKey())+"\n"), 0o600))
	do := func(args ...string) (string, string) {
		args = append([]string{"config"}, args...)
		_, out, errs := runCLI(func(string) string { return "" }, append(args, "--address", address, "--user", "op", "--key", s.key, "--hosts", hosts)...)
		return out, errs
	}
	ok := func(args ...string) string {
		out, errs := do(args...)
		require.Empty(t, errs, args)
		return out
	}
	const exchange4 = "/exchanges/exchange[number='4']/"
	ok("set", "/limits/max-wait=5", exchange4+"zone=east", exchange4+"address=10.0.0.4:5060")
	require.Equal(t, "+ "+exchange4+"number = 4\n+ "+exchange4+"address = 10.0.0.4:5060\n+ "+exchange4+"zone = east\n+ /limits/max-wait = 5\n", ok("diff"))
	ok("commit", "--trial", "5m")
	require.Equal(t, "/limits/max-wait = 5\n", ok("get", "/limits"))
	ok("cancel")
	require.Empty(t, ok("get"))
	ok("set", "/limits/max-wait=5")
	ok("commit", "--trial", "5m", "--persist", "a<b")
	_, errs := do("confirm")
	require.Contains(t, errs, "invalid-value")
	ok("confirm", "--persist", "a<b")
	ok("set", "/limits/max-wait=6", "/limits/max-callers=9")
	ok("commit")
	ok("set", "--remove", "/limits/max-callers")
	require.Equal(t, "- /limits/max-callers = 9\n", ok("diff"))
	ok("discard")
	require.Empty(t, ok("diff"))
	_, errs = do("set", "/limits/max-wait=soon")
	require.Contains(t, errs, `"soon" is not a value of max-wait`)
	_, errs = do("set", "--remove", "/limits/max-open-calls")
	require.Contains(t, errs, "data-missing")
	history := strings.Split(strings.TrimSpace(ok("history")), "\n")
	require.Contains(t, history[0], "commit op/netconf 2 changes")
	var confirmedRevision string
	for _, line := range history {
		if strings.Contains(line, " confirm ") {
			confirmedRevision = strings.Fields(line)[0]
		}
	}
	ok("rollback", confirmedRevision, "--comment", "too many <callers>")
	require.Equal(t, "/limits/max-wait = 5\n", ok("get", "/limits"))
	require.Contains(t, strings.Split(ok("history"), "\n")[0], "too many <callers>")
	require.Contains(t, ok("get", "--datastore", "state", "/exchanges"), "state/origin = learned")
	_, errs = do("rollback", "999")
	require.Contains(t, errs, "revision 999 is not kept")
	g := func(args ...string) (string, string) {
		_, out, errs := runCLI(func(string) string { return "" }, append(append([]string{"config"}, args...), "--via", "gnmi", "--address",
			s.out.await(t, `msg="gnmi listens".* address=(\S+)`))...)
		return out, errs
	}
	for _, args := range [][]string{{"set", "/limits/max-wait=7", exchange4 + "zone=east", exchange4 + "address=10.0.0.4:5060", "--trial", "5m"}, {"confirm"},
		{"set", "/limits/max-wait=8", "--remove", "/exchanges", "--trial", "5m"}, {"cancel"}} {
		_, errs = g(args...)
		require.Empty(t, errs, args)
	}
	out, errs := g("get", "/limits")
	require.Empty(t, errs)
	require.Equal(t, "/limits/max-wait = 7\n", out)
	out, _ = g("get", "--datastore", "state", "/exchanges")
	require.Contains(t, out, exchange4+"zone = east\n")
	_, errs = g("diff")
	require.Contains(t, errs, "use --via netconf")
	_, errs = g("set", "/limits/max-wait=soon")
	require.Contains(t, errs, "InvalidArgument")
	_, _, errs = runCLI(func(string) string { return "" }, "config", "get", "--via", "gnmi", "--address", "10.0.0.1:1")
	require.Contains(t, errs, "--cert is needed")
	_, _, errs = runCLI(func(string) string { return "" }, "config", "get")
	require.Contains(t, errs, "--key and --hosts are needed")
	require.NoError(t, os.WriteFile(hosts, nil, 0o600))
	_, errs = do("get")
	require.Contains(t, errs, "key is unknown", "an unknown host")
	s.stop()
}
