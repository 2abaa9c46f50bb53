// Command faulty is a controller that breaks one rule, for tests of the fault trials: the program as it is deployed, behind a
// relay that twists what it says. Which rule, and the program's path, are set when it is built.
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

// The faults.
const (
	faultAnswersTwice  = "answers-twice"  // each answer that a call stands is sent twice
	faultLosesReleases = "loses-releases" // once it was told to end, no release reaches a caller
	faultIgnoresDrains = "ignores-drains" // discovery's first answer is all that it ever hears
)

// Set with -ldflags -X.
var (
	fault   string
	program string
)

const mostMessage = 16 << 10

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "faulty:", err)
		os.Exit(1)
	}
}

func run() error {
	listener, err := net.Listen("tcp", os.Getenv("GW_LISTEN"))
	if err != nil {
		return err
	}
	inner, err := freeAddress(listener.Addr())
	if err != nil {
		return err
	}
	config, err := relayDiscovery(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), "GW_LISTEN="+inner, "GW_CONFIG="+config)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := command.Start(); err != nil {
		return err
	}
	r := &relay{inner: inner}
	go r.accept(listener)
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM)
	go func() {
		for s := range told {
			r.ending.Store(true)
			_ = command.Process.Signal(s) // it may have ended
		}
	}()
	return command.Wait()
}

// freeAddress is an address at the same host that nobody listens at now.
func freeAddress(beside net.Addr) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(beside.(*net.TCPAddr).IP.String(), "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// relay stands between callers and the program.
type relay struct {
	inner  string
	ending atomic.Bool
}

func (r *relay) accept(l net.Listener) {
	for {
		caller, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(caller)
	}
}

// serve passes on what a caller and the program send until both have ended.
func (r *relay) serve(caller net.Conn) {
	defer caller.Close()
	controller, err := net.Dial("tcp", r.inner)
	if err != nil {
		return
	}
	defer controller.Close()
	var both sync.WaitGroup
	both.Go(func() {
		_, _ = io.Copy(controller, caller) // its end is passed on
		_ = controller.(*net.TCPConn).CloseWrite()
	})
	both.Go(func() {
		r.twist(caller, bufio.NewReader(controller))
		_ = caller.(*net.TCPConn).CloseWrite()
	})
	both.Wait()
}

// twist passes on the program's messages with the fault.
func (r *relay) twist(caller net.Conn, controller *bufio.Reader) {
	for {
		m, err := readMessage(controller)
		if err != nil {
			return
		}
		switch {
		case fault == faultLosesReleases && r.ending.Load() && bytes.HasPrefix(m, []byte("BYE ")):
			continue
		case fault == faultAnswersTwice && bytes.HasPrefix(m, []byte("SIP/2.0 200 ")) && bytes.Contains(m, []byte(" INVITE\r\n")):
			m = append(m, m...)
		}
		if _, err := caller.Write(m); err != nil {
			return
		}
	}
}

// readMessage reads one SIP message with its body.
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
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil || length < 0 || length > mostMessage {
				return nil, fmt.Errorf("length %q", value)
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

// relayDiscovery writes a configuration in which discovery is a relay that ignores drains, where that is the fault, and
// returns its path.
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

// answerOnce asks discovery once and gives that answer to each question, under the question's number.
func answerOnce(socket net.PacketConn, service string) {
	question, answer := make([]byte, mostMessage), []byte(nil)
	for {
		n, from, err := socket.ReadFrom(question)
		if err != nil {
			return
		}
		if answer == nil {
			answer = ask(service, question[:n])
		}
		if len(answer) > 2 && n > 2 {
			copy(answer, question[:2])
			_, _ = socket.WriteTo(answer, from) // lost like any answer
		}
	}
}

// ask returns discovery's answer to a question, or nil.
func ask(service string, question []byte) []byte {
	conn, err := net.Dial("udp", service)
	if err != nil {
		return nil
	}
	defer conn.Close()
	if _, err := conn.Write(question); err != nil {
		return nil
	}
	answer := make([]byte, mostMessage)
	n, err := conn.Read(answer)
	if err != nil {
		return nil
	}
	return answer[:n]
}
