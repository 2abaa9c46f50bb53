// Command toycore is a core to try brookmux with: it answers each set-up with a description of its own and
// ends the call after two seconds. It listens on loopback only.
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
	address = "127.0.0.1:6001"
	hold    = 2 * time.Second
	circuit = 30
	most    = 16 << 10
)

func main() {
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Fatal(err)
	}
	log.Println("toy core listens at", address)
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go (&toy{conn: c, calls: map[string]*time.Timer{}}).serve()
	}
}

// toy is a connection with the calls that stand on it.
type toy struct {
	conn  net.Conn
	mu    sync.Mutex
	calls map[string]*time.Timer
}

// say writes a line; the fields tell how many circuits are free. The lock is held.
func (t *toy) say(kind, id, more string) {
	fmt.Fprintf(t.conn, `{"type":%q,"id":%q,"fields":{"load":"x0:%d;x1:%d"}%s}`+"\n", kind, id, circuit-len(t.calls), circuit, more)
}

// serve reads the connection to its end.
func (t *toy) serve() {
	defer t.conn.Close()
	t.mu.Lock()
	t.say("state", "0", "")
	t.mu.Unlock()
	lines := bufio.NewScanner(t.conn)
	lines.Buffer(nil, most)
	for lines.Scan() {
		v, err := fastjson.ParseBytes(lines.Bytes())
		if err != nil {
			log.Println("line can't be read:", err)
			return
		}
		t.take(string(v.GetStringBytes("type")), string(v.GetStringBytes("id")))
	}
}

// take handles a message.
func (t *toy) take(kind, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	log.Println(kind, id)
	switch kind {
	case "setup":
		t.calls[id] = time.AfterFunc(hold, func() { t.end(id) })
		t.say("answer", id, `,"sdp":"v=0\r\ns=toy\r\n"`)
	case "release":
		if timer := t.calls[id]; timer != nil {
			timer.Stop()
			delete(t.calls, id)
		}
		t.say("released", id, "")
	}
}

// end ends a call that has lasted its time.
func (t *toy) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls[id] != nil {
		delete(t.calls, id)
		t.say("release", id, `,"cause":16`)
	}
}
