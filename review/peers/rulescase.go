//go:build review2

package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/crypto/ssh"
	"golang.org/x/crypto/ssh/knownhosts"
)

// Users of the management interface. The operator may do everything, the desk what the rules permit.
const (
	operatorUser = "op"
	deskUser     = "desk"
)

// newKey writes a private key to a file of the temporary folder and returns its path and its public half.
func (t *trial) newKey(name string) (path string, public ssh.PublicKey, err error) {
	pub, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", nil, err
	}
	block, err := ssh.MarshalPrivateKey(private, name)
	if err != nil {
		return "", nil, err
	}
	if public, err = ssh.NewPublicKey(pub); err != nil {
		return "", nil, err
	}
	path = t.path(name + ".key")
	return path, public, os.WriteFile(path, pem.EncodeToMemory(block), 0o600)
}

// netconfSite is a site that is managed over NETCONF.
type netconfSite struct {
	*site
	address string
	hosts   string            // file of the host keys
	keys    map[string]string // files of the users' keys
}

// newNetconfSite prepares a controller with NETCONF over SSH and a journal, and starts it.
func newNetconfSite(t *trial) (*netconfSite, error) {
	s, err := newSite(t, longHold)
	if err != nil {
		return nil, err
	}
	n := &netconfSite{site: s, keys: map[string]string{}}
	if n.address, err = t.freeAddress(); err != nil {
		return nil, err
	}
	hostKey, hostPublic, err := t.newKey("host")
	if err != nil {
		return nil, err
	}
	users := ""
	for _, name := range []string{operatorUser, deskUser} {
		path, public, err := t.newKey(name)
		if err != nil {
			return nil, err
		}
		n.keys[name] = path
		users += fmt.Sprintf("[[user]]\nname = %q\nkeys = [%q]\nrecovery = %v\n", name,
			strings.TrimSpace(string(ssh.MarshalAuthorizedKey(public))), name == operatorUser)
	}
	n.hosts = t.path("hosts")
	if err := os.WriteFile(n.hosts, []byte(knownhosts.Line([]string{n.address}, hostPublic)+"\n"), 0o600); err != nil {
		return nil, err
	}
	file, err := t.writeFile("netconf.toml", fmt.Sprintf("enabled = true\nlisten = %q\nhost_keys = [%q]\njournal = %q\n%s",
		n.address, hostKey, filepath.Join(t.dir, "journal"), users))
	if err != nil {
		return nil, err
	}
	s.env = append(s.env, "BROOKMUX_NETCONF="+file)
	return n, s.boot()
}

// do runs a config command of the program as a user, and returns what it prints.
func (n *netconfSite) do(user string, args ...string) (string, error) {
	args = append([]string{"config", "--address", n.address, "--user", user, "--key", n.keys[user], "--hosts", n.hosts}, args...)
	out, err := exec.Command("bin/brookmux", args...).CombinedOutput()
	n.log(user, "config %s: %v %s", strings.Join(args[9:], " "), err, strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
	return string(out), err
}

// trialRestart: the first rule of a list is removed on trial, and the controller is killed before the trial is confirmed.
// The configuration has to end as it was before the trial, or as it was on trial.
func trialRestart(t *trial) error {
	const rules = "/nacm/rule-list[name='desk']/"
	n, err := newNetconfSite(t)
	if err != nil {
		return err
	}
	if _, err := n.do(operatorUser, "set", "/nacm/groups/group[name='desk']/user-name[.='desk']=desk", rules+"group[.='desk']=desk",
		rules+"rule[name='no-exchanges']/path=/exchanges", rules+"rule[name='no-exchanges']/action=deny",
		rules+"rule[name='no-exchanges']/access-operations=create update delete",
		rules+"rule[name='rest']/action=permit", rules+"rule[name='rest']/access-operations=*"); err != nil {
		return err
	}
	if _, err := n.do(operatorUser, "commit"); err != nil {
		return err
	}
	before, err := n.do(operatorUser, "get", "/nacm")
	if err != nil {
		return err
	}
	// A change by the desk, which the first rule denies.
	change := []string{"set", "/exchanges/exchange[number='9']/address=" + n.core.address(), "/exchanges/exchange[number='9']/zone=kochi"}
	if _, err := n.do(deskUser, change...); err == nil {
		return errors.New("the desk may change exchanges at the start")
	}
	if _, err := n.do(operatorUser, "set", "--remove", rules+"rule[name='no-exchanges']"); err != nil {
		return err
	}
	if _, err := n.do(operatorUser, "commit", "--trial", "5m"); err != nil {
		return err
	}
	onTrial, err := n.do(operatorUser, "get", "/nacm")
	if err != nil {
		return err
	}
	if t.trouble {
		if err := n.returnAfterDeath(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	now, err := n.do(operatorUser, "get", "/nacm")
	if err != nil {
		return err
	}
	_, denied := n.do(deskUser, change...)
	t.log("check", "as before the trial: %v; as on trial: %v; the desk is denied a change of exchanges: %v", now == before, now == onTrial, denied != nil)
	if now != before && now != onTrial {
		return t.broken("the configuration is neither that before the trial nor that of the trial; the desk is denied its change: %v", denied != nil)
	}
	return nil
}
