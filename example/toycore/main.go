// Command toycore is a minimal core for trying brookmux: it answers each set-up with a fixed session description and
// releases the call after two seconds. It listens on loopback only.
package main

import (
	"bufio"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"github.com/valyala/fastjson"
)

const (
	listenAddress = "127.0.0.1:6001"
	callDuration  = 2 * time.Second
	totalCircuits = 30
	maxMessage    = 16 << 10
)

func main() {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		log.Fatal(err)
	}
	log.Println("toy core listening on", listenAddress)
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go (&session{conn: c, calls: map[string]*time.Timer{}}).serve()
	}
}

// session is a connection with its standing calls, by call key.
type session struct {
	conn  net.Conn
	mu    sync.Mutex
	calls map[string]*time.Timer
}

// send writes a message whose load field reports the free and the total circuits. The lock must be held.
func (s *session) send(kind, id, extra string) {
	fmt.Fprintf(s.conn, `{"type":%q,"id":%q,"fields":{"load":"x0:%d;x1:%d"}%s}`+"\n", kind, id,
		totalCircuits-len(s.calls), totalCircuits, extra)
}

// serve announces the core's state and handles messages until the connection ends or sends a malformed one.
func (s *session) serve() {
	defer s.conn.Close()
	s.mu.Lock()
	s.send("state", "0", "")
	s.mu.Unlock()
	lines := bufio.NewScanner(s.conn)
	lines.Buffer(nil, maxMessage)
	for lines.Scan() {
		v, err := fastjson.ParseBytes(lines.Bytes())
		if err != nil {
			log.Println("malformed message:", err)
			return
		}
		s.handle(string(v.GetStringBytes("type")), string(v.GetStringBytes("id")))
	}
}

// handle logs and handles a message.
func (s *session) handle(kind, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log.Println(kind, id)
	switch kind {
	case "setup":
		s.calls[id] = time.AfterFunc(callDuration, func() { s.endCall(id) })
		s.send("answer", id, `,"sdp":"v=0\r\ns=toy\r\n"`)
	case "release":
		if timer := s.calls[id]; timer != nil {
			timer.Stop()
			delete(s.calls, id)
		}
		s.send("released", id, "")
	}
}

// endCall releases a call whose duration has passed.
func (s *session) endCall(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[id] != nil {
		delete(s.calls, id)
		s.send("release", id, `,"cause":16`)
	}
}
