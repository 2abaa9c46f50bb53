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

var discardLog = slog.New(slog.DiscardHandler)

// testServer is a server with its state in memory and a clock set by the test. The user root has unrestricted access.
type testServer struct {
	*Server
	t      *testing.T
	drains datastore.Drains
	mu     sync.Mutex
	now    time.Time
}

// newTestServer returns a testServer with an empty configuration, on which access rules apply to all users but root.
func newTestServer(t *testing.T) *testServer {
	model, err := schema.Load(yang.Files)
	require.NoError(t, err)
	ts := &testServer{t: t, now: time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)}
	clock := func() time.Time { ts.mu.Lock(); defer ts.mu.Unlock(); return ts.now }
	owner, err := transact.New(transact.Config{Store: datastore.Config{Model: model, Keep: 20, MaxSessions: 20, Guards: []datastore.Guard{ts.drains.Guard, nacm.Check},
		Access: func(sess datastore.Session, running, old, next *schema.Node, changes []schema.Change) []schema.Fault {
			if sess.User == "root" {
				return nil
			}
			return nacm.NewRules(running).DeniedChanges(sess.User, old, next, changes)
		}},
		Now: clock, Log: discardLog, OnTransaction: func(e transact.Event) { ts.PublishTransaction(e) }})
	require.NoError(t, err)
	ts.Server = NewServer(Config{Owner: owner, Model: model, Now: clock, Log: discardLog, Rules: func(user string) (rules *nacm.Rules) {
		owner.View(func(s *datastore.Store) {
			tree, err := s.Get(datastore.Running)
			require.NoError(t, err)
			rules = nacm.NewRules(tree)
		})
		if user == "root" {
			return nil
		}
		return rules
	}})
	return ts
}

// advance moves the clock forward and runs the timers that are due.
func (ts *testServer) advance(d time.Duration) {
	ts.mu.Lock()
	ts.now = ts.now.Add(d)
	ts.mu.Unlock()
	ts.Owner.Tick()
}

// client is the client's end of a session, over a pipe.
type client struct {
	t    *testing.T
	conn net.Conn
	framer
	id    string
	hello string
	done  chan error
}

// dial opens a session of user op with one base version, 1.0 or 1.1.
func (ts *testServer) dial(version string) *client { return ts.dialAs("op", version) }

// dialAs opens a session of a user with one base version, 1.0 or 1.1.
func (ts *testServer) dialAs(user, version string) *client {
	serverEnd, clientEnd := net.Pipe()
	c := &client{t: ts.t, conn: clientEnd, framer: framer{r: bufio.NewReader(clientEnd), w: clientEnd}, done: make(chan error, 1)}
	go func() { c.done <- ts.Serve(serverEnd, user) }()
	hello, err := c.read()
	require.NoError(ts.t, err)
	c.hello = string(hello)
	c.id = regexp.MustCompile(`<session-id>(\d+)<`).FindStringSubmatch(c.hello)[1]
	require.NoError(ts.t, c.write([]byte(`<hello xmlns="`+baseNS+`"><capabilities><capability>urn:ietf:params:netconf:base:`+
		version+`</capability></capabilities></hello>`)))
	c.chunked = version == "1.1"
	ts.t.Cleanup(func() { clientEnd.Close() })
	return c
}

// rpc sends an operation and returns the content of the reply.
func (c *client) rpc(op string) string {
	require.NoError(c.t, c.write([]byte(`<rpc xmlns="`+baseNS+`" message-id="7">`+op+`</rpc>`)))
	return c.receive()
}

// receive returns the next message: of a reply its content, a notification whole.
func (c *client) receive() string {
	b, err := c.read()
	require.NoError(c.t, err)
	s := strings.TrimPrefix(string(b), `<rpc-reply xmlns="`+baseNS+`" message-id="7">`)
	return strings.TrimSuffix(s, "</rpc-reply>")
}

// editConfigXML returns an edit-config of a datastore, with further parameters in options.
func editConfigXML(target, options, config string) string {
	return "<edit-config><target><" + target + "/></target>" + options + `<config xmlns:nc="` + baseNS + `">` + config + "</config></edit-config>"
}

const limitsOpen = `<limits xmlns="urn:brookmux:limits">`

func maxWaitXML(v string) string { return limitsOpen + "<max-wait>" + v + "</max-wait></limits>" }

// runningMaxWait returns the max-wait in running, or "" if it is not set.
func (c *client) runningMaxWait() string {
	m := regexp.MustCompile(`<max-wait>(\d+)<`).FindStringSubmatch(c.rpc("<get-config><source><running/></source></get-config>"))
	if m == nil {
		return ""
	}
	return m[1]
}

// TestErrors checks that each invalid request gets the error that the RFC's tables specify, and that the session
// continues.
func TestErrors(t *testing.T) {
	ts := newTestServer(t)
	c := ts.dial("1.1")
	const exchangeOpen = `<exchanges xmlns="urn:brookmux:exchanges"><exchange>`
	for _, v := range []struct{ op, tag, path, info string }{
		{"<fly/>", "operation-not-supported", "", "<bad-element>fly<"},
		{`<get xmlns="urn:other"/>`, "operation-not-supported", "", ""},
		{"<lock/>", "missing-element", "", "<bad-element>target<"},
		{"<lock><target><moon/></target></lock>", "unknown-element", "", "<bad-element>moon<"},
		{"<get><filter type='regex'/></get>", "bad-attribute", "", "<bad-attribute>type<"},
		{"<get><filter type='xpath'/></get>", "missing-attribute", "", "<bad-attribute>select<"},
		{"<get><filter type='xpath' select='///'/></get>", "invalid-value", "", ""},
		{"<get><with-defaults>some</with-defaults></get>", "invalid-value", "", "<bad-element>with-defaults<"},
		{editConfigXML("candidate", "", "<limits/>"), "unknown-namespace", "/bmx-li:limits", "<bad-namespace>" + baseNS},
		{editConfigXML("candidate", "", limitsOpen+"<speed/></limits>"), "unknown-element", "/bmx-li:limits", "<bad-element>speed<"},
		{editConfigXML("candidate", "", maxWaitXML("soon")), "invalid-value", "/bmx-li:limits/bmx-li:max-wait", ""},
		{editConfigXML("candidate", "", maxWaitXML("600001")), "invalid-value", "/bmx-li:limits/bmx-li:max-wait", ""},
		{editConfigXML("candidate", "", limitsOpen+`<max-wait nc:operation="burn">1</max-wait></limits>`), "bad-attribute", "", "<bad-attribute>operation<"},
		{editConfigXML("candidate", "", limitsOpen+`<max-wait speed="1">1</max-wait></limits>`), "unknown-attribute", "", "<bad-attribute>speed<"},
		{editConfigXML("candidate", "", limitsOpen+`<max-wait nc:operation="delete"/></limits>`), "data-missing", "/bmx-li:limits/bmx-li:max-wait", ""},
		{editConfigXML("candidate", "", exchangeOpen+"<zone>a</zone></exchange></exchanges>"), "missing-element", "/bmx-ex:exchanges/bmx-ex:exchange", "<bad-element>number<"},
		{editConfigXML("candidate", "", exchangeOpen+"<number>1</number><zone>a</zone></exchange></exchanges>"), "data-missing",
			"/bmx-ex:exchanges/bmx-ex:exchange[bmx-ex:number='1']/bmx-ex:address", ""},
		{editConfigXML("candidate", "", exchangeOpen+"<number>1</number><state><told>ready</told></state></exchange></exchanges>"), "invalid-value", "", ""},
		{editConfigXML("candidate", "", limitsOpen+"text</limits>"), "bad-element", "/bmx-li:limits", "<bad-element>limits<"},
		{editConfigXML("candidate", "<default-operation>delete</default-operation>", ""), "invalid-value", "", "<bad-element>default-operation<"},
		{editConfigXML("startup", "", maxWaitXML("1")), "operation-not-supported", "", ""},
		{"<unlock><target><running/></target></unlock>", "operation-failed", "", ""},
		{"<cancel-commit/>", "operation-failed", "", ""},
		{"<commit><persist-id>p</persist-id></commit>", "invalid-value", "", ""},
		{"<commit><persist>p</persist></commit>", "invalid-value", "", "<bad-element>commit<"},
		{"<delete-config><target><running/></target></delete-config>", "invalid-value", "", ""},
		{"<copy-config><target><running/></target><source><running/></source></copy-config>", "invalid-value", "", ""},
		{"<copy-config><target><url>file:///x</url></target><source><running/></source></copy-config>", "operation-not-supported", "", "<bad-element>url<"},
		{"<kill-session><session-id>" + c.id + "</session-id></kill-session>", "invalid-value", "", ""},
		{`<get-schema xmlns="` + monitoringNS + `"><identifier>none</identifier></get-schema>`, "invalid-value", "", ""},
		{`<create-subscription xmlns="` + notificationNS + `"><stream>X</stream></create-subscription>`, "invalid-value", "", ""},
		{"<get/><get/>", "malformed-message", "", ""}, {"", "malformed-message", "", ""},
	} {
		reply := c.rpc(v.op)
		require.Contains(t, reply, "<error-tag>"+v.tag+"</error-tag>", v.op)
		require.Contains(t, reply, "<error-severity>error<", v.op)
		require.Contains(t, reply, v.info, v.op)
		if v.path != "" {
			require.Regexp(t, "<error-path[^>]*>"+regexp.QuoteMeta(strings.ReplaceAll(v.path, "'", "&#39;"))+"</error-path>", reply, v.op)
		}
	}
	for _, raw := range []string{"<rpc", "<!DOCTYPE a [<!ENTITY b 'c'>]><rpc/>", "\xff", strings.Repeat("<a>", 100), "<?x y?><rpc/>", "<get/>"} {
		require.NoError(t, c.write([]byte(raw)))
		require.Contains(t, c.receive(), "<error-type>rpc</error-type><error-tag>malformed-message<", raw)
	}
	require.NoError(t, c.write([]byte(`<rpc xmlns="`+baseNS+`" xmlns:u="urn:u" u:mark="a&amp;b"><get/></rpc>`)))
	require.Regexp(t, `u:mark="a&amp;b".*<error-tag>missing-attribute<`, c.receive())
	require.Equal(t, "<ok/>", c.rpc("<close-session/>"))
	require.NoError(t, <-c.done)
}

// TestChange adds a third exchange and changes a circuit group in one transaction, with locks, validation, a confirmed
// commit and its confirmation. A session of version 1.0 reads the same result.
func TestChange(t *testing.T) {
	ts := newTestServer(t)
	c, other := ts.dial("1.1"), ts.dial("1.0")
	exchange := func(n int) string {
		return fmt.Sprintf("<exchange><number>%d</number><address>10.0.0.%d:5060</address><zone>east</zone></exchange>", n, n)
	}
	group := func(a, b, size int) string {
		return fmt.Sprintf(`<circuit-groups xmlns="urn:brookmux:circuits"><group><a>%d</a><b>%d</b><size>%d</size></group></circuit-groups>`, a, b, size)
	}
	const exchangesOpen, exchangesEnd = `<exchanges xmlns="urn:brookmux:exchanges">`, "</exchanges>"
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("running", "", exchangesOpen+exchange(1)+exchange(2)+exchangesEnd+group(1, 2, 30))))
	require.Equal(t, "<ok/>", c.rpc("<lock><target><candidate/></target></lock>"))
	require.Contains(t, other.rpc("<lock><target><candidate/></target></lock>"), "<error-tag>lock-denied</error-tag>")
	require.Contains(t, other.rpc(editConfigXML("candidate", "", maxWaitXML("1"))), "<error-tag>in-use</error-tag>")
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("candidate", "<test-option>set</test-option>", group(1, 3, 12)+group(1, 2, 40))))
	require.Contains(t, c.rpc("<validate><source><candidate/></source></validate>"), "<error-app-tag>instance-required<")
	require.Contains(t, c.rpc("<commit/>"), "<error-tag>data-missing</error-tag>")
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("candidate", "", exchangesOpen+exchange(3)+exchangesEnd)))
	require.Equal(t, "<ok/>", c.rpc("<validate><source><candidate/></source></validate>"))
	require.Equal(t, "<ok/>", c.rpc("<commit><confirmed/><confirm-timeout>60</confirm-timeout></commit>"))
	require.Contains(t, other.rpc("<commit/>"), "<error-tag>in-use</error-tag>")
	ts.advance(59 * time.Second)
	require.Equal(t, "<ok/>", c.rpc("<commit/>"))
	ts.advance(time.Hour)
	got := other.rpc(`<get-config><source><running/></source><filter><exchanges><exchange><number>3</number></exchange></exchanges></filter></get-config>`)
	require.Equal(t, `<data><exchanges xmlns="urn:brookmux:exchanges">`+exchange(3)+"</exchanges></data>", got)
	got = other.rpc(`<get><filter type="xpath" xmlns:c="urn:brookmux:circuits" select="/c:circuit-groups/c:group[c:size &gt; 20]/c:size"/><with-defaults>report-all-tagged</with-defaults></get>`)
	require.Equal(t, `<data><circuit-groups xmlns="urn:brookmux:circuits"><group><a>1</a><b>2</b><size>40</size></group></circuit-groups></data>`, got)
	ts.drains.SetStates(map[string]string{"2": "draining"})
	reply := c.rpc(editConfigXML("running", "", group(1, 2, 50)))
	require.Contains(t, reply, "<error-tag>resource-denied</error-tag>")
	require.Contains(t, reply, "exchange 2 has been told draining")
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("running", "", `<exchanges xmlns="urn:brookmux:exchanges"><exchange nc:operation="delete"><number>3</number></exchange></exchanges>`+
		`<circuit-groups xmlns="urn:brookmux:circuits"><group nc:operation="remove"><a>1</a><b>3</b></group></circuit-groups>`)))
	require.NotContains(t, other.rpc("<get/>"), "<number>3<")
}

// TestSessions checks that the end of a session, by kill-session or a closed connection, releases its locks and reverts
// its unconfirmed commit. It also covers the YANG library, startup and get-schema.
func TestSessions(t *testing.T) {
	ts := newTestServer(t)
	c, other := ts.dial("1.1"), ts.dial("1.1")
	require.Equal(t, "<ok/>", c.rpc("<lock><target><running/></target></lock>"))
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("running", "", maxWaitXML("1"))))
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("candidate", "", maxWaitXML("2"))))
	require.Equal(t, "<ok/>", c.rpc("<commit><confirmed/></commit>"))
	require.Equal(t, "2", other.runningMaxWait())
	require.Contains(t, other.rpc("<lock><target><running/></target></lock>"), "<session-id>"+c.id+"<")
	require.Equal(t, "<ok/>", other.rpc("<kill-session><session-id>"+c.id+"</session-id></kill-session>"))
	<-c.done
	require.Equal(t, "1", other.runningMaxWait())
	require.Equal(t, "<ok/>", other.rpc("<lock><target><running/></target></lock>"))
	other.conn.Close()
	<-other.done
	last := ts.dial("1.1")
	require.Equal(t, "<ok/>", last.rpc("<lock><target><running/></target></lock>"))
	id := regexp.MustCompile(`yang-library:1.1\?revision=2019-01-04&amp;content-id=([0-9a-f]{32})<`).FindStringSubmatch(last.hello)
	require.NotNil(t, id)
	got := last.rpc(`<get><filter><yang-library xmlns="urn:ietf:params:xml:ns:yang:ietf-yang-library"/></filter></get>`)
	require.Contains(t, got, "<content-id>"+id[1]+"</content-id>")
	require.Contains(t, got, "<module><name>brookmux-limits</name><namespace>urn:brookmux:limits</namespace><revision>2026-12-01</revision></module>")
	require.Equal(t, "<ok/>", last.rpc("<copy-config><target><startup/></target><source><running/></source></copy-config>"))
	require.Contains(t, last.rpc("<get-config><source><startup/></source></get-config>"), "<max-wait>1<")
	require.Equal(t, "<ok/>", last.rpc("<delete-config><target><startup/></target></delete-config>"))
	require.Equal(t, "<data></data>", last.rpc("<get-config><source><startup/></source></get-config>"))
	require.Contains(t, last.rpc(`<get-schema xmlns="`+monitoringNS+`"><identifier>brookmux-limits</identifier><format>yang</format></get-schema>`),
		"module brookmux-limits {")
}

// TestAccess checks the access control rules of RFC 8341: a user may change one exchange and nothing else, cannot read
// hidden nodes, may not call denied operations and receives no denied notifications. The recovery user is unrestricted.
func TestAccess(t *testing.T) {
	ts := newTestServer(t)
	root, ann, eve := ts.dialAs("root", "1.1"), ts.dialAs("ann", "1.1"), ts.dialAs("eve", "1.1")
	const exchange = `<exchanges xmlns="urn:brookmux:exchanges"><exchange><number>%d</number><address>10.0.0.%d:1</address><zone>%s</zone></exchange></exchanges>`
	const nacmOpen = `<nacm xmlns="urn:ietf:params:xml:ns:yang:ietf-netconf-acm">`
	rule := func(name, rest string) string { return "<rule><name>" + name + "</name>" + rest + "</rule>" }
	require.Equal(t, "<ok/>", root.rpc(editConfigXML("running", "", maxWaitXML("5")+fmt.Sprintf(exchange, 1, 1, "a")+fmt.Sprintf(exchange, 2, 2, "a")+
		nacmOpen+"<groups><group><name>desk</name><user-name>ann</user-name></group></groups><rule-list><name>desk</name><group>desk</group>"+
		rule("one", "<path>/exchanges/exchange[number='1']</path><access-operations>update read</access-operations><action>permit</action>")+
		rule("hidden", "<module-name>brookmux-limits</module-name><action>deny</action>")+
		rule("no-copy", "<rpc-name>copy-config</rpc-name><action>deny</action>")+
		rule("no-news", "<notification-name>netconf-config-change</notification-name><action>deny</action>")+"</rule-list></nacm>")))
	require.Equal(t, "<ok/>", ann.rpc(`<create-subscription xmlns="`+notificationNS+`"/>`))
	require.Equal(t, "<ok/>", eve.rpc(`<create-subscription xmlns="`+notificationNS+`"/>`))
	require.Equal(t, "<ok/>", ann.rpc(editConfigXML("running", "", fmt.Sprintf(exchange, 1, 1, "b"))))
	require.Contains(t, eve.receive(), "<username>ann</username>")
	for _, op := range []string{editConfigXML("running", "", fmt.Sprintf(exchange, 2, 2, "b")), editConfigXML("candidate", "", fmt.Sprintf(exchange, 3, 3, "b")),
		editConfigXML("candidate", "", maxWaitXML("6")), "<copy-config><target><candidate/></target><source><startup/></source></copy-config>"} {
		require.Contains(t, ann.rpc(op), "<error-tag>access-denied</error-tag>", op)
	}
	require.Contains(t, eve.rpc(editConfigXML("running", "", fmt.Sprintf(exchange, 1, 1, "c"))), "<error-tag>access-denied</error-tag>")
	require.Contains(t, eve.rpc("<kill-session><session-id>"+ann.id+"</session-id></kill-session>"), "<error-tag>access-denied</error-tag>")
	got := ann.rpc("<get/>")
	require.NotContains(t, got, "max-wait")
	require.NotContains(t, got, "nacm")
	require.Contains(t, got, "<zone>b</zone>")
	require.Contains(t, eve.rpc("<get/>"), "max-wait")
	require.Contains(t, root.rpc(editConfigXML("running", "", nacmOpen+"<rule-list><name>x</name>"+
		rule("y", "<path>/none</path><action>deny</action>")+"</rule-list></nacm>")), "names no node")
	require.Equal(t, "<ok/>", root.rpc(editConfigXML("running", "", nacmOpen+"<enable-nacm>false</enable-nacm></nacm>")))
	require.Contains(t, eve.receive(), "enable-nacm")
	require.Equal(t, "<ok/>", eve.rpc(editConfigXML("candidate", "", maxWaitXML("6"))))
}

// TestNotifications checks that subscribers receive each change with the user who made it, that earlier changes are
// replayed, and that a subscriber that does not read is disconnected without delaying the others.
func TestNotifications(t *testing.T) {
	ts := newTestServer(t)
	c, listener, slow := ts.dial("1.1"), ts.dial("1.1"), ts.dial("1.1")
	require.Equal(t, "<ok/>", c.rpc(editConfigXML("running", "", maxWaitXML("1"))))
	ts.advance(time.Second)
	require.Equal(t, "<ok/>", slow.rpc(`<create-subscription xmlns="`+notificationNS+`"/>`))
	require.NoError(t, listener.write([]byte(`<rpc xmlns="`+baseNS+`" message-id="7"><create-subscription xmlns="`+notificationNS+
		`"><startTime>2026-12-01T11:00:00Z</startTime></create-subscription></rpc>`)))
	var got []string
	for range 3 {
		got = append(got, listener.receive())
	}
	all := strings.Join(got, "\n")
	require.Contains(t, all, "<ok/>")
	require.Contains(t, all, "<eventTime>2026-12-01T12:00:00Z</eventTime><netconf-config-change")
	require.Contains(t, all, "<username>op</username><session-id>"+c.id+"<")
	require.Contains(t, all, "/bmx-li:limits/bmx-li:max-wait</target><operation>create<")
	require.Contains(t, all, "<replayComplete")
	ts.PublishEvent("exchange-state-change", [2]string{"number", "4"}, [2]string{"told", "<gone>"}, [2]string{"origin", ""})
	require.Contains(t, listener.receive(), `<exchange-state-change xmlns="urn:brookmux:events"><number>4</number><told>&lt;gone&gt;</told></exchange-state-change>`)
	for i := range maxQueuedEvents + 2 {
		require.Equal(t, "<ok/>", c.rpc(editConfigXML("running", "", maxWaitXML(fmt.Sprint(i+2)))))
		require.Contains(t, listener.receive(), "<operation>replace<")
	}
	<-slow.done
}

// TestFrames checks that invalid framing ends the session, and that the reader stops at the size limits.
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
		{strings.Repeat("x", maxMessageSize+7) + ">", false, "", errTooLong},
		{strings.Repeat("\n#1000000\n"+strings.Repeat("x", 1000000), 5), true, "", errTooLong},
	} {
		f := framer{r: bufio.NewReader(strings.NewReader(c.text)), chunked: c.chunked}
		got, err := f.read()
		require.ErrorIs(t, err, c.err)
		require.Equal(t, c.want, string(got))
	}
	ts := newTestServer(t)
	c := ts.dial("1.1")
	_, err := c.conn.Write([]byte("<rpc"))
	require.NoError(t, err)
	require.ErrorIs(t, <-c.done, errFraming)
}

// FuzzFrame checks that no input makes the reader panic, and that a written message reads back unchanged.
func FuzzFrame(f *testing.F) {
	f.Add([]byte("\n#3\nabc\n##\n"), true)
	f.Add([]byte("abc]]>]]>"), false)
	f.Fuzz(func(t *testing.T, in []byte, chunked bool) {
		reader := framer{r: bufio.NewReader(bytes.NewReader(in)), chunked: chunked}
		for m, err := reader.read(); err == nil; m, err = reader.read() {
			if !chunked && bytes.Contains(m, []byte(endOfMessage)) || chunked && len(m) == 0 {
				continue
			}
			var b bytes.Buffer
			echo := framer{r: bufio.NewReader(&b), w: &b, chunked: chunked}
			require.NoError(t, echo.write(m))
			reread, err := echo.read()
			require.NoError(t, err)
			require.Equal(t, string(m), string(reread))
		}
	})
}

// FuzzRPC checks that no message makes the server panic, and that each gets one reply that is well-formed XML.
func FuzzRPC(f *testing.F) {
	for _, s := range []string{"<get/>", editConfigXML("candidate", "", maxWaitXML("1")), "<get><filter type='xpath' select='/limits[max-wait=1]'/></get>",
		"<get><filter><exchanges><exchange><zone/></exchange></exchanges></filter></get>", "<commit><confirmed/></commit>"} {
		f.Add(`<rpc xmlns="` + baseNS + `" message-id="7">` + s + `</rpc>`)
	}
	ts := newTestServer(&testing.T{})
	f.Fuzz(func(t *testing.T, in string) {
		sess := &session{server: ts.Server, log: discardLog}
		_ = ts.Owner.Do(func(s *datastore.Store) (err error) { sess.dsSession, err = s.OpenSession("op", "fuzz"); return err })
		defer ts.Owner.CloseSession(sess.dsSession.ID)
		_, err := parseXML(sess.handleMessage([]byte(in)))
		require.NoError(t, err)
	})
}

// testAccess is an Access whose keys the test sets.
type testAccess struct {
	mu       sync.Mutex
	hostKeys []ssh.Signer
	userKeys map[string][]ssh.PublicKey
}

func (k *testAccess) HostKeys() []ssh.Signer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hostKeys
}

func (k *testAccess) AuthorizedKeys(user string) []ssh.PublicKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.userKeys[user]
}

// newKey returns a new key and the path of a file with the private key, for clients that read one.
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

// listen serves SSH on a free port until the test ends, and returns the address.
func (ts *testServer) listen(access Access) *net.TCPAddr {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(ts.t, err)
	ended := make(chan error, 1)
	go func() { ended <- NewListener(ts.Server, access, discardLog).Serve(ts.t.Context(), listener) }()
	ts.t.Cleanup(func() { require.NoError(ts.t, <-ended) })
	return listener.Addr().(*net.TCPAddr)
}

// TestInterop checks that an independent client (scrapligo) can open a session, edit the candidate, commit, confirm a
// commit and read the result, with both protocol versions.
func TestInterop(t *testing.T) {
	ts := newTestServer(t)
	hostKey, _ := newKey(t)
	userKey, keyPath := newKey(t)
	addr := ts.listen(&testAccess{hostKeys: []ssh.Signer{hostKey}, userKeys: map[string][]ssh.PublicKey{"op": {userKey.PublicKey()}}})
	for i, version := range []string{"1.0", "1.1"} {
		driver, err := netconf.NewDriver(addr.IP.String(), options.WithPort(addr.Port), options.WithAuthUsername("op"), options.WithAuthPrivateKey(keyPath, ""),
			options.WithAuthNoStrictKey(), options.WithTransportType("standard"), options.WithNetconfPreferredVersion(version),
			options.WithTimeoutOps(20*time.Second))
		require.NoError(t, err)
		require.NoError(t, driver.Open())
		value := fmt.Sprint(100 + i)
		lock, err := driver.Lock("candidate")
		require.NoError(t, err)
		require.NoError(t, lock.Failed)
		r, err := driver.EditConfig("candidate", "<config>"+maxWaitXML(value)+"</config>")
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = driver.Validate("candidate")
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = driver.Commit()
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = driver.EditConfig("candidate", "<config>"+maxWaitXML("9"+value)+"</config>")
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = driver.Commit(opoptions.WithCommitConfirmed(), opoptions.WithCommitConfirmTimeout(60))
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = driver.Commit()
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		r, err = driver.GetConfig("running")
		require.NoError(t, err)
		require.Contains(t, r.Result, "<max-wait>9"+value+"</max-wait>")
		r, err = driver.EditConfig("candidate", "<config>"+maxWaitXML("never")+"</config>")
		require.NoError(t, err)
		require.Error(t, r.Failed)
		r, err = driver.Unlock("candidate")
		require.NoError(t, err)
		require.NoError(t, r.Failed)
		require.NoError(t, driver.Close())
	}
}

// TestLogin checks that only a user's own keys are accepted, that a new host key applies from the next connection on,
// and that a thousand connections that never log in do not keep out a client that does.
func TestLogin(t *testing.T) {
	ts := newTestServer(t)
	firstHostKey, _ := newKey(t)
	secondHostKey, _ := newKey(t)
	userKey, _ := newKey(t)
	unknownKey, _ := newKey(t)
	access := &testAccess{hostKeys: []ssh.Signer{firstHostKey}, userKeys: map[string][]ssh.PublicKey{"op": {userKey.PublicKey()}}}
	addr := ts.listen(access)
	login := func(name string, key ssh.Signer, host ssh.Signer) error {
		c, err := ssh.Dial("tcp", addr.String(), &ssh.ClientConfig{User: name, Auth: []ssh.AuthMethod{ssh.PublicKeys(key)},
			HostKeyCallback: ssh.FixedHostKey(host.PublicKey())})
		if err == nil {
			err = c.Close()
		}
		return err
	}
	require.NoError(t, login("op", userKey, firstHostKey))
	require.Error(t, login("op", unknownKey, firstHostKey))
	require.Error(t, login("root", userKey, firstHostKey))
	access.mu.Lock()
	access.hostKeys = []ssh.Signer{secondHostKey}
	access.mu.Unlock()
	require.Error(t, login("op", userKey, firstHostKey))
	require.NoError(t, login("op", userKey, secondHostKey))
	var idle []net.Conn
	for range 1000 {
		c, err := net.Dial("tcp", addr.String())
		require.NoError(t, err)
		if idle = append(idle, c); len(idle) > 200 { // the server has closed it long before
			idle[0].Close()
			idle = idle[1:]
		}
	}
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	require.NoError(t, login("op", userKey, secondHostKey))
}

// stalledConn is a client's connection. Once stalled is closed, a Read that has received something blocks forever.
type stalledConn struct {
	net.Conn
	stalled chan struct{}
}

// Read implements io.Reader.
func (c stalledConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.stalled:
		select {} // block, so that the client never answers what it has received
	default:
		return n, err
	}
}

// TestSilentClient checks that a client that stops answering keep-alives is disconnected, and one that answers is not.
func TestSilentClient(t *testing.T) {
	ts := newTestServer(t)
	hostKey, _ := newKey(t)
	userKey, _ := newKey(t)
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(ts.Server, &testAccess{hostKeys: []ssh.Signer{hostKey}, userKeys: map[string][]ssh.PublicKey{"op": {userKey.PublicKey()}}}, discardLog)
	listener.keepAliveInterval = 100 * time.Millisecond
	go func() { _ = listener.Serve(t.Context(), tcpListener) }()
	netConn, err := net.Dial("tcp", tcpListener.Addr().String())
	require.NoError(t, err)
	defer netConn.Close()
	stalled := make(chan struct{})
	conn, channels, requests, err := ssh.NewClientConn(stalledConn{netConn, stalled}, "", &ssh.ClientConfig{User: "op", Auth: []ssh.AuthMethod{ssh.PublicKeys(userKey)},
		HostKeyCallback: ssh.FixedHostKey(hostKey.PublicKey())})
	require.NoError(t, err)
	ssh.NewClient(conn, channels, requests) // answers global requests, as any client does
	clients := func() int {
		listener.mu.Lock()
		defer listener.mu.Unlock()
		return len(listener.clients)
	}
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, 1, clients(), "keep-alives are answered")
	close(stalled)
	require.Eventually(t, func() bool { return clients() == 0 }, 5*time.Second, 10*time.Millisecond)
}
