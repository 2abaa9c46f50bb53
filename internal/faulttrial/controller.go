package faulttrial

import (
	"bufio"
	"bytes"
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

// pauseTimeout is how long a process may take to stop.
const pauseTimeout = 2 * time.Second

// Settings configures the controllers of a trial. NewPlan draws it from the seed.
type Settings struct {
	Classes        []Class       `json:"classes"`
	ConnectTimeout time.Duration `json:"connect_timeout"`
	MaxAttempts    int           `json:"max_attempts"`
	Memory         int           `json:"memory"` // MiB
	Descriptors    int           `json:"descriptors"`
}

// Class is a class of calls: the target and the maximum time to the answer, and the expected length of the calls.
type Class struct {
	Name     string        `json:"name"`
	Aim      time.Duration `json:"aim"`
	Deadline time.Duration `json:"deadline"`
	Hold     time.Duration `json:"hold"`
}

// LongestDeadline returns the longest deadline of all classes.
func (s Settings) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// KillAfter returns the minimum time between SIGTERM and SIGKILL.
func (s Settings) KillAfter() time.Duration {
	return min(s.LongestDeadline(), maxCountedDeadline) + shutdownMargin
}

// Controller runs one border controller as it is deployed: a process of the program with its own configuration and log
// files.
type Controller struct {
	Name      string
	program   string
	dir       string
	settings  Settings
	seed      uint64
	discovery *Discovery
	record    *Recorder
	address   string

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{}
	log           *os.File
	stopRequested bool // SIGTERM or SIGKILL was sent: the exit is not a crash
}

// NewController prepares a controller, which Start starts. It creates the folder dir/name for the controller's files
// and log, and reserves no port: another process may take the chosen one before Start.
func NewController(name, host, program, dir string, settings Settings, seed uint64, discovery *Discovery, record *Recorder) (*Controller, error) {
	c := &Controller{Name: name, program: program, dir: filepath.Join(dir, name), settings: settings, seed: seed, discovery: discovery, record: record}
	if err := os.MkdirAll(c.dir, 0o755); err != nil {
		return nil, fmt.Errorf("faulttrial: controller: %w", err)
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0")) // picks a free port
	if err != nil {
		return nil, fmt.Errorf("faulttrial: controller: %w", err)
	}
	c.address = listener.Addr().String()
	return c, listener.Close()
}

// Address returns the address that callers connect to.
func (c *Controller) Address() string { return c.address }

// WriteConfig replaces the configuration file atomically. If invalid is set, the file is truncated and can't be parsed.
func (c *Controller) WriteConfig(invalid bool) error {
	text := c.configJSON()
	if invalid {
		text = text[:len(text)/2]
	}
	path := filepath.Join(c.dir, "config.json")
	if err := os.WriteFile(path+".next", []byte(text), 0o600); err != nil {
		return fmt.Errorf("faulttrial: controller: %w", err)
	}
	return os.Rename(path+".next", path)
}

// configJSON returns the configuration file's text. The addresses in it are those of discovery at present.
func (c *Controller) configJSON() string {
	var classes, holdTimes, widths []string
	for _, class := range c.settings.Classes {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"aimMs":%d,"deadlineMs":%d,"gain":1,"lateValue":0.25}`,
			class.Name, class.Aim.Milliseconds(), class.Deadline.Milliseconds()))
		holdTimes = append(holdTimes, strconv.FormatInt(class.Hold.Milliseconds(), 10))
		widths = append(widths, "1")
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%016x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"nameserver":%q,"known":%s,"settings":{"instances":4,"classes":[%s],"zones":["east"],
"loadReport":{"how":"piggyback","names":["idle","circuits","avg_ms"]},"permissions":{"maxAttempts":%d,"retryAfter":true,
"maxRetryAfterMs":2000,"connectTimeoutMs":%d,"probes":false},"rules":{"warmWithinMs":14000,"coldFrom":0.3,"fallMultiple":4,
"tipAfterMs":2000,"drainGraceMs":1000},
"specifics":{"here":0,"releaseGuardMs":300,"classHoldMs":[%s],"channelsNeeded":[%s]}}}`, c.Name, c.address, c.seed, c.settings.Memory,
		c.settings.Descriptors, c.discovery.Address(c.Name), c.discovery.KnownMembers(c.Name), strings.Join(classes, ","), c.settings.MaxAttempts,
		c.settings.ConnectTimeout.Milliseconds(), strings.Join(holdTimes, ","), strings.Join(widths, ","))
}

// Start writes the configuration, starts the program and returns once it answers an OPTIONS request, or with an error
// when the timeout has passed. The process's exit is recorded, as a crash unless Signal was called with SIGTERM or
// SIGKILL.
func (c *Controller) Start(timeout time.Duration) error {
	if err := c.WriteConfig(false); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("faulttrial: controller: %w", err)
	}
	command := exec.Command(c.program)
	missing := filepath.Join(c.dir, "none")
	command.Env = []string{"GW_NAME=" + c.Name, "GW_LISTEN=" + c.address, "GW_CONFIG=" + filepath.Join(c.dir, "config.json"),
		"TMPDIR=" + c.dir, "BROOKMUX_M3UA=" + missing, "BROOKMUX_STORE=" + missing, "BROOKMUX_STORM=" + missing, "BROOKMUX_NETCONF=" + missing,
		"BROOKMUX_LOG_LEVEL=" + cmp.Or(os.Getenv("BROOKMUX_LOG_LEVEL"), "info")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the trial
	c.record.Add(Event{Kind: ProcessStart, Controller: c.Name})
	if err := command.Start(); err != nil {
		return fmt.Errorf("faulttrial: controller: %w", err)
	}
	exited := make(chan struct{})
	c.mu.Lock()
	c.command, c.exited, c.log, c.stopRequested = command, exited, log, false
	c.mu.Unlock()
	go func() {
		err := command.Wait()
		c.mu.Lock()
		text := "0"
		if err != nil {
			text = err.Error()
		}
		if !c.stopRequested {
			text = "crashed: " + text
		}
		c.mu.Unlock()
		c.record.Add(Event{Kind: ProcessExit, Controller: c.Name, Text: text})
		log.Close()
		close(exited)
	}()
	for startTime := time.Now(); time.Since(startTime) < timeout; time.Sleep(10 * time.Millisecond) {
		if c.answersOptions() {
			c.record.Add(Event{Kind: ProcessReady, Controller: c.Name})
			return nil
		}
	}
	return fmt.Errorf("faulttrial: %s is not ready after %v", c.Name, timeout)
}

// answersOptions reports whether the controller answers an OPTIONS request with 200. It waits up to a second each for
// the connection and the answer.
func (c *Controller) answersOptions() bool {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	fmt.Fprint(conn, "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000f0\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	for reader := textproto.NewReader(bufio.NewReader(conn)); ; {
		message, err := readSIP(reader)
		if err != nil {
			return false
		}
		if message.status > 0 { // releases of an earlier process's calls may arrive first
			return message.status == 200
		}
	}
}

// Signal sends a signal to the program and records it. After SIGTERM and SIGKILL, the program's exit is not a crash.
func (c *Controller) Signal(signal syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		c.stopRequested = true
	}
	c.record.Add(Event{Kind: ProcessSignal, Controller: c.Name, Text: signal.String()})
	_ = c.command.Process.Signal(signal) // the process may have ended
}

// Pause stops the process with SIGSTOP and returns when none of its threads runs any more.
func (c *Controller) Pause() error {
	c.Signal(syscall.SIGSTOP)
	c.mu.Lock()
	tasks := "/proc/" + strconv.Itoa(c.command.Process.Pid) + "/task"
	c.mu.Unlock()
	for deadline := time.Now().Add(pauseTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		stopped, err := allStopped(tasks)
		if stopped || err != nil {
			return err
		}
	}
	return fmt.Errorf("%s still runs %v after SIGSTOP", c.Name, pauseTimeout)
}

// allStopped reports whether all threads in a folder of /proc are stopped.
func allStopped(tasks string) (bool, error) {
	threads, err := os.ReadDir(tasks)
	if err != nil {
		return false, err
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(filepath.Join(tasks, thread.Name(), "stat"))
		if err != nil {
			return false, err
		}
		// The state follows the name, which is in parentheses.
		if end := bytes.LastIndexByte(stat, ')'); !bytes.HasPrefix(stat[end+1:], []byte(" T")) {
			return false, nil
		}
	}
	return true, nil
}

// Exited returns a channel that is closed when the present process has ended.
func (c *Controller) Exited() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exited
}

// Kill sends SIGKILL to the program and waits for its end. It does nothing if the program is not running.
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

// RecordUsage records the program's resident memory and its number of open descriptors, if it is running.
func (c *Controller) RecordUsage() {
	c.mu.Lock()
	command := c.command
	c.mu.Unlock()
	if command == nil || command.Process == nil {
		return
	}
	procDir := "/proc/" + strconv.Itoa(command.Process.Pid)
	statm, err := os.ReadFile(procDir + "/statm")
	if err != nil {
		return // the process has ended
	}
	fields := strings.Fields(string(statm))
	descriptors, err := os.ReadDir(procDir + "/fd")
	if err != nil || len(fields) < 2 {
		return
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return
	}
	c.record.Add(Event{Kind: Usage, Controller: c.Name, Memory: pages * int64(os.Getpagesize()), Descriptors: len(descriptors)})
}

// String returns the settings as JSON.
func (s Settings) String() string {
	b, _ := json.Marshal(s) // can't fail: all values are strings and numbers
	return string(b)
}
