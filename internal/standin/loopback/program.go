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

const readyWithin = 10 * time.Second

// Program is the program as it is deployed, with files of its own.
type Program struct {
	path, dir, listen string
	log               io.Writer
	names             net.PacketConn // a name service that never answers: the list of the start stands
	command           *exec.Cmd
}

// NewProgram prepares the program at a path, with one core at an address; storm is the text of its file on storms.
func NewProgram(path, core, storm string, log io.Writer) (*Program, error) {
	dir, err := os.MkdirTemp("", "stormlab")
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	p := &Program{path: path, dir: dir, log: log}
	if p.names, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	l, err := net.Listen("tcp", net.JoinHostPort(testhost.Host(), "0")) // a port that is free now
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
"specifics":{"here":0,"releaseGuardMs":300,"classHoldMs":[300]}}}`, p.listen, p.names.LocalAddr(), core)
	for name, text := range map[string]string{"config.json": config, "storm.toml": storm} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("loopback: %w", err)
		}
	}
	return p, nil
}

// Addr is where it listens.
func (p *Program) Addr() string { return p.listen }

// Start starts it and returns once it takes connections.
func (p *Program) Start() error {
	p.command = exec.Command(p.path)
	p.command.Env = []string{"GW_CONFIG=" + filepath.Join(p.dir, "config.json"), "BROOKMUX_STORM=" + filepath.Join(p.dir, "storm.toml"),
		"BROOKMUX_M3UA=" + filepath.Join(p.dir, "none"), "BROOKMUX_STORE=" + filepath.Join(p.dir, "none")}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("loopback: program: %w", err)
	}
	for began := time.Now(); time.Since(began) < readyWithin; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", p.listen)
		if err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("loopback: %s does not listen at %s", p.path, p.listen)
}

// Kill ends it as a crash would.
func (p *Program) Kill() error {
	if err := p.command.Process.Kill(); err != nil {
		return fmt.Errorf("loopback: program: %w", err)
	}
	_ = p.command.Wait() // killed: an error by nature
	return nil
}

// Close takes its files away.
func (p *Program) Close() error {
	_ = p.names.Close() // nothing was promised to it
	return os.RemoveAll(p.dir)
}
