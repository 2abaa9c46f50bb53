package netconf

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/beevik/etree"
	"golang.org/x/crypto/ssh"

	"brookmux/internal/datastore"
	"brookmux/internal/schema"
)

// Client is one NETCONF session with a server, used by the command line. It is not safe for concurrent use.
type Client struct {
	Model  *schema.Model
	conn   io.Closer
	framer framer
	lastID int // message-id of the last request
}

// Dial connects to address, logs in and opens a session. The caller closes the Client.
func Dial(address string, c *ssh.ClientConfig, m *schema.Model) (*Client, error) {
	conn, err := ssh.Dial("tcp", address, c)
	if err != nil {
		return nil, fmt.Errorf("netconf: %w", err)
	}
	client, err := openSession(conn, m)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("netconf: %w", err), conn.Close())
	}
	return client, nil
}

// openSession starts the netconf subsystem on a connection and exchanges the hellos. It requires a server that supports
// base:1.1.
func openSession(conn *ssh.Client, m *schema.Model) (*Client, error) {
	sshSession, err := conn.NewSession()
	if err != nil {
		return nil, err
	}
	in, err := sshSession.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := sshSession.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := sshSession.RequestSubsystem("netconf"); err != nil {
		return nil, err
	}
	client := &Client{Model: m, conn: conn, framer: framer{r: bufio.NewReader(out), w: in}}
	if err := client.framer.write([]byte(`<hello xmlns="` + baseNS + `"><capabilities><capability>` + base11 + `</capability></capabilities></hello>`)); err != nil {
		return nil, err
	}
	hello, err := client.framer.read()
	if err != nil {
		return nil, err
	}
	if !strings.Contains(string(hello), base11) {
		return nil, errors.New("the server does not support NETCONF 1.1")
	}
	client.framer.chunked = true
	return client, nil
}

// Close closes the connection, which ends the session.
func (c *Client) Close() error { return c.conn.Close() }

// Do executes an operation, given as XML, and returns the data element of the reply, or nil for ok. Errors in the reply
// are returned joined, each with its tag, path and message. Notifications that arrive before the reply are dropped.
func (c *Client) Do(op string) (*etree.Element, error) {
	if err := c.sendRPC(op); err != nil {
		return nil, err
	}
	for {
		e, err := c.readMessage()
		if err != nil {
			return nil, err
		}
		if e.Tag != "notification" {
			return parseReply(e)
		}
	}
}

// sendRPC sends an operation in an rpc element with the next message-id.
func (c *Client) sendRPC(op string) error {
	c.lastID++
	if err := c.framer.write([]byte(fmt.Sprintf(`<rpc xmlns="%s" message-id="%d">%s</rpc>`, baseNS, c.lastID, op))); err != nil {
		return fmt.Errorf("netconf: %w", err)
	}
	return nil
}

// parseReply returns the data element of a reply, nil if there is none, or the errors of the reply, joined.
func parseReply(e *etree.Element) (*etree.Element, error) {
	var errs []error
	for _, child := range e.ChildElements() {
		switch child.Tag {
		case "rpc-error":
			parts := []string{childText(child, "error-tag")}
			for _, name := range []string{"error-path", "error-message"} {
				if t := childText(child, name); t != "" {
					parts = append(parts, t)
				}
			}
			errs = append(errs, errors.New(strings.Join(parts, ": ")))
		case "data":
			return child, nil
		}
	}
	return nil, errors.Join(errs...)
}

// readMessage reads and parses the next message.
func (c *Client) readMessage() (*etree.Element, error) {
	b, err := c.framer.read()
	if err != nil {
		return nil, fmt.Errorf("netconf: %w", err)
	}
	e, err := parseXML(b)
	if err != nil {
		return nil, fmt.Errorf("netconf: %w", err)
	}
	return e, nil
}

// GetConfig reads the configuration in a datastore. With withState it reads running and all state data instead.
func (c *Client) GetConfig(source datastore.Target, withState bool) (*schema.Node, error) {
	op := "<get-config><source><" + string(source) + "/></source></get-config>"
	if withState {
		op = "<get/>"
	}
	data, err := c.Do(op)
	if err != nil {
		return nil, err
	}
	tree := c.Model.NewTree()
	return tree, fillTree(tree, data)
}

// fillTree adds the contents of a data element, state included, below a node.
func fillTree(parent *schema.Node, e *etree.Element) error {
	for _, child := range e.ChildElements() {
		def := parent.Def.Child(child.Tag)
		if def == nil {
			continue // from a module that this model does not have
		}
		var keys []string
		if def.HasValue() {
			v, err := def.Canonical(child.Text())
			if err != nil {
				return err
			}
			keys = []string{v}
		}
		for _, k := range def.Keys {
			keys = append(keys, childText(child, k))
		}
		node, err := parent.Add(def, keys...)
		if err != nil && !errors.Is(err, schema.ErrExists) {
			return err
		}
		if err := fillTree(node, child); err != nil {
			return err
		}
	}
	return nil
}

// Edit changes the candidate in one request: it sets the items and deletes the nodes at the paths in remove. The result
// is not validated.
func (c *Client) Edit(set []schema.Item, remove []string) error {
	var b bytes.Buffer
	tree := c.Model.NewTree()
	for _, i := range set {
		if err := tree.Put(i); err != nil {
			return err
		}
	}
	writeChildren(&b, tree, explicit)
	for _, p := range remove {
		if err := writeDelete(&b, c.Model, p); err != nil {
			return err
		}
	}
	_, err := c.Do(`<edit-config><target><candidate/></target><test-option>set</test-option><config xmlns:nc="` + baseNS + `">` +
		b.String() + "</config></edit-config>")
	return err
}

// writeDelete appends an edit that deletes the node at a path.
func writeDelete(b *bytes.Buffer, m *schema.Model, path string) error {
	steps, err := schema.ParsePath(path)
	if err != nil {
		return err
	}
	def, endTags := m.Root, ""
	for i, step := range steps {
		if def = def.Child(step.Name); def == nil {
			return fmt.Errorf("%s: no node %s in the model", path, step.Name)
		}
		b.WriteString("<" + step.Name + ` xmlns="` + def.Namespace + `"`)
		if i == len(steps)-1 {
			b.WriteString(` nc:operation="delete"`)
		}
		b.WriteString(">")
		writeEscaped(b, step.Keys["."])
		for _, k := range def.Keys {
			writeElement(b, k, step.Keys[k])
		}
		endTags = "</" + step.Name + ">" + endTags
	}
	b.WriteString(endTags)
	return nil
}

// Watch subscribes to notifications and calls handle with the eventTime and the content of each until the session ends
// or handle returns an error, which it returns. If since is not zero, the server first replays the stored notifications
// from that time on.
func (c *Client) Watch(since time.Time, handle func(at string, e *etree.Element) error) error {
	start := ""
	if !since.IsZero() {
		start = "<startTime>" + since.UTC().Format(time.RFC3339) + "</startTime>"
	}
	if err := c.sendRPC(`<create-subscription xmlns="` + notificationNS + `">` + start + "</create-subscription>"); err != nil {
		return err
	}
	for {
		e, err := c.readMessage()
		if err != nil {
			return err
		}
		if e.Tag != "notification" {
			if _, err := parseReply(e); err != nil {
				return err
			}
			continue
		}
		for _, child := range e.ChildElements() {
			if child.Tag != "eventTime" {
				if err := handle(childText(e, "eventTime"), child); err != nil {
					return err
				}
			}
		}
	}
}

// Escape returns a text escaped for use in XML.
func Escape(s string) string {
	var b bytes.Buffer
	writeEscaped(&b, s)
	return b.String()
}
