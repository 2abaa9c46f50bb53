// Command faulty is a controller that breaks one rule, for tests of the fault trials. It runs the program as it is
// deployed behind a relay that alters its messages. The fault and the program's path are set at build time.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
)

// The values of fault.
const (
	faultAnswersTwice  = "answers-twice"  // each positive answer is sent twice
	faultLosesReleases = "loses-releases" // after SIGTERM, no release reaches a caller
	faultIgnoresDrains = "ignores-drains" // discovery's first answer is repeated for every query
)

// Set with -ldflags -X.
var (
	fault   string
	program string
)

const maxMessage = 16 << 10 // bytes, of a SIP body or a discovery message

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "faulty:", err)
		os.Exit(1)
	}
}

// run starts the program behind the relays, passes SIGTERM on to it and returns its result.
func run() error {
	listener, err := net.Listen("tcp", os.Getenv("GW_LISTEN"))
	if err != nil {
		return err
	}
	programAddress, err := freeAddress(listener.Addr())
	if err != nil {
		return err
	}
	config, err := relayDiscovery(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), "GW_LISTEN="+programAddress, "GW_CONFIG="+config)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := command.Start(); err != nil {
		return err
	}
	r := &relay{programAddress: programAddress}
	go r.accept(listener)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		for s := range signals {
			r.terminating.Store(true)
			_ = command.Process.Signal(s) // the program may have exited
		}
	}()
	return command.Wait()
}

// freeAddress returns an address of the same host with a port that was free a moment ago.
func freeAddress(near net.Addr) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(near.(*net.TCPAddr).IP.String(), "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// relay passes the messages of callers and the program on and applies the fault to those of the program.
type relay struct {
	programAddress string
	terminating    atomic.Bool
}

// accept serves each connection of a caller until the listener fails.
func (r *relay) accept(l net.Listener) {
	for {
		caller, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(caller)
	}
}

// serve copies between a caller and the program until both have closed their side.
func (r *relay) serve(caller net.Conn) {
	defer caller.Close()
	controller, err := net.Dial("tcp", r.programAddress)
	if err != nil {
		return
	}
	defer controller.Close()
	var directions sync.WaitGroup
	directions.Go(func() {
		_, _ = io.Copy(controller, caller) // CloseWrite below passes the end on
		_ = controller.(*net.TCPConn).CloseWrite()
	})
	directions.Go(func() {
		r.forward(caller, bufio.NewReader(controller))
		_ = caller.(*net.TCPConn).CloseWrite()
	})
	directions.Wait()
}

// forward passes the program's messages on to a caller and applies the fault.
func (r *relay) forward(caller net.Conn, controller *bufio.Reader) {
	for {
		m, err := readMessage(controller)
		if err != nil {
			return
		}
		switch {
		case fault == faultLosesReleases && r.terminating.Load() && bytes.HasPrefix(m, []byte("BYE ")):
			continue
		case fault == faultAnswersTwice && bytes.HasPrefix(m, []byte("SIP/2.0 200 ")) && bytes.Contains(m, []byte(" INVITE\r\n")):
			m = append(m, m...)
		}
		if _, err := caller.Write(m); err != nil {
			return
		}
	}
}

// readMessage reads one SIP message with its body, whose length may be maxMessage at most.
func readMessage(r *bufio.Reader) ([]byte, error) {
	var m []byte
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		m = append(m, line...)
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil || length < 0 || length > maxMessage {
				return nil, fmt.Errorf("invalid Content-Length %q", value)
			}
		}
		if line == "\r\n" {
			break
		}
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return append(m, body...), err
}

// relayDiscovery returns the path of the configuration to use. For faultIgnoresDrains it writes a copy in which
// discovery is a relay that ignores drains.
func relayDiscovery(path string) (string, error) {
	if fault != faultIgnoresDrains {
		return path, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return "", err
	}
	service, _ := config["nameserver"].(string)
	socket, err := net.ListenPacket("udp", net.JoinHostPort(strings.Split(service, ":")[0], "0"))
	if err != nil {
		return "", err
	}
	go answerOnce(socket, service)
	config["nameserver"] = socket.LocalAddr().String()
	if text, err = json.Marshal(config); err != nil {
		return "", err
	}
	return path + ".faulty", os.WriteFile(path+".faulty", text, 0o600)
}

// answerOnce sends the first query on to discovery and gives its answer to every query, under the query's own id.
func answerOnce(socket net.PacketConn, service string) {
	question, answer := make([]byte, maxMessage), []byte(nil)
	for {
		n, from, err := socket.ReadFrom(question)
		if err != nil {
			return
		}
		if answer == nil {
			answer = query(service, question[:n])
		}
		if len(answer) > 2 && n > 2 {
			copy(answer, question[:2])
			_, _ = socket.WriteTo(answer, from) // may be lost like any datagram
		}
	}
}

// query sends a query to discovery and returns the answer, or nil on an error.
func query(service string, question []byte) []byte {
	conn, err := net.Dial("udp", service)
	if err != nil {
		return nil
	}
	defer conn.Close()
	if _, err := conn.Write(question); err != nil {
		return nil
	}
	answer := make([]byte, maxMessage)
	n, err := conn.Read(answer)
	if err != nil {
		return nil
	}
	return answer[:n]
}
