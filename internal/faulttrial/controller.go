package faulttrial

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings are what a trial's controllers are told, drawn from the seed.
type Settings struct {
	Classes        []Class       `json:"classes"`
	ConnectTimeout time.Duration `json:"connect_timeout"`
	MaxAttempts    int           `json:"max_attempts"`
	Memory         int           `json:"memory"` // MiB
	Descriptors    int           `json:"descriptors"`
}

// Class is a class of call.
type Class struct {
	Name     string        `json:"name"`
	Aim      time.Duration `json:"aim"`
	Deadline time.Duration `json:"deadline"`
	Hold     time.Duration `json:"hold"`
}

// LongestDeadline is that of all classes.
func (s Settings) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// KillAfter is the time from SIGTERM to the earliest SIGKILL.
func (s Settings) KillAfter() time.Duration {
	return min(s.LongestDeadline(), maxCountedDeadline) + shutdownMargin
}

// Controller is one border controller as it is deployed: the program's process, with files of its own.
type Controller struct {
	Name     string
	path     string
	dir      string
	settings Settings
	seed     uint64
	names    *Discovery
	record   *Recorder
	address  string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	log     *os.File
	stopped bool // it was told to end: its exit is no crash
}

// NewController prepares a controller; its files and log go to a folder of its own under dir.
func NewController(name, host, path, dir string, s Settings, seed uint64, names *Discovery, record *Recorder) (*Controller, error) {
	c := &Controller{Name: name, path: path, dir: filepath.Join(dir, name), settings: s, seed: seed, names: names, record: record}
	if err := os.MkdirAll(c.dir, 0o755); err != nil {
		return nil, fmt.Errorf("faulttrial: controller: %w", err)
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0")) // a port that is free now
	if err != nil {
		return nil, fmt.Errorf("faulttrial: controller: %w", err)
	}
	c.address = l.Addr().String()
	return c, l.Close()
}

// Address is where callers connect.
func (c *Controller) Address() string { return c.address }

// WriteConfig writes the configuration file; with faulty it is one that can't be used.
func (c *Controller) WriteConfig(faulty bool) error {
	text := c.config()
	if faulty {
		text = text[:len(text)/2]
	}
	path := filepath.Join(c.dir, "config.json")
	if err := os.WriteFile(path+".next", []byte(text), 0o600); err != nil {
		return fmt.Errorf("faulttrial: controller: %w", err)
	}
	return os.Rename(path+".next", path)
}

func (c *Controller) config() string {
	var classes, holds, widths []string
	for _, k := range c.settings.Classes {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"aimMs":%d,"deadlineMs":%d,"gain":1,"lateValue":0.25}`,
			k.Name, k.Aim.Milliseconds(), k.Deadline.Milliseconds()))
		holds = append(holds, strconv.FormatInt(k.Hold.Milliseconds(), 10))
		widths = append(widths, "1")
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%016x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"nameserver":%q,"known":%s,"settings":{"instances":4,"classes":[%s],"zones":["east"],
"loadReport":{"how":"piggyback","names":["idle","circuits","avg_ms"]},"permissions":{"maxAttempts":%d,"retryAfter":true,
"maxRetryAfterMs":2000,"connectTimeoutMs":%d,"probes":false},"rules":{"warmWithinMs":14000,"coldFrom":0.3,"fallMultiple":4,
"tipAfterMs":2000,"drainGraceMs":1000},
"specifics":{"here":0,"releaseGuardMs":300,"classHoldMs":[%s],"channelsNeeded":[%s]}}}`, c.Name, c.address, c.seed, c.settings.Memory,
		c.settings.Descriptors, c.names.Address(c.Name), c.names.Known(c.Name), strings.Join(classes, ","), c.settings.MaxAttempts,
		c.settings.ConnectTimeout.Milliseconds(), strings.Join(holds, ","), strings.Join(widths, ","))
}

// Start starts the program and returns once it passes a test.
func (c *Controller) Start(ready time.Duration) error {
	if err := c.WriteConfig(false); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("faulttrial: controller: %w", err)
	}
	command := exec.Command(c.path)
	none := filepath.Join(c.dir, "none")
	command.Env = []string{"GW_NAME=" + c.Name, "GW_LISTEN=" + c.address, "GW_CONFIG=" + filepath.Join(c.dir, "config.json"),
		"TMPDIR=" + c.dir, "BROOKMUX_M3UA=" + none, "BROOKMUX_STORE=" + none, "BROOKMUX_STORM=" + none, "BROOKMUX_NETCONF=" + none,
		"BROOKMUX_LOG_LEVEL=" + cmp.Or(os.Getenv("BROOKMUX_LOG_LEVEL"), "info")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none is left behind
	c.record.Add(Event{Kind: ProcessStart, Controller: c.Name})
	if err := command.Start(); err != nil {
		return fmt.Errorf("faulttrial: controller: %w", err)
	}
	exited := make(chan struct{})
	c.mu.Lock()
	c.command, c.exited, c.log, c.stopped = command, exited, log, false
	c.mu.Unlock()
	go func() {
		err := command.Wait()
		c.mu.Lock()
		text := "0"
		if err != nil {
			text = err.Error()
		}
		if !c.stopped {
			text = "crashed: " + text
		}
		c.mu.Unlock()
		c.record.Add(Event{Kind: ProcessExit, Controller: c.Name, Text: text})
		log.Close()
		close(exited)
	}()
	for began := time.Now(); time.Since(began) < ready; time.Sleep(10 * time.Millisecond) {
		if c.passesTest() {
			c.record.Add(Event{Kind: ProcessReady, Controller: c.Name})
			return nil
		}
	}
	return fmt.Errorf("faulttrial: %s is not ready in %v", c.Name, ready)
}

// passesTest asks with OPTIONS.
func (c *Controller) passesTest() bool {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	fmt.Fprint(conn, "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000f0\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	for r := textproto.NewReader(bufio.NewReader(conn)); ; {
		m, err := readSIP(r)
		if err != nil {
			return false
		}
		if m.status > 0 { // releases of an earlier process's calls may come before
			return m.status == 200
		}
	}
}

// Signal sends a signal to the program.
func (c *Controller) Signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		c.stopped = true
	}
	c.record.Add(Event{Kind: ProcessSignal, Controller: c.Name, Text: s.String()})
	_ = c.command.Process.Signal(s) // it may have ended
}

// Exited is closed when the program has ended.
func (c *Controller) Exited() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exited
}

// Kill ends the program and waits for its end.
func (c *Controller) Kill() {
	c.mu.Lock()
	command, exited := c.command, c.exited
	c.mu.Unlock()
	if command == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	c.Signal(syscall.SIGKILL)
	<-exited
}

// Measure records the program's memory and descriptors.
func (c *Controller) Measure() {
	c.mu.Lock()
	command := c.command
	c.mu.Unlock()
	if command == nil || command.Process == nil {
		return
	}
	proc := "/proc/" + strconv.Itoa(command.Process.Pid)
	status, err := os.ReadFile(proc + "/statm")
	if err != nil {
		return // it has ended
	}
	fields := strings.Fields(string(status))
	open, err := os.ReadDir(proc + "/fd")
	if err != nil || len(fields) < 2 {
		return
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return
	}
	c.record.Add(Event{Kind: Usage, Controller: c.Name, Memory: pages * int64(os.Getpagesize()), Descriptors: len(open)})
}

// String describes the settings.
func (s Settings) String() string {
	b, _ := json.Marshal(s) // plain values
	return string(b)
}
