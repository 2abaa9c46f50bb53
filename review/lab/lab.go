// Package lab has the stand-ins and the helpers that the cases of the review share: a record of events, the start of
// the program by the command of the deploy file, cores, callers, and the name service. It uses loopback addresses only.
package lab

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Lab holds the record of a case and the processes that it has started.
type Lab struct {
	Trouble bool   // the disruption is wanted
	Dir     string // temporary folder, removed at the end
	Host    string // loopback address of this run

	mu       sync.Mutex
	start    time.Time
	record   *os.File
	programs []*Program
}

// Run runs a case and exits. The case returns its verdict and the reason for it. A case that has not ended after limit
// could not run.
func Run(limit time.Duration, body func(l *Lab) (int, string)) {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER, from the root of the repository")
		os.Exit(CouldNot)
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if l.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	if l.Dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	l.Host = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127)
	l.Log("case", "%s trouble=%v host=%s", os.Args[1], l.Trouble, l.Host)
	type verdict struct {
		code   int
		reason string
	}
	done := make(chan verdict, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				done <- verdict{CouldNot, fmt.Sprint(p)}
			}
		}()
		code, reason := body(l)
		done <- verdict{code, reason}
	}()
	v := verdict{CouldNot, "the case did not end in time"}
	select {
	case v = <-done:
	case <-time.After(limit):
	}
	l.mu.Lock()
	programs := l.programs
	l.mu.Unlock()
	for _, p := range programs {
		p.Kill()
	}
	_ = os.RemoveAll(l.Dir)
	l.Log("verdict", "%d: %s", v.code, v.reason)
	fmt.Printf("%s trouble=%v: exit %d: %s\n", os.Args[1], l.Trouble, v.code, v.reason)
	os.Exit(v.code)
}

// Fail ends the case: it could not run.
func Fail(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// Log writes a line to the record.
func (l *Lab) Log(who, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f %-10s %s\n", time.Since(l.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// Wait waits until a condition holds, for at most d, and reports whether it does.
func Wait(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Must is Wait, and ends the case if the condition does not hold.
func Must(d time.Duration, what string, condition func() bool) {
	if !Wait(d, condition) {
		Fail("not seen within %v: %s", d, what)
	}
}

// FreeAddress returns an address of this run's host on which nothing listens.
func (l *Lab) FreeAddress() string {
	n, err := net.Listen("tcp", l.Host+":0")
	if err != nil {
		Fail("%v", err)
	}
	defer n.Close()
	return n.Addr().String()
}

// WriteFile writes a file in the temporary folder and returns its path.
func (l *Lab) WriteFile(name, text string) string {
	path := filepath.Join(l.Dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		Fail("%v", err)
	}
	return path
}

// Program is a process of the project.
type Program struct {
	lab     *Lab
	name    string
	command *exec.Cmd
	cancel  context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	err    error
	killed bool
	log    []string
}

// runCommand returns the command of the deploy file that starts a border controller.
func runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		Fail("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		Fail("deploy/balancer.toml has no run command")
	}
	return string(m[1])
}

// Start starts a border controller with the command of the deploy file and waits until it says that it is ready.
func (l *Lab) Start(name string, env ...string) *Program {
	p := l.Command(name, runCommand(), env...)
	Must(20*time.Second, name+" is ready", func() bool { return p.Logged("to=ready") || p.Ended() })
	if p.Ended() {
		Fail("%s did not start: %s", name, strings.Join(p.log, "\n"))
	}
	return p
}

// StartOthers starts further controllers of the deployment, at the exchanges with these numbers. They get no calls.
func (l *Lab) StartOthers(names *Names, exchanges ...int) {
	for _, here := range exchanges {
		name, listen := fmt.Sprintf("n%d", here), l.FreeAddress()
		config := l.WriteFile(name+".json", Config(name, listen, names.Addr, names.Known(), here))
		l.Start(name, "GW_NAME="+name, "GW_LISTEN="+listen, "GW_CONFIG="+config)
	}
}

// Command starts a command with the shell, from the root of the repository, and records its output.
func (l *Lab) Command(name, command string, env ...string) *Program {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Program{lab: l, name: name, cancel: cancel, done: make(chan struct{})}
	p.command = exec.CommandContext(ctx, "/bin/sh", "-c", command)
	p.command.Env = append(append(os.Environ(), "TMPDIR="+l.Dir, "BROOKMUX_LOG_LEVEL=debug"), env...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.command.StdoutPipe()
	if err != nil {
		Fail("%v", err)
	}
	p.command.Stderr = p.command.Stdout
	if err := p.command.Start(); err != nil {
		Fail("%v", err)
	}
	l.Log(name, "started: %s (process %d)", command, p.command.Process.Pid)
	l.mu.Lock()
	l.programs = append(l.programs, p)
	l.mu.Unlock()
	go func() {
		s := bufio.NewScanner(out)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			p.mu.Lock()
			p.log = append(p.log, s.Text())
			p.mu.Unlock()
			l.Log(name, "| %s", s.Text())
		}
		err := p.command.Wait()
		p.mu.Lock()
		p.err = err
		killed := p.killed
		p.mu.Unlock()
		l.Log(name, "ended: %v, killed by the case: %v", err, killed)
		close(p.done)
	}()
	return p
}

// Logged reports whether the program has written a line that contains a text.
func (p *Program) Logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.log {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// Ended reports whether the process has ended.
func (p *Program) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Crashed reports whether the process has ended without a signal of the case, and how.
func (p *Program) Crashed() (bool, string) {
	if !p.Ended() {
		return false, ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reason := ""
	for _, line := range p.log {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			reason = line
		}
	}
	return !p.killed, fmt.Sprintf("%v %s", p.err, reason)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Program) Kill() {
	if p.Ended() {
		return
	}
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.lab.Log(p.name, "SIGKILL")
	_ = p.command.Process.Kill()
	<-p.done
	p.cancel()
}
