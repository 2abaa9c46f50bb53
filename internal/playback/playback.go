// Package playback is the tests' one helper: it plays a recorded byte exchange from a text file against the
// program. The file's blocks are steps, each "== ACTOR VERB" with the bytes below it:
//
//	a, b ...   callers, SIP: lines up to an empty one, then the body on one line, with \r \n \xHH
//	c1, c2 ... cores by exchange number, JSON lines
//	p1, p2 ... M3UA peers by ASP identifier, hex; what follows a ; is a comment
//	x5 ...     exchanges that the program reaches by M3UA, by number, hex
//	names      the name service: "list SERIAL", then lines "c1 ready" or "c2 draining"; or "move" to another
//	           address, which the configuration file names from then on
//	g          an operator, gNMI: "sends" CALL and a message as text, "gets" one, or "code NAME"; h is one whose
//	           certificate the program's authority did not sign
//	program    "stops" (it is told to), "exits" (without an error), "reloads" its configuration file, in which
//	           the block's lines "OLD => NEW" have been replaced
//
// Verbs are sends, waits 300ms, gets, gets after 300ms (since the last step, at least), closes, resets, refuses (resets all
// and accepts nothing more) and is closed. In what is got, <*> stands for any word, and <name> for one that is the
// same wherever it stands; .. is any byte.
//
// The program has several connections to a core. What it sends on any of them is got; what the core sends of a
// call goes out on that of its set-up, unless it "sends on" another call's. Below closes, resets and is closed
// stands the call whose connection is meant, else it is that of the last message.
//
// The first lines name who is there, "cores 1 2", "m3ua 5", and may say how many descriptors the program has,
// "sockets 12", that gNMI goes by "tls", and that storms are damped and told in all forms, "storm 8" with the number
// of controllers.
//
// When the steps are over the program is stopped. Nothing that no step expected may have arrived by then,
// and the ledger of all that was seen must keep the rules.
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

const patience = 20 * time.Second // for anything to arrive: only a failure takes so long

// Program starts the program with these variables; its log goes to out.
type Program func(t *testing.T, env map[string]string, out io.Writer) Process

// Process is the program while it runs. Wait returns how it ended, any number of times.
type Process struct {
	Signal func(os.Signal)
	Wait   func() error
}

// Run plays every file of a pattern as a subtest.
func Run(t *testing.T, pattern string, start Program) {
	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, files, pattern)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			require.NoError(t, err)
			play(t, string(text), start)
		})
	}
}

// errNoEnd tells that the program goes on though it was told to end and nothing is left to it.
var errNoEnd = errors.New("the program does not end")

// stage is a play under way.
type stage struct {
	t       *testing.T
	host    string // where cores, exchanges and the name service listen
	actors  map[string]*actor
	words   map[string]string
	log     *log
	names   net.PacketConn
	answer  []byte
	mu      sync.Mutex
	last    time.Time
	ledger  *ledger
	process Process
	stopped bool
	env     map[string]string

	had       map[string]int // steps that waited for a text of the log
	operators map[string]*operator
	tls       *authority // nil where gNMI goes in the clear
}

// play runs one file.
func play(t *testing.T, text string, start Program) {
	head, rest, ok := strings.Cut(text, "\n== ")
	require.True(t, ok, "no steps")
	s := &stage{t: t, host: testhost.Host(), actors: map[string]*actor{}, words: map[string]string{}, log: newLog(), last: time.Now(),
		ledger: newLedger(t), operators: map[string]*operator{}, had: map[string]int{}}
	t.Cleanup(s.close)
	s.open(head, start)
	for step := range strings.SplitSeq(rest, "\n== ") {
		line, payload, _ := strings.Cut(step, "\n")
		lines := strings.Split(payload, "\n")
		for i := range lines {
			if strings.HasPrefix(lines[i], "#") {
				lines = lines[:i] // a comment ends the block
				break
			}
		}
		s.step(strings.Fields(line), strings.TrimRight(strings.Join(lines, "\n"), "\n"))
	}
	s.finish()
}

// open sets the actors up and starts the program.
func (s *stage) open(head string, start Program) {
	sockets, listed, instances := "1024", "", "2"
	storm := "enabled = false\n"
	toml := "enabled = true\nlisten = \"127.0.0.1:0\"\npoint_code = 100\nrouting_context = 1\n" +
		"[timers]\ngone_ms = 1000\n" +
		"[[class]]\ncategory = 10\nname = \"page\"\n[[class]]\ncategory = 11\nname = \"update\"\n" +
		"[[exchange]]\nnumber = 1\npoint_code = 101\n[[exchange]]\nnumber = 5\npoint_code = 105\n" +
		"[[peer]]\nasp = 1\npoint_code = 201\n[[peer]]\nasp = 2\npoint_code = 105\n"
	for line := range strings.SplitSeq(head, "\n") {
		kind, numbers, _ := strings.Cut(line, " ")
		if kind == "storm" { // with all its forms, before so many controllers
			storm = "enabled = true\n[told]\nretry_after = true\nlevel = true\nnetwork = true\n"
			instances = numbers
		}
		if kind == "tls" {
			s.tls = newAuthority(s.t)
		}
		for n := range strings.FieldsSeq(numbers) {
			switch kind {
			case "sockets":
				sockets = n
			case "cores":
				a := s.listen("c" + n)
				listed += fmt.Sprintf(`,{"id":"s-0000000%s","host_port":%q,"locality":"east","flavor":"std","cell":%s,`+
					`"phase":"Ready","size":1,"up_since_ms":0}`, n, a.addr, n)
			case "m3ua":
				a := s.listen("x" + n)
				toml += fmt.Sprintf("[[link]]\nid = %s\nnumber = %s\naddress = %q\npoint_code = 10%s\nasp = 9\ncircuits = 2\n",
					n, n, a.addr, n)
			}
		}
	}
	s.listenNames()
	dir := s.t.TempDir()
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,
"sockets":%s},"nameserver":%q,"known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":1,"complete":true,"members":[%s]}}]},
"settings":{"instances":%s,"classes":[{"name":"page","aimMs":1500,"deadlineMs":9000,"gain":1},
{"name":"update","aimMs":1000,"deadlineMs":6000,"gain":8}],"zones":["east"],"loadReport":{"how":"piggyback",
"names":["idle","circuits","avg_ms"]},"permissions":{"maxAttempts":6,"retryAfter":true,"maxRetryAfterMs":2000,
"connectTimeoutMs":500},"rules":{"warmWithinMs":14000,"coldFrom":0.3,"fallMultiple":4},"specifics":{"here":0,
"releaseGuardMs":300}}}`, sockets, s.names.LocalAddr(), strings.TrimPrefix(listed, ","), instances)
	env := map[string]string{"GW_CONFIG": filepath.Join(dir, "config.json"), "BROOKMUX_M3UA": filepath.Join(dir, "m3ua.toml"),
		"BROOKMUX_STORE": filepath.Join(dir, "store.toml"), "BROOKMUX_STORM": filepath.Join(dir, "storm.toml")}
	require.NoError(s.t, os.WriteFile(env["BROOKMUX_STORM"], []byte(storm), 0o600))
	require.NoError(s.t, os.WriteFile(env["GW_CONFIG"], []byte(config), 0o600))
	require.NoError(s.t, os.WriteFile(env["BROOKMUX_M3UA"], []byte(toml), 0o600))
	store := "gnmi = \"127.0.0.1:0\"\n"
	if s.tls != nil {
		store += s.tls.files(s.t, dir)
	}
	require.NoError(s.t, os.WriteFile(env["BROOKMUX_STORE"], []byte(store), 0o600))
	s.env = env
	s.process = start(s.t, env, s.log)
}

// stop tells the program to end.
func (s *stage) stop() { s.process.Signal(syscall.SIGTERM) }

// rewrite replaces text in the program's configuration file.
func (s *stage) rewrite(old, new string) {
	text, err := os.ReadFile(s.env["GW_CONFIG"])
	require.NoError(s.t, err)
	require.Contains(s.t, string(text), old)
	text = []byte(strings.ReplaceAll(string(text), old, new))
	require.NoError(s.t, os.WriteFile(s.env["GW_CONFIG"], text, 0o600))
}

// listen sets up an actor that the program connects to.
func (s *stage) listen(name string) *actor {
	l, err := net.Listen("tcp", net.JoinHostPort(s.host, "0"))
	require.NoError(s.t, err)
	a := &actor{name: name, addr: l.Addr().String(), listener: l, conns: make(chan net.Conn, 64),
		lines: make(chan line, 1024), calls: map[string]net.Conn{}, ended: map[net.Conn]bool{}, stands: map[string]bool{}, closed: make(chan struct{})}
	s.actors[name] = a
	go func() {
		defer close(a.closed)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.all = append(a.all, c)
			if a.conns <- c; name[0] == 'c' {
				a.following.Go(func() { a.follow(c) })
			}
		}
	}()
	return a
}

// step plays one step.
func (s *stage) step(words []string, payload string) {
	name, verb := words[0], strings.Join(words[1:], " ")
	switch {
	case name == "program" && verb == "stops":
		s.stopped = true
		s.stop()
	case name == "program" && verb == "exits":
		require.NoError(s.t, s.exited(), "%s", s.log)
	case name == "program" && verb == "reloads":
		for line := range strings.Lines(payload) {
			old, new, ok := strings.Cut(strings.TrimSpace(line), " => ")
			require.True(s.t, ok, line)
			s.rewrite(old, new)
		}
		s.process.Signal(syscall.SIGHUP)
	case name == "names" && verb == "move":
		old := s.names
		s.listenNames()
		old.Close()
		s.rewrite(old.LocalAddr().String(), s.names.LocalAddr().String())
	case name == "log":
		s.had[payload]++ // the same step again waits for the line to come again
		require.True(s.t, s.log.await(payload, s.had[payload]), "the log never had %q:\n%s", payload, s.log)
	case name == "g", name == "h":
		s.operate(name, verb, payload)
	case name == "names":
		s.list(words[2], payload)
	default:
		s.act(s.actor(name), verb, payload)
	}
	s.last = time.Now()
}

// act plays an actor's step.
func (s *stage) act(a *actor, verb, payload string) {
	a.connect(s)
	switch {
	case strings.HasPrefix(verb, "sends"):
		b := a.encode(s, payload)
		s.ledger.sent(a.name, b)
		if a.name[0] == 'c' {
			a.choose(a.text(s, strings.TrimPrefix(verb, "sends on ")), jsonID(b))
			a.chooseOpen()
			if fastjson.GetString(b, "type") == "answer" {
				a.stands[jsonID(b)] = true
			}
		}
		_, err := a.conn.Write(b)
		require.NoError(s.t, err)
	case strings.HasPrefix(verb, "gets"):
		got, err := a.read(false)
		for ; err == nil && a.hex() && beat(got) && !strings.HasPrefix(payload, "01000303"); got, err = a.read(false) {
			got[3] = 6 // BEAT ACK: a step that takes long is no fault (RFC 4666, 3.5.6)
			_, err = a.conn.Write(got)
			require.NoError(s.t, err)
		}
		require.NoError(s.t, err, "%s waits for:\n%s\nlog:\n%s", a.name, payload, s.log)
		if d, err := time.ParseDuration(strings.TrimPrefix(verb, "gets after ")); err == nil {
			require.GreaterOrEqual(s.t, time.Since(s.last), d, "%s got it too soon", a.name)
		}
		s.ledger.got(a.name, got)
		s.match(a, payload, got)
	case verb == "is closed":
		a.choose(a.text(s, payload))
		got, err := a.read(true)
		require.Error(s.t, err, "%s got %q", a.name, got)
		s.ledger.over(a.name, a.calls, a.conn, false) // when the program closed it, nobody here can tell
		a.conn = nil
	case strings.HasPrefix(verb, "waits "):
		d, err := time.ParseDuration(strings.TrimPrefix(verb, "waits "))
		require.NoError(s.t, err)
		time.Sleep(d)
	case verb == "closes", verb == "resets", verb == "refuses":
		a.choose(a.text(s, payload))
		if verb == "refuses" {
			a.listener.Close()
			<-a.closed
		}
		conns := []net.Conn{a.conn}
		if verb == "refuses" {
			conns = slices.DeleteFunc(a.all, func(c net.Conn) bool { return a.ended[c] })
		}
		for _, c := range conns {
			if verb != "closes" {
				require.NoError(s.t, c.(*net.TCPConn).SetLinger(0))
			}
			s.ledger.over(a.name, a.calls, c, true)
			a.ended[c] = true
			c.Close()
		}
		a.conn = nil
	default:
		require.Fail(s.t, "unknown verb", "%s %s", a.name, verb)
	}
}

// actor returns an actor; a caller or a peer is made when first named.
func (s *stage) actor(name string) *actor {
	if s.actors[name] == nil {
		require.NotContains(s.t, "cx", name[:1], "%s is not at the top of the file", name)
		s.actors[name] = &actor{name: name, ended: map[net.Conn]bool{}}
	}
	return s.actors[name]
}

// match compares what was got with the step.
func (s *stage) match(a *actor, want string, got []byte) {
	shown := string(got)
	if a.hex() {
		want, shown = plainHex(want), hex.EncodeToString(got)
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
	text := pattern.String()
	if a.hex() {
		text = strings.ReplaceAll(text, `\.`, `[0-9a-f]`)
	}
	require.Regexp(s.t, "^(?s:"+text+")$", shown, "%s", a.name)
	for i, v := range regexp.MustCompile("^(?s:" + text + ")$").FindStringSubmatch(shown)[1:] {
		if names[i] != "*" {
			s.words[names[i]] = v
		}
	}
}

// finish stops the program and looks at what no step expected.
func (s *stage) finish() {
	if !s.stopped {
		s.stop()
	}
	s.endCalls()
	require.NoError(s.t, s.exited(), "%s", s.log)
	for _, a := range s.actors {
		if a.name[0] == 'c' {
			require.Empty(s.t, s.ledger.repeated(a.name, a.rest()), "%s got more than the steps say", a.name)
		} else if a.conn != nil {
			b, _ := io.ReadAll(a.r) // the program has ended: this ends too, cleanly or not
			require.Empty(s.t, string(s.ledger.overAtLast(a.name, b)), "%s got more than the steps say", a.name)
		}
	}
	s.ledger.check()
	require.NotContains(s.t, s.log.String(), "level=ERROR")
}

// endCalls ends cores and exchanges, and with them the calls that still stand: the program waits for their ends.
func (s *stage) endCalls() {
	for _, a := range s.actors {
		if a.listener == nil {
			continue
		}
		a.listener.Close()
		<-a.closed
		for _, c := range a.all {
			_ = c.(*net.TCPConn).SetLinger(0) // it may be closed
			c.Close()
		}
	}
}

// exited waits for the program's end and returns how it ended.
func (s *stage) exited() error {
	ended := make(chan error, 1)
	go func() { ended <- s.process.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(patience):
		return errNoEnd
	}
}

// close frees what a failed play leaves open.
func (s *stage) close() {
	if s.process.Wait != nil {
		s.stop()
		s.endCalls()
		_ = s.exited() // a failure was reported before
	}
	s.names.Close()
	for _, a := range s.actors {
		if a.listener != nil {
			a.listener.Close()
		}
		if a.conn != nil {
			a.conn.Close()
		}
	}
}
