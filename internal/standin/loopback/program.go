package loopback

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"brookmux/internal/testhost"
)

const readyTimeout = 10 * time.Second // from the start of the program until it accepts connections

// Program runs the program's binary with a temporary directory for its files.
type Program struct {
	path, dir, listen string
	log               io.Writer
	nameServer        net.PacketConn // never answers, so the list in the configuration stays in force
	command           *exec.Cmd
}

// NewProgram prepares the binary at path with one core at the address core; storm is the content of storm.toml. The
// caller closes it.
func NewProgram(path, core, storm string, log io.Writer) (*Program, error) {
	dir, err := os.MkdirTemp("", "stormlab")
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	p := &Program{path: path, dir: dir, log: log}
	if p.nameServer, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	l, err := net.Listen("tcp", net.JoinHostPort(testhost.Host(), "0")) // finds a free port
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	p.listen = l.Addr().String()
	if err := l.Close(); err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"nameserver":%q,"known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":1,"complete":true,"members":[{"id":"s-00000001",
"host_port":%q,"locality":"east","flavor":"std","cell":1,"phase":"Ready","size":1,"up_since_ms":0}]}}]},"settings":{"instances":2,
"classes":[{"name":"page","aimMs":1500,"deadlineMs":9000,"gain":1,"lateValue":0.25}],"zones":["east"],
"loadReport":{"how":"piggyback","names":["idle","circuits","avg_ms"]},"permissions":{"maxAttempts":6,"retryAfter":true,
"maxRetryAfterMs":2000,"connectTimeoutMs":500},"rules":{"warmWithinMs":14000,"coldFrom":0.3,"fallMultiple":4},
"specifics":{"here":0,"releaseGuardMs":300,"classHoldMs":[300]}}}`, p.listen, p.nameServer.LocalAddr(), core)
	for name, text := range map[string]string{"config.json": config, "storm.toml": storm} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("loopback: %w", err)
		}
	}
	return p, nil
}

// Addr returns the address at which the program listens for callers.
func (p *Program) Addr() string { return p.listen }

// Start starts the program and returns once it accepts connections, or with an error after readyTimeout. It may be
// called again after Kill.
func (p *Program) Start() error {
	p.command = exec.Command(p.path)
	p.command.Env = []string{"GW_CONFIG=" + filepath.Join(p.dir, "config.json"), "BROOKMUX_STORM=" + filepath.Join(p.dir, "storm.toml"),
		"BROOKMUX_M3UA=" + filepath.Join(p.dir, "none"), "BROOKMUX_STORE=" + filepath.Join(p.dir, "none")}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("loopback: program: %w", err)
	}
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", p.listen)
		if err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("loopback: %s does not listen at %s", p.path, p.listen)
}

// Kill kills the program and waits for its end, which simulates a crash.
func (p *Program) Kill() error {
	if err := p.command.Process.Kill(); err != nil {
		return fmt.Errorf("loopback: program: %w", err)
	}
	_ = p.command.Wait() // always an error after a kill
	return nil
}

// Close removes the program's files. The program must not run.
func (p *Program) Close() error {
	_ = p.nameServer.Close() // nothing depends on it
	return os.RemoveAll(p.dir)
}
