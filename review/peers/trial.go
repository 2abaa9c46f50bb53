//go:build review2

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// timeSlack extends every time limit (protocol page, "The rules on sockets").
const timeSlack = 50 * time.Millisecond

// readyTimeout is how long the program may take until a test passes.
const readyTimeout = 30 * time.Second

// trial is one run of a case: the record, the temporary folder and the processes that were started.
type trial struct {
	dir     string
	host    string // loopback address of everything that listens
	trouble bool
	start   time.Time

	mu       sync.Mutex
	file     *os.File
	procs    []*process
	nextPort int
}

// log writes a line to the record: the time since the start, who, and what.
func (t *trial) log(who, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.file, "%8.3f %-12s %s\n", time.Since(t.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// broken logs and returns a breach of the rule.
func (t *trial) broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// close kills the processes that still run, copies the warnings of their logs to the record and removes the folder.
func (t *trial) close() {
	t.mu.Lock()
	procs := t.procs
	t.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	for _, p := range procs {
		text, _ := os.ReadFile(p.logFile)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "level=INFO msg=counts") || strings.Contains(line, "msg=\"storm counts\"") {
				continue
			}
			t.log(p.name+" log", "%s", strings.TrimRight(line, "\n"))
		}
	}
	_ = os.RemoveAll(t.dir)
}

// process is a started controller.
type process struct {
	trial   *trial
	name    string
	logFile string
	command *exec.Cmd
	exited  chan struct{}
}

// runCommand returns the run command of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(m[1]), nil
}

// startController starts the program as the platform does, by /bin/sh -c with the run command, and the given variables.
func (t *trial) startController(name string, env ...string) (*process, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	n := len(t.procs)
	t.mu.Unlock()
	p := &process{trial: t, name: name, logFile: t.path(fmt.Sprintf("%s-%d.log", name, n)), exited: make(chan struct{})}
	out, err := os.Create(p.logFile)
	if err != nil {
		return nil, err
	}
	p.command = exec.Command("/bin/sh", "-c", command)
	none := t.path("none")
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + t.dir, "BROOKMUX_M3UA=" + none, "BROOKMUX_STORE=" + none,
		"BROOKMUX_NETCONF=" + none}, env...)
	p.command.Stdout, p.command.Stderr = out, out
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	t.log(name, "started")
	go func() {
		err := p.command.Wait()
		out.Close()
		t.log(name, "ended: %v", err)
		close(p.exited)
	}()
	t.mu.Lock()
	t.procs = append(t.procs, p)
	t.mu.Unlock()
	return p, nil
}

// kill sends SIGKILL and waits for the end. It does nothing if the process has ended.
func (p *process) kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	p.trial.log(p.name, "SIGKILL")
	_ = p.command.Process.Kill()
	<-p.exited
}

// awaitReady returns once a test on a new connection to the SIP address passes.
func (p *process) awaitReady(address string) error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended before it was ready", p.name)
		default:
		}
		if testPasses(address) {
			p.trial.log(p.name, "ready: OPTIONS answered with 200")
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.name, readyTimeout)
}

// testPasses reports whether an OPTIONS on a new connection is answered with 200.
func testPasses(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	fmt.Fprint(conn, "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000f0\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	b := make([]byte, 256)
	n, _ := conn.Read(b)
	return bytes.HasPrefix(b[:n], []byte("SIP/2.0 200"))
}

// Ports that are handed out, below those that the system chooses for itself, so that no connection takes one meanwhile.
const (
	firstPort = 20000
	lastPort  = 30000
)

// newHost returns a loopback address that is most likely used by this trial only.
func newHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddress returns an address of the trial with a port that nothing listens at, another one each time.
func (t *trial) freeAddress() (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ; t.nextPort <= lastPort; t.nextPort++ {
		address := net.JoinHostPort(t.host, strconv.Itoa(t.nextPort))
		l, err := net.Listen("tcp", address)
		if err == nil {
			t.nextPort++
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// await polls a condition until it holds or the time is over, and reports whether it held.
func await(limit time.Duration, condition func() bool) bool {
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Since(began) > limit {
			return false
		}
	}
}
