// Package playback is a test helper that plays scripted message exchanges against the program. A script is a text
// file. Its blocks are the steps, each with a heading "== ACTOR VERB" and the payload below it:
//
//	a, b ...   SIP callers; the payload is the header lines, an empty line, and the body on one line with the
//	           escapes \r \n \xHH
//	c1, c2 ... cores by exchange number; JSON lines
//	p1, p2 ... M3UA peers by ASP identifier; hex, with comments after a ;
//	x5 ...     exchanges that the program reaches by M3UA, by number; hex
//	names      the name server: "list SERIAL" sets its answer from lines "c1 ready" or "c2 draining"; "move"
//	           moves it to another address and updates the configuration file
//	log        waits until the program's log contains the payload once more than in earlier steps with this text
//	g, h       gNMI operators: "sends" takes the RPC name and the request in text format, "gets" the expected
//	           response or "code NAME" for a gRPC status; the program's authority has not signed h's certificate
//	program    "stops" sends SIGTERM; "exits" waits for an exit without an error; "reloads" replaces text in the
//	           configuration file, a line "OLD => NEW" for each replacement, and sends SIGHUP
//
// The verbs of the other actors are sends, waits 300ms, has 2 connections (waits until the program has opened them), gets, gets after 300ms (at least this long after the previous
// step), closes, resets, refuses (resets all connections and accepts no more) and is closed. In an expected message
// <*> matches any word, <name> matches a word and captures it for later steps, and .. matches any byte in hex.
//
// The program may have several connections to a core. "gets" accepts a message from any of them. A core sends a
// message about a call on the connection that carried the call's set-up; "sends on CALL" uses another call's
// connection. The payload of closes, resets and is closed names the call whose connection is meant; without one, it
// is the connection of the last message.
//
// The lines before the first step configure the playback: "cores 1 2" and "m3ua 5" list the cores and exchanges,
// "sockets 12" limits the program's descriptors, "tls" turns on TLS for gNMI, and "storm 8" turns on storm control
// with all forms of notification, for this number of controllers.
//
// After the last step the program is stopped. Any message that no step expected fails the test, and so does a
// violation of the rules that the ledger checks.
package playback

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"

	"brookmux/internal/testhost"
)

const (
	stepTimeout   = 20 * time.Second       // maximum wait for an expected event; only a failing test reaches it
	registerDelay = 100 * time.Millisecond // after a connection was accepted, until the program is certain to use it
)

// Program starts the program with the environment variables env and writes its log to out.
type Program func(t *testing.T, env map[string]string, out io.Writer) Process

// Process is the running program. Wait waits for it to exit and returns its error; it may be called repeatedly.
type Process struct {
	Signal func(os.Signal)
	Wait   func() error
}

// Run plays every script that matches a glob pattern as a parallel subtest named after the file.
func Run(t *testing.T, pattern string, start Program) {
	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, files, pattern)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			play(t, string(text), start)
		})
	}
}

// errStillRunning reports that the program did not exit within stepTimeout although it was stopped and all of its
// calls were over.
var errStillRunning = errors.New("the program does not exit")

// session is the playback of one script.
type session struct {
	t          *testing.T
	host       string // where cores, exchanges and the name service listen
	actors     map[string]*actor
	captures   map[string]string
	log        *log
	nameServer net.PacketConn
	nameAnswer []byte
	mu         sync.Mutex
	lastStep   time.Time
	ledger     *ledger
	process    Process
	stopped    bool
	env        map[string]string

	logSteps  map[string]int // by text: log steps so far
	operators map[string]*operator
	authority *certAuthority // nil if gNMI runs without TLS
}

// play plays one script.
func play(t *testing.T, text string, start Program) {
	head, rest, ok := strings.Cut(text, "\n== ")
	require.True(t, ok, "the script has no steps")
	s := &session{t: t, host: testhost.Host(), actors: map[string]*actor{}, captures: map[string]string{},
		log: newLog(), lastStep: time.Now(), ledger: newLedger(t),
		operators: map[string]*operator{}, logSteps: map[string]int{}}
	t.Cleanup(s.close)
	s.startProgram(head, start)
	for step := range strings.SplitSeq(rest, "\n== ") {
		line, payload, _ := strings.Cut(step, "\n")
		lines := strings.Split(payload, "\n")
		for i := range lines {
			if strings.HasPrefix(lines[i], "#") {
				lines = lines[:i] // a comment ends the block
				break
			}
		}
		s.runStep(strings.Fields(line), strings.TrimRight(strings.Join(lines, "\n"), "\n"))
	}
	s.finish()
}

// startProgram sets up the listening actors from the lines before the first step and starts the program.
func (s *session) startProgram(head string, start Program) {
	sockets, members, instances := "1024", "", "2"
	stormConfig := "enabled = false\n"
	m3uaConfig := "enabled = true\nlisten = \"127.0.0.1:0\"\npoint_code = 100\nrouting_context = 1\n" +
		"[timers]\ngone_ms = 1000\n" +
		"[[class]]\ncategory = 10\nname = \"page\"\n[[class]]\ncategory = 11\nname = \"update\"\n" +
		"[[exchange]]\nnumber = 1\npoint_code = 101\n[[exchange]]\nnumber = 5\npoint_code = 105\n" +
		"[[peer]]\nasp = 1\npoint_code = 201\n[[peer]]\nasp = 2\npoint_code = 105\n"
	for line := range strings.SplitSeq(head, "\n") {
		kind, numbers, _ := strings.Cut(line, " ")
		if kind == "storm" { // all forms of notification; numbers is the number of controllers
			stormConfig = "enabled = true\n[told]\nretry_after = true\nlevel = true\nnetwork = true\n"
			instances = numbers
		}
		if kind == "tls" {
			s.authority = newCertAuthority(s.t)
		}
		for n := range strings.FieldsSeq(numbers) {
			switch kind {
			case "sockets":
				sockets = n
			case "cores":
				a := s.addListener("c" + n)
				members += fmt.Sprintf(`,{"id":"s-0000000%s","host_port":%q,"locality":"east","flavor":"std","cell":%s,`+
					`"phase":"Ready","size":1,"up_since_ms":0}`, n, a.addr, n)
			case "m3ua":
				a := s.addListener("x" + n)
				m3uaConfig += fmt.Sprintf("[[link]]\nid = %s\nnumber = %s\naddress = %q\npoint_code = 10%s\nasp = 9\ncircuits = 2\n",
					n, n, a.addr, n)
			}
		}
	}
	s.startNameServer()
	dir := s.t.TempDir()
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,
"sockets":%s},"nameserver":%q,"known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":1,"complete":true,"members":[%s]}}]},
"settings":{"instances":%s,"classes":[{"name":"page","aimMs":1500,"deadlineMs":9000,"gain":1},
{"name":"update","aimMs":1000,"deadlineMs":6000,"gain":8}],"zones":["east"],"loadReport":{"how":"piggyback",
"names":["idle","circuits","avg_ms"]},"permissions":{"maxAttempts":6,"retryAfter":true,"maxRetryAfterMs":2000,
"connectTimeoutMs":500},"rules":{"warmWithinMs":14000,"coldFrom":0.3,"fallMultiple":4},"specifics":{"here":0,
"releaseGuardMs":300}}}`, sockets, s.nameServer.LocalAddr(), strings.TrimPrefix(members, ","), instances)
	env := map[string]string{"GW_CONFIG": filepath.Join(dir, "config.json"), "BROOKMUX_M3UA": filepath.Join(dir, "m3ua.toml"),
		"BROOKMUX_STORE": filepath.Join(dir, "store.toml"), "BROOKMUX_STORM": filepath.Join(dir, "storm.toml")}
	require.NoError(s.t, os.WriteFile(env["BROOKMUX_STORM"], []byte(stormConfig), 0o600))
	require.NoError(s.t, os.WriteFile(env["GW_CONFIG"], []byte(config), 0o600))
	require.NoError(s.t, os.WriteFile(env["BROOKMUX_M3UA"], []byte(m3uaConfig), 0o600))
	storeConfig := "gnmi = \"127.0.0.1:0\"\n"
	if s.authority != nil {
		storeConfig += s.authority.writeFiles(s.t, dir)
	}
	require.NoError(s.t, os.WriteFile(env["BROOKMUX_STORE"], []byte(storeConfig), 0o600))
	s.env = env
	s.process = start(s.t, env, s.log)
}

// stop sends the program SIGTERM.
func (s *session) stop() { s.process.Signal(syscall.SIGTERM) }

// replaceConfig replaces old, which must be present, by new in the program's configuration file.
func (s *session) replaceConfig(old, new string) {
	config, err := os.ReadFile(s.env["GW_CONFIG"])
	require.NoError(s.t, err)
	require.Contains(s.t, string(config), old)
	config = []byte(strings.ReplaceAll(string(config), old, new))
	require.NoError(s.t, os.WriteFile(s.env["GW_CONFIG"], config, 0o600))
}

// addListener adds a core or an exchange, which the program connects to, and accepts its connections.
func (s *session) addListener(name string) *actor {
	l, err := net.Listen("tcp", net.JoinHostPort(s.host, "0"))
	require.NoError(s.t, err)
	a := &actor{name: name, addr: l.Addr().String(), listener: l, conns: make(chan net.Conn, 64),
		received: make(chan coreEvent, 1024), connOfCall: map[string]net.Conn{}, ended: map[net.Conn]bool{},
		answered: map[string]bool{}, acceptDone: make(chan struct{})}
	s.actors[name] = a
	go func() {
		defer close(a.acceptDone)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.accepted = append(a.accepted, c)
			a.connCount.Add(1)
			if a.conns <- c; name[0] == 'c' {
				a.readers.Go(func() { a.readConn(c) })
			}
		}
	}()
	return a
}

// runStep plays one step; words is its heading.
func (s *session) runStep(words []string, payload string) {
	name, verb := words[0], strings.Join(words[1:], " ")
	switch {
	case name == "program" && verb == "stops":
		s.stopped = true
		s.stop()
	case name == "program" && verb == "exits":
		require.NoError(s.t, s.waitExit(), "%s", s.log)
	case name == "program" && verb == "reloads":
		for line := range strings.Lines(payload) {
			old, new, ok := strings.Cut(strings.TrimSpace(line), " => ")
			require.True(s.t, ok, line)
			s.replaceConfig(old, new)
		}
		s.process.Signal(syscall.SIGHUP)
	case name == "names" && verb == "move":
		old := s.nameServer
		s.startNameServer()
		old.Close()
		s.replaceConfig(old.LocalAddr().String(), s.nameServer.LocalAddr().String())
	case name == "log":
		s.logSteps[payload]++ // a repeated step waits for one more occurrence
		require.True(s.t, s.log.await(payload, s.logSteps[payload]), "the log does not contain %q:\n%s", payload, s.log)
	case name == "g", name == "h":
		s.runOperatorStep(name, verb, payload)
	case name == "names":
		s.setMembers(words[2], payload)
	default:
		s.runActorStep(s.actor(name), verb, payload)
	}
	s.lastStep = time.Now()
}

// runActorStep plays a step of a caller, core, peer or exchange.
func (s *session) runActorStep(a *actor, verb, payload string) {
	a.connect(s)
	switch {
	case strings.HasPrefix(verb, "sends"):
		b := a.encode(s, payload)
		s.ledger.recordSent(a.name, b)
		if a.name[0] == 'c' {
			a.selectConnOf(a.expandCaptures(s, strings.TrimPrefix(verb, "sends on ")), jsonID(b))
			a.selectOpenConn()
			if fastjson.GetString(b, "type") == "answer" {
				a.answered[jsonID(b)] = true
			}
		}
		_, err := a.conn.Write(b)
		require.NoError(s.t, err)
	case strings.HasPrefix(verb, "gets"):
		got, err := a.read(false)
		for ; err == nil && a.usesHex() && isBeat(got) && !strings.HasPrefix(payload, "01000303"); got, err = a.read(false) {
			got[3] = 6 // BEAT ACK (RFC 4666, 3.5.6): the program may send a BEAT during a long step
			_, err = a.conn.Write(got)
			require.NoError(s.t, err)
		}
		require.NoError(s.t, err, "%s expects:\n%s\nlog:\n%s", a.name, payload, s.log)
		if d, err := time.ParseDuration(strings.TrimPrefix(verb, "gets after ")); err == nil {
			require.GreaterOrEqual(s.t, time.Since(s.lastStep), d, "%s received the message too early", a.name)
		}
		s.ledger.recordReceived(a.name, got)
		s.matchMessage(a, payload, got)
	case verb == "is closed":
		a.selectConnOf(a.expandCaptures(s, payload))
		got, err := a.read(true)
		require.Error(s.t, err, "%s received %q", a.name, got)
		s.ledger.connectionEnded(a.name, a.connOfCall, a.conn, false) // when the program closed it is not known
		a.conn = nil
	case strings.HasPrefix(verb, "has "):
		var count int32
		_, err := fmt.Sscanf(verb, "has %d connections", &count)
		require.NoError(s.t, err)
		require.Eventually(s.t, func() bool { return a.connCount.Load() >= count }, stepTimeout, time.Millisecond)
		time.Sleep(registerDelay)
	case strings.HasPrefix(verb, "waits "):
		d, err := time.ParseDuration(strings.TrimPrefix(verb, "waits "))
		require.NoError(s.t, err)
		time.Sleep(d)
	case verb == "closes", verb == "resets", verb == "refuses":
		a.selectConnOf(a.expandCaptures(s, payload))
		if verb == "refuses" {
			a.listener.Close()
			<-a.acceptDone
		}
		conns := []net.Conn{a.conn}
		if verb == "refuses" {
			conns = slices.DeleteFunc(a.accepted, func(c net.Conn) bool { return a.ended[c] })
		}
		for _, c := range conns {
			if verb != "closes" {
				require.NoError(s.t, c.(*net.TCPConn).SetLinger(0))
			}
			s.ledger.connectionEnded(a.name, a.connOfCall, c, true)
			a.ended[c] = true
			c.Close()
		}
		a.conn = nil
	default:
		require.Fail(s.t, "unknown verb", "%s %s", a.name, verb)
	}
}

// actor returns the named actor. A caller or a peer is created on first use; cores and exchanges have to be listed
// before the first step.
func (s *session) actor(name string) *actor {
	if s.actors[name] == nil {
		require.NotContains(s.t, "cx", name[:1], "%s is not listed before the first step", name)
		s.actors[name] = &actor{name: name, ended: map[net.Conn]bool{}}
	}
	return s.actors[name]
}

// matchMessage compares a received message with the step's pattern and stores the captured words.
func (s *session) matchMessage(a *actor, want string, got []byte) {
	actual := string(got)
	if a.usesHex() {
		want, actual = stripHex(want), hex.EncodeToString(got)
	} else {
		want = string(a.encode(s, want))
	}
	var pattern strings.Builder
	var names []string
	for {
		before, rest, ok := strings.Cut(want, "<")
		name, after, closed := strings.Cut(rest, ">")
		pattern.WriteString(regexp.QuoteMeta(before))
		if !ok || !closed {
			break
		}
		names, want = append(names, name), after
		pattern.WriteString(`([0-9A-Za-z.:-]+)`)
	}
	expr := pattern.String()
	if a.usesHex() {
		expr = strings.ReplaceAll(expr, `\.`, `[0-9a-f]`)
	}
	require.Regexp(s.t, "^(?s:"+expr+")$", actual, "%s", a.name)
	for i, v := range regexp.MustCompile("^(?s:" + expr + ")$").FindStringSubmatch(actual)[1:] {
		if names[i] != "*" {
			s.captures[names[i]] = v
		}
	}
}

// finish stops the program and checks that no actor received more than the steps expect.
func (s *session) finish() {
	if !s.stopped {
		s.stop()
	}
	s.closeCores()
	require.NoError(s.t, s.waitExit(), "%s", s.log)
	for _, a := range s.actors {
		if a.name[0] == 'c' {
			require.Empty(s.t, s.ledger.dropRepeatedReleases(a.name, a.remaining()),
				"%s received more than the steps expect", a.name)
		} else if a.conn != nil {
			b, _ := io.ReadAll(a.r) // the program has exited, so this returns, perhaps with a reset
			require.Empty(s.t, string(s.ledger.dropFinalReleases(a.name, b)), "%s received more than the steps expect", a.name)
		}
	}
	s.ledger.checkAnswers()
	require.NotContains(s.t, s.log.String(), "level=ERROR")
}

// closeCores closes all cores and exchanges. This ends the standing calls, for which the program waits before it exits.
func (s *session) closeCores() {
	for _, a := range s.actors {
		if a.listener == nil {
			continue
		}
		a.listener.Close()
		<-a.acceptDone
		for _, c := range a.accepted {
			_ = c.(*net.TCPConn).SetLinger(0) // the connection may be closed
			c.Close()
		}
	}
}

// waitExit waits for the program to exit and returns its error, or errStillRunning after stepTimeout.
func (s *session) waitExit() error {
	result := make(chan error, 1)
	go func() { result <- s.process.Wait() }()
	select {
	case err := <-result:
		return err
	case <-time.After(stepTimeout):
		return errStillRunning
	}
}

// close releases what a failed playback leaves open.
func (s *session) close() {
	if s.process.Wait != nil {
		s.stop()
		s.closeCores()
		_ = s.waitExit() // the test has already reported a failure
	}
	s.nameServer.Close()
	for _, a := range s.actors {
		if a.listener != nil {
			a.listener.Close()
		}
		if a.conn != nil {
			a.conn.Close()
		}
	}
}
