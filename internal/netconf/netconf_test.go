package netconf

import (
	"bufio"
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/scrapli/scrapligo/driver/netconf"
	"github.com/scrapli/scrapligo/driver/opoptions"
	"github.com/scrapli/scrapligo/driver/options"
	"github.com/stretchr/testify/require"
	"golang.org/x/crypto/ssh"

	"brookmux/internal/datastore"
	"brookmux/internal/nacm"
	"brookmux/internal/schema"
	"brookmux/internal/transact"
	"brookmux/yang"
)

var quiet = slog.New(slog.DiscardHandler)

// lab is a server in memory, with a clock of its own.
type lab struct {
	*Server
	t      *testing.T
	drains datastore.Drains
	mu     sync.Mutex
	now    time.Time
}

func newLab(t *testing.T) *lab {
	m, err := schema.Load(yang.Files)
	require.NoError(t, err)
	l := &lab{t: t, now: time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)}
	clock := func() time.Time { l.mu.Lock(); defer l.mu.Unlock(); return l.now }
	o, err := transact.New(transact.Config{Store: datastore.Config{Model: m, Keep: 20, Sessions: 20, Guards: []datastore.Guard{l.drains.Guard, nacm.Check},
		Access: func(who datastore.Session, running, old, next *schema.Node, changes []schema.Change) []schema.Fault {
			if who.User == "root" {
				return nil
			}
			return nacm.Of(running).Changes(who.User, old, next, changes)
		}},
		Now: clock, Log: quiet, Told: func(e transact.Event) { l.Told(e) }})
	require.NoError(t, err)
	l.Server = NewServer(Config{Owner: o, Model: m, Now: clock, Log: quiet, Rules: func(user string) (r *nacm.Rules) {
		o.Look(func(s *datastore.Store) {
			tree, err := s.Get(datastore.Running)
			require.NoError(t, err)
			r = nacm.Of(tree)
		})
		if user == "root" {
			return nil
		}
		return r
	}})
	return l
}

// pass lets time pass.
func (l *lab) pass(d time.Duration) {
	l.mu.Lock()
	l.now = l.now.Add(d)
	l.mu.Unlock()
	l.Owner.Tick()
}

// client is one end of a session, on a pipe.
type client struct {
	t    *testing.T
	conn net.Conn
	framer
	id    string
	hello string
	over  chan error
}

// dial opens a session that knows version 1.1, or 1.0 only.
func (l *lab) dial(version string) *client { return l.dialAs("op", version) }

func (l *lab) dialAs(user, version string) *client {
	near, far := net.Pipe()
	c := &client{t: l.t, conn: far, framer: framer{r: bufio.NewReader(far), w: far}, over: make(chan error, 1)}
	go func() { c.over <- l.Serve(near, user) }()
	hello, err := c.read()
	require.NoError(l.t, err)
	c.hello = string(hello)
	c.id = regexp.MustCompile(`<session-id>(\d+)<`).FindStringSubmatch(c.hello)[1]
	require.NoError(l.t, c.write([]byte(`<hello xmlns="`+base+`"><capabilities><capability>urn:ietf:params:netconf:base:`+
		version+`</capability></capabilities></hello>`)))
	c.chunked = version == "1.1"
	l.t.Cleanup(func() { far.Close() })
	return c
}

// ask sends an operation and returns the reply without its frame.
func (c *client) ask(op string) string {
	require.NoError(c.t, c.write([]byte(`<rpc xmlns="`+base+`" message-id="7">`+op+`</rpc>`)))
	return c.next()
}

func (c *client) next() string {
	b, err := c.read()
	require.NoError(c.t, err)
	s := strings.TrimPrefix(string(b), `<rpc-reply xmlns="`+base+`" message-id="7">`)
	return strings.TrimSuffix(s, "</rpc-reply>")
}

// edit is an edit-config of a datastore.
func edit(target, options, config string) string {
	return "<edit-config><target><" + target + "/></target>" + options + `<config xmlns:nc="` + base + `">` + config + "</config></edit-config>"
}

const limits = `<limits xmlns="urn:brookmux:limits">`

func wait(v string) string { return limits + "<max-wait>" + v + "</max-wait></limits>" }

// running reads one leaf.
func (c *client) running() string {
	m := regexp.MustCompile(`<max-wait>(\d+)<`).FindStringSubmatch(c.ask("<get-config><source><running/></source></get-config>"))
	if m == nil {
		return ""
	}
	return m[1]
}

// TestErrors: each wrong request gets the error that the RFC's tables give it, and the session goes on.
func TestErrors(t *testing.T) {
	l := newLab(t)
	c := l.dial("1.1")
	const x = `<exchanges xmlns="urn:brookmux:exchanges"><exchange>`
	for _, v := range []struct{ op, tag, path, info string }{
		{"<fly/>", "operation-not-supported", "", "<bad-element>fly<"},
		{`<get xmlns="urn:other"/>`, "operation-not-supported", "", ""},
		{"<lock/>", "missing-element", "", "<bad-element>target<"},
		{"<lock><target><moon/></target></lock>", "unknown-element", "", "<bad-element>moon<"},
		{"<get><filter type='regex'/></get>", "bad-attribute", "", "<bad-attribute>type<"},
		{"<get><filter type='xpath'/></get>", "missing-attribute", "", "<bad-attribute>select<"},
		{"<get><filter type='xpath' select='///'/></get>", "invalid-value", "", ""},
		{"<get><with-defaults>some</with-defaults></get>", "invalid-value", "", "<bad-element>with-defaults<"},
		{edit("candidate", "", "<limits/>"), "unknown-namespace", "/bmx-li:limits", "<bad-namespace>" + base},
		{edit("candidate", "", limits+"<speed/></limits>"), "unknown-element", "/bmx-li:limits", "<bad-element>speed<"},
		{edit("candidate", "", wait("soon")), "invalid-value", "/bmx-li:limits/bmx-li:max-wait", ""},
		{edit("candidate", "", wait("600001")), "invalid-value", "/bmx-li:limits/bmx-li:max-wait", ""},
		{edit("candidate", "", limits+`<max-wait nc:operation="burn">1</max-wait></limits>`), "bad-attribute", "", "<bad-attribute>operation<"},
		{edit("candidate", "", limits+`<max-wait speed="1">1</max-wait></limits>`), "unknown-attribute", "", "<bad-attribute>speed<"},
		{edit("candidate", "", limits+`<max-wait nc:operation="delete"/></limits>`), "data-missing", "/bmx-li:limits/bmx-li:max-wait", ""},
		{edit("candidate", "", x+"<zone>a</zone></exchange></exchanges>"), "missing-element", "/bmx-ex:exchanges/bmx-ex:exchange", "<bad-element>number<"},
		{edit("candidate", "", x+"<number>1</number><zone>a</zone></exchange></exchanges>"), "data-missing",
			"/bmx-ex:exchanges/bmx-ex:exchange[bmx-ex:number='1']/bmx-ex:address", ""},
		{edit("candidate", "", x+"<number>1</number><state><told>ready</told></state></exchange></exchanges>"), "invalid-value", "", ""},
		{edit("candidate", "", limits+"text</limits>"), "bad-element", "/bmx-li:limits", "<bad-element>limits<"},
		{edit("candidate", "<default-operation>delete</default-operation>", ""), "invalid-value", "", "<bad-element>default-operation<"},
		{edit("startup", "", wait("1")), "operation-not-supported", "", ""},
		{"<unlock><target><running/></target></unlock>", "operation-failed", "", ""},
		{"<cancel-commit/>", "operation-failed", "", ""},
		{"<commit><persist-id>p</persist-id></commit>", "invalid-value", "", ""},
		{"<commit><persist>p</persist></commit>", "invalid-value", "", "<bad-element>commit<"},
		{"<delete-config><target><running/></target></delete-config>", "invalid-value", "", ""},
		{"<copy-config><target><running/></target><source><running/></source></copy-config>", "invalid-value", "", ""},
		{"<copy-config><target><url>file:///x</url></target><source><running/></source></copy-config>", "operation-not-supported", "", "<bad-element>url<"},
		{"<kill-session><session-id>" + c.id + "</session-id></kill-session>", "invalid-value", "", ""},
		{`<get-schema xmlns="` + monitoring + `"><identifier>none</identifier></get-schema>`, "invalid-value", "", ""},
		{`<create-subscription xmlns="` + events + `"><stream>X</stream></create-subscription>`, "invalid-value", "", ""},
		{"<get/><get/>", "malformed-message", "", ""}, {"", "malformed-message", "", ""},
	} {
		reply := c.ask(v.op)
		require.Contains(t, reply, "<error-tag>"+v.tag+"</error-tag>", v.op)
		require.Contains(t, reply, "<error-severity>error<", v.op)
		require.Contains(t, reply, v.info, v.op)
		if v.path != "" {
			require.Regexp(t, "<error-path[^>]*>"+regexp.QuoteMeta(strings.ReplaceAll(v.path, "'", "&#39;"))+"</error-path>", reply, v.op)
		}
	}
	for _, raw := range []string{"<rpc", "<!DOCTYPE a [<!ENTITY b 'c'>]><rpc/>", "\xff", strings.Repeat("<a>", 100), "<?x y?><rpc/>", "<get/>"} {
		require.NoError(t, c.write([]byte(raw)))
		require.Contains(t, c.next(), "<error-type>rpc</error-type><error-tag>malformed-message<", raw)
	}
	require.NoError(t, c.write([]byte(`<rpc xmlns="`+base+`" xmlns:u="urn:u" u:mark="a&amp;b"><get/></rpc>`)))
	require.Regexp(t, `u:mark="a&amp;b".*<error-tag>missing-attribute<`, c.next())
	require.Equal(t, "<ok/>", c.ask("<close-session/>"))
	require.NoError(t, <-c.over)
}

// TestChange: an operator raises exchanges from two to three and changes a group in one transaction, with
// validation, a confirmed commit and its confirmation; version 1.0 sees the same.
func TestChange(t *testing.T) {
	l := newLab(t)
	c, other := l.dial("1.1"), l.dial("1.0")
	exchange := func(n int) string {
		return fmt.Sprintf("<exchange><number>%d</number><address>10.0.0.%d:5060</address><zone>east</zone></exchange>", n, n)
	}
	group := func(a, b, size int) string {
		return fmt.Sprintf(`<circuit-groups xmlns="urn:brookmux:circuits"><group><a>%d</a><b>%d</b><size>%d</size></group></circuit-groups>`, a, b, size)
	}
	const open, end = `<exchanges xmlns="urn:brookmux:exchanges">`, "</exchanges>"
	require.Equal(t, "<ok/>", c.ask(edit("running", "", open+exchange(1)+exchange(2)+end+group(1, 2, 30))))
	require.Equal(t, "<ok/>", c.ask("<lock><target><candidate/></target></lock>"))
	require.Contains(t, other.ask("<lock><target><candidate/></target></lock>"), "<error-tag>lock-denied</error-tag>")
	require.Contains(t, other.ask(edit("candidate", "", wait("1"))), "<error-tag>in-use</error-tag>")
	require.Equal(t, "<ok/>", c.ask(edit("candidate", "<test-option>set</test-option>", group(1, 3, 12)+group(1, 2, 40))))
	require.Contains(t, c.ask("<validate><source><candidate/></source></validate>"), "<error-app-tag>instance-required<")
	require.Contains(t, c.ask("<commit/>"), "<error-tag>data-missing</error-tag>")
	require.Equal(t, "<ok/>", c.ask(edit("candidate", "", open+exchange(3)+end)))
	require.Equal(t, "<ok/>", c.ask("<validate><source><candidate/></source></validate>"))
	require.Equal(t, "<ok/>", c.ask("<commit><confirmed/><confirm-timeout>60</confirm-timeout></commit>"))
	require.Contains(t, other.ask("<commit/>"), "<error-tag>in-use</error-tag>")
	l.pass(59 * time.Second)
	require.Equal(t, "<ok/>", c.ask("<commit/>"))
	l.pass(time.Hour)
	got := other.ask(`<get-config><source><running/></source><filter><exchanges><exchange><number>3</number></exchange></exchanges></filter></get-config>`)
	require.Equal(t, `<data><exchanges xmlns="urn:brookmux:exchanges">`+exchange(3)+"</exchanges></data>", got)
	got = other.ask(`<get><filter type="xpath" xmlns:c="urn:brookmux:circuits" select="/c:circuit-groups/c:group[c:size &gt; 20]/c:size"/><with-defaults>report-all-tagged</with-defaults></get>`)
	require.Equal(t, `<data><circuit-groups xmlns="urn:brookmux:circuits"><group><a>1</a><b>2</b><size>40</size></group></circuit-groups></data>`, got)
	l.drains.Told(map[string]string{"2": "draining"})
	reply := c.ask(edit("running", "", group(1, 2, 50)))
	require.Contains(t, reply, "<error-tag>resource-denied</error-tag>")
	require.Contains(t, reply, "exchange 2 has been told draining")
	require.Equal(t, "<ok/>", c.ask(edit("running", "", `<exchanges xmlns="urn:brookmux:exchanges"><exchange nc:operation="delete"><number>3</number></exchange></exchanges>`+
		`<circuit-groups xmlns="urn:brookmux:circuits"><group nc:operation="remove"><a>1</a><b>3</b></group></circuit-groups>`)))
	require.NotContains(t, other.ask("<get/>"), "<number>3<")
}

// TestSessions: what a session leaves behind when it dies or is killed is taken away.
func TestSessions(t *testing.T) {
	l := newLab(t)
	c, other := l.dial("1.1"), l.dial("1.1")
	require.Equal(t, "<ok/>", c.ask("<lock><target><running/></target></lock>"))
	require.Equal(t, "<ok/>", c.ask(edit("running", "", wait("1"))))
	require.Equal(t, "<ok/>", c.ask(edit("candidate", "", wait("2"))))
	require.Equal(t, "<ok/>", c.ask("<commit><confirmed/></commit>"))
	require.Equal(t, "2", other.running())
	require.Contains(t, other.ask("<lock><target><running/></target></lock>"), "<session-id>"+c.id+"<")
	require.Equal(t, "<ok/>", other.ask("<kill-session><session-id>"+c.id+"</session-id></kill-session>"))
	<-c.over
	require.Equal(t, "1", other.running())
	require.Equal(t, "<ok/>", other.ask("<lock><target><running/></target></lock>"))
	other.conn.Close()
	<-other.over
	last := l.dial("1.1")
	require.Equal(t, "<ok/>", last.ask("<lock><target><running/></target></lock>"))
	id := regexp.MustCompile(`yang-library:1.1\?revision=2019-01-04&amp;content-id=([0-9a-f]{32})<`).FindStringSubmatch(last.hello)
	require.NotNil(t, id)
	got := last.ask(`<get><filter><yang-library xmlns="urn:ietf:params:xml:ns:yang:ietf-yang-library"/></filter></get>`)
	require.Contains(t, got, "<content-id>"+id[1]+"</content-id>")
	require.Contains(t, got, "<module><name>brookmux-limits</name><namespace>urn:brookmux:limits</namespace><revision>2026-12-01</revision></module>")
	require.Equal(t, "<ok/>", last.ask("<copy-config><target><startup/></target><source><running/></source></copy-config>"))
	require.Contains(t, last.ask("<get-config><source><startup/></source></get-config>"), "<max-wait>1<")
	require.Equal(t, "<ok/>", last.ask("<delete-config><target><startup/></target></delete-config>"))
	require.Equal(t, "<data></data>", last.ask("<get-config><source><startup/></source></get-config>"))
	require.Contains(t, last.ask(`<get-schema xmlns="`+monitoring+`"><identifier>brookmux-limits</identifier><format>yang</format></get-schema>`),
		"module brookmux-limits {")
}

// TestAccess: by the rules of RFC 8341 one user changes one exchange and nothing else, does not see what is hidden, may
// not call what is denied, and hears of no change; the recovery user is bound by none of it.
func TestAccess(t *testing.T) {
	l := newLab(t)
	root, ann, eve := l.dialAs("root", "1.1"), l.dialAs("ann", "1.1"), l.dialAs("eve", "1.1")
	const exchange = `<exchanges xmlns="urn:brookmux:exchanges"><exchange><number>%d</number><address>10.0.0.%d:1</address><zone>%s</zone></exchange></exchanges>`
	const nacms = `<nacm xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-acm">`
	rule := func(name, rest string) string { return "<rule><name>" + name + "</name>" + rest + "</rule>" }
	require.Equal(t, "<ok/>", root.ask(edit("running", "", wait("5")+fmt.Sprintf(exchange, 1, 1, "a")+fmt.Sprintf(exchange, 2, 2, "a")+
		nacms+"<groups><group><name>desk</name><user-name>ann</user-name></group></groups><rule-list><name>desk</name><group>desk</group>"+
		rule("one", "<path>/exchanges/exchange[number='1']</path><access-operations>update read</access-operations><action>permit</action>")+
		rule("hidden", "<module-name>brookmux-limits</module-name><action>deny</action>")+
		rule("no-copy", "<rpc-name>copy-config</rpc-name><action>deny</action>")+
		rule("no-news", "<notification-name>netconf-config-change</notification-name><action>deny</action>")+"</rule-list></nacm>")))
	require.Equal(t, "<ok/>", ann.ask(`<create-subscription xmlns="`+events+`"/>`))
	require.Equal(t, "<ok/>", eve.ask(`<create-subscription xmlns="`+events+`"/>`))
	require.Equal(t, "<ok/>", ann.ask(edit("running", "", fmt.Sprintf(exchange, 1, 1, "b"))))
	require.Contains(t, eve.next(), "<username>ann</username>")
	for _, op := range []string{edit("running", "", fmt.Sprintf(exchange, 2, 2, "b")), edit("candidate", "", fmt.Sprintf(exchange, 3, 3, "b")),
		edit("candidate", "", wait("6")), "<copy-config><target><candidate/></target><source><startup/></source></copy-config>"} {
		require.Contains(t, ann.ask(op), "<error-tag>access-denied</error-tag>", op)
	}
	require.Contains(t, eve.ask(edit("running", "", fmt.Sprintf(exchange, 1, 1, "c"))), "<error-tag>access-denied</error-tag>")
	require.Contains(t, eve.ask("<kill-session><session-id>"+ann.id+"</session-id></kill-session>"), "<error-tag>access-denied</error-tag>")
	got := ann.ask("<get/>")
	require.NotContains(t, got, "max-wait")
	require.NotContains(t, got, "nacm")
	require.Contains(t, got, "<zone>b</zone>")
	require.Contains(t, eve.ask("<get/>"), "max-wait")
	require.Contains(t, root.ask(edit("running", "", nacms+"<rule-list><name>x</name>"+
		rule("y", "<path>/none</path><action>deny</action>")+"</rule-list></nacm>")), "names no node")
	require.Equal(t, "<ok/>", root.ask(edit("running", "", nacms+"<enable-nacm>false</enable-nacm></nacm>")))
	require.Contains(t, eve.next(), "enable-nacm")
	require.Equal(t, "<ok/>", eve.ask(edit("candidate", "", wait("6"))))
}

// TestNotifications: changes are told with who made them, those of before are replayed, and one who does not read is
// let go without holding up anybody.
func TestNotifications(t *testing.T) {
	l := newLab(t)
	c, listener, slow := l.dial("1.1"), l.dial("1.1"), l.dial("1.1")
	require.Equal(t, "<ok/>", c.ask(edit("running", "", wait("1"))))
	l.pass(time.Second)
	require.Equal(t, "<ok/>", slow.ask(`<create-subscription xmlns="`+events+`"/>`))
	require.NoError(t, listener.write([]byte(`<rpc xmlns="`+base+`" message-id="7"><create-subscription xmlns="`+events+
		`"><startTime>2026-12-01T11:00:00Z</startTime></create-subscription></rpc>`)))
	var got []string
	for range 3 {
		got = append(got, listener.next())
	}
	all := strings.Join(got, "\n")
	require.Contains(t, all, "<ok/>")
	require.Contains(t, all, "<eventTime>2026-12-01T12:00:00Z</eventTime><netconf-config-change")
	require.Contains(t, all, "<username>op</username><session-id>"+c.id+"<")
	require.Contains(t, all, "/bmx-li:limits/bmx-li:max-wait</target><operation>create<")
	require.Contains(t, all, "<replayComplete")
	l.Event("exchange-state-change", [2]string{"number", "4"}, [2]string{"told", "<gone>"}, [2]string{"origin", ""})
	require.Contains(t, listener.next(), `<exchange-state-change xmlns="urn:brookmux:events"><number>4</number><told>&lt;gone&gt;</told></exchange-state-change>`)
	for i := range mostWaiting + 2 {
		require.Equal(t, "<ok/>", c.ask(edit("running", "", wait(fmt.Sprint(i+2)))))
		require.Contains(t, listener.next(), "<operation>replace<")
	}
	<-slow.over
}

// TestFrames: what is not framed as it has to be ends the session, and no message is read past its bound.
func TestFrames(t *testing.T) {
	for _, c := range []struct {
		text    string
		chunked bool
		want    string
		err     error
	}{
		{"a]]>b]]>]]>", false, "a]]>b", nil}, {"a]]>", false, "", io.ErrUnexpectedEOF}, {"", false, "", io.EOF},
		{"\n#3\nabc\n#1\nd\n##\n", true, "abcd", nil}, {"\n##\n", true, "", errFraming}, {"\n#0\n", true, "", errFraming},
		{"\n#03\nabc\n##\n", true, "", errFraming}, {"\n#-1\n", true, "", errFraming}, {"x", true, "", errFraming},
		{"\n#99999999999\n", true, "", errFraming}, {"\n#2000000\n", true, "", errTooLong}, {"\n#3\nab", true, "", io.ErrUnexpectedEOF},
		{strings.Repeat("x", mostMessage+7) + ">", false, "", errTooLong},
		{strings.Repeat("\n#1000000\n"+strings.Repeat("x", 1000000), 5), true, "", errTooLong},
	} {
		f := framer{r: bufio.NewReader(strings.NewReader(c.text)), chunked: c.chunked}
		got, err := f.read()
		require.ErrorIs(t, err, c.err)
		require.Equal(t, c.want, string(got))
	}
	l := newLab(t)
	c := l.dial("1.1")
	_, err := c.conn.Write([]byte("<rpc"))
	require.NoError(t, err)
	require.ErrorIs(t, <-c.over, errFraming)
}

// FuzzFrame: no input makes the reader panic, and what is written is read again.
func FuzzFrame(f *testing.F) {
	f.Add([]byte("\n#3\nabc\n##\n"), true)
	f.Add([]byte("abc]]>]]>"), false)
	f.Fuzz(func(t *testing.T, in []byte, chunked bool) {
		x := framer{r: bufio.NewReader(bytes.NewReader(in)), chunked: chunked}
		for m, err := x.read(); err == nil; m, err = x.read() {
			if !chunked && bytes.Contains(m, []byte(endOfMessage)) || chunked && len(m) == 0 {
				continue
			}
			var b bytes.Buffer
			y := framer{r: bufio.NewReader(&b), w: &b, chunked: chunked}
			require.NoError(t, y.write(m))
			again, err := y.read()
			require.NoError(t, err)
			require.Equal(t, string(m), string(again))
		}
	})
}

// FuzzRPC: no message makes the server panic, and each gets one reply that is XML.
func FuzzRPC(f *testing.F) {
	for _, s := range []string{"<get/>", edit("candidate", "", wait("1")), "<get><filter type='xpath' select='/limits[max-wait=1]'/></get>",
		"<get><filter><exchanges><exchange><zone/></exchange></exchanges></filter></get>", "<commit><confirmed/></commit>"} {
		f.Add(`<rpc xmlns="` + base + `" message-id="7">` + s + `</rpc>`)
	}
	l := newLab(&testing.T{})
	f.Fuzz(func(t *testing.T, in string) {
		x := &session{server: l.Server, log: quiet}
		_ = l.Owner.Do(func(s *datastore.Store) (err error) { x.who, err = s.Open("op", "fuzz"); return err })
		defer l.Owner.Close(x.who.ID)
		_, err := parse(x.answer([]byte(in)))
		require.NoError(t, err)
	})
}

// keys is an Access of one user.
type keys struct {
	mu    sync.Mutex
	hosts []ssh.Signer
	users map[string][]ssh.PublicKey
}

func (k *keys) HostKeys() []ssh.Signer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hosts
}

func (k *keys) Keys(user string) []ssh.PublicKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.users[user]
}

// newKey makes a key, and writes it where a client finds it.
func newKey(t *testing.T) (ssh.Signer, string) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	require.NoError(t, err)
	signer, err := ssh.NewSignerFromKey(private)
	require.NoError(t, err)
	block, err := ssh.MarshalPrivateKey(private, "test")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	return signer, path
}

// listen serves a lab over SSH and returns its address.
func (l *lab) listen(a Access) *net.TCPAddr {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(l.t, err)
	ended := make(chan error, 1)
	go func() { ended <- NewListener(l.Server, a, quiet).Serve(l.t.Context(), on) }()
	l.t.Cleanup(func() { require.NoError(l.t, <-ended) })
	return on.Addr().(*net.TCPAddr)
}

// TestInterop: an independent client (scrapligo) opens a session, edits the candidate, commits, confirms and reads back,
// in both versions.
func TestInterop(t *testing.T) {
	l := newLab(t)
	host, _ := newKey(t)
	user, path := newKey(t)
	at := l.listen(&keys{hosts: []ssh.Signer{host}, users: map[string][]ssh.PublicKey{"op": {user.PublicKey()}}})
	for i, version := range []string{"1.0", "1.1"} {
		d, err := netconf.NewDriver(at.IP.String(), options.WithPort(at.Port), options.WithAuthUsername("op"), options.WithAuthPrivateKey(path, ""),
			options.WithAuthNoStrictKey(), options.WithTransportType("standard"), options.WithNetconfPreferredVersion(version),
			options.WithTimeoutOps(20*time.Second))
		require.NoError(t, err)
		require.NoError(t, d.Open())
		value := fmt.Sprint(100 + i)
		lock, err := d.Lock("candidate")
		require.NoError(t, err)
		require.NoError(t, lock.Failed)
		r, err := d.EditConfig("candidate", "<config>"+wait(value)+"</config>")
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = d.Validate("candidate")
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = d.Commit()
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = d.EditConfig("candidate", "<config>"+wait("9"+value)+"</config>")
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = d.Commit(opoptions.WithCommitConfirmed(), opoptions.WithCommitConfirmTimeout(60))
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = d.Commit()
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = d.GetConfig("running")
		require.NoError(t, err)
		require.Contains(t, r.Result, "<max-wait>9"+value+"</max-wait>")
		r, err = d.EditConfig("candidate", "<config>"+wait("never")+"</config>")
		require.NoError(t, err)
		require.Error(t, r.Failed)
		r, err = d.Unlock("candidate")
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		require.NoError(t, d.Close())
	}
}

// TestLogin: only a user's own keys let in, a new host key is shown from the next connection on, and a thousand
// connections that never log in keep nobody out.
func TestLogin(t *testing.T) {
	l := newLab(t)
	first, _ := newKey(t)
	second, _ := newKey(t)
	user, _ := newKey(t)
	stranger, _ := newKey(t)
	a := &keys{hosts: []ssh.Signer{first}, users: map[string][]ssh.PublicKey{"op": {user.PublicKey()}}}
	at := l.listen(a)
	login := func(name string, key ssh.Signer, host ssh.Signer) error {
		c, err := ssh.Dial("tcp", at.String(), &ssh.ClientConfig{User: name, Auth: []ssh.AuthMethod{ssh.PublicKeys(key)},
			HostKeyCallback: ssh.FixedHostKey(host.PublicKey())})
		if err == nil {
			err = c.Close()
		}
		return err
	}
	require.NoError(t, login("op", user, first))
	require.Error(t, login("op", stranger, first))
	require.Error(t, login("root", user, first))
	a.mu.Lock()
	a.hosts = []ssh.Signer{second}
	a.mu.Unlock()
	require.Error(t, login("op", user, first))
	require.NoError(t, login("op", user, second))
	var idle []net.Conn
	for range 1000 {
		c, err := net.Dial("tcp", at.String())
		require.NoError(t, err)
		if idle = append(idle, c); len(idle) > 200 { // long since let go by the server
			idle[0].Close()
			idle = idle[1:]
		}
	}
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	require.NoError(t, login("op", user, second))
}

// deafConn is a client's connection that reads nothing any more once it is told to.
type deafConn struct {
	net.Conn
	deaf chan struct{}
}

// Read implements io.Reader.
func (c deafConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.deaf:
		select {} // what has come is never answered
	default:
		return n, err
	}
}

// TestSilentClient: a client that answers no keep-alive is let go; one that does, stays.
func TestSilentClient(t *testing.T) {
	l := newLab(t)
	host, _ := newKey(t)
	user, _ := newKey(t)
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(l.Server, &keys{hosts: []ssh.Signer{host}, users: map[string][]ssh.PublicKey{"op": {user.PublicKey()}}}, quiet)
	listener.keepAlive = 100 * time.Millisecond
	go func() { _ = listener.Serve(t.Context(), on) }()
	nc, err := net.Dial("tcp", on.Addr().String())
	require.NoError(t, err)
	defer nc.Close()
	deaf := make(chan struct{})
	conn, channels, requests, err := ssh.NewClientConn(deafConn{nc, deaf}, "", &ssh.ClientConfig{User: "op", Auth: []ssh.AuthMethod{ssh.PublicKeys(user)},
		HostKeyCallback: ssh.FixedHostKey(host.PublicKey())})
	require.NoError(t, err)
	ssh.NewClient(conn, channels, requests) // answers requests, as clients do
	clients := func() int {
		listener.mu.Lock()
		defer listener.mu.Unlock()
		return len(listener.clients)
	}
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, 1, clients(), "keep-alives are answered")
	close(deaf)
	require.Eventually(t, func() bool { return clients() == 0 }, 5*time.Second, 10*time.Millisecond)
}
