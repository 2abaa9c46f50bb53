package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"os/user"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/beevik/etree"
	"github.com/openconfig/gnmi/proto/gnmi"
	"github.com/openconfig/gnmi/proto/gnmi_ext"
	"github.com/willabides/kongplete"
	"golang.org/x/crypto/ssh"
	"golang.org/x/crypto/ssh/knownhosts"

	"brookmux/internal/datastore"
	"brookmux/internal/m3ua"
	"brookmux/internal/netconf"
	"brookmux/internal/schema"
	"brookmux/internal/stormconf"
	"brookmux/yang"
)

// commands is the command line. Without a command, brookmux serves; the platform starts it so.
type commands struct {
	Serve   serveCommand   `cmd:"" default:"1" help:"Serve calls; the default without a command. Environment variables name the files, see the README."`
	Check   checkCommand   `cmd:"" help:"Read all files as serve does and report each fault; the exit code is 1 if there is any."`
	Config  configCommands `cmd:"" help:"Read and change the configuration of a running controller, over NETCONF or gNMI."`
	Watch   watchCommand   `cmd:"" help:"Print changes of the configuration, of exchanges and of storms as they happen, until interrupted."`
	Version versionCommand `cmd:"" help:"Print the version, the Go release and the models."`

	Completions kongplete.InstallCompletions `cmd:"" help:"Print the shell configuration for completion of brookmux's commands."`
}

// runCommand parses and runs a command line and returns the exit code.
func runCommand(args []string, getenv func(string) string, out, errOut io.Writer) int {
	code := 0
	parser, err := kong.New(&commands{}, kong.Name("brookmux"), kong.Description("A border controller: admits calls, routes them and relays their outcomes."),
		kong.Writers(out, errOut), kong.BindTo(out, (*io.Writer)(nil)), kong.Bind(env(getenv)), kong.Exit(func(n int) { panic(exitCode(n)) }))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	func() {
		defer func() { // help and completion exit from the parser
			switch p := recover().(type) {
			case nil:
			case exitCode:
				code = int(p)
			default:
				panic(p)
			}
		}()
		if getenv("COMP_LINE") != "" { // the shell asks for completions
			kongplete.Complete(parser)
		}
		c, err := parser.Parse(args)
		if err == nil {
			err = c.Run()
		}
		if err != nil {
			fmt.Fprintf(errOut, "brookmux: %v\n", err)
			code = 1
		}
	}()
	return code
}

// exitCode is the panic value by which kong's exit function leaves the parser.
type exitCode int

// env looks up an environment variable, as os.Getenv does.
type env func(string) string

type serveCommand struct {
	LogFormat string `help:"Log format: text or json." enum:"text,json" default:"text" env:"BROOKMUX_LOG_FORMAT"`
	LogLevel  string `help:"Lowest level that is logged; debug logs every attempt, release and connection." enum:"debug,info,warn,error" default:"info" env:"BROOKMUX_LOG_LEVEL"`
}

// Run serves until SIGTERM or an interrupt; SIGHUP reloads the platform configuration.
func (c serveCommand) Run(out io.Writer, getenv env) error {
	level := &slog.LevelVar{}
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level}
	log := slog.New(slog.NewTextHandler(out, options))
	if c.LogFormat == "json" {
		log = slog.New(slog.NewJSONHandler(out, options))
	}
	// Separate channels: a signal is dropped if its channel is full, and a reload must not hide a stop.
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	if err := run(context.Background(), getenv, s, log, level, setProcessLimits); err != nil {
		log.Error("brookmux", "error", err)
		return errors.New("stopped on an error: see the log")
	}
	return nil
}

type checkCommand struct{}

// Run reads all files, prints the result of each and returns an error if any has a fault.
func (checkCommand) Run(out io.Writer, getenv env) error {
	faults := 0
	check := func(path string, err error) {
		if err != nil {
			faults++
			fmt.Fprintf(out, "%s: %v\n", path, err)
			return
		}
		fmt.Fprintf(out, "%s: ok\n", path)
	}
	platform := getenv("GW_CONFIG")
	_, err := loadPlatform(platform, getenv("GW_LISTEN"))
	check(cmp.Or(platform, "GW_CONFIG"), err)
	path := cmp.Or(getenv("BROOKMUX_M3UA"), "deploy/m3ua.toml")
	_, err = m3ua.Load(path)
	check(path, err)
	path = cmp.Or(getenv("BROOKMUX_STORE"), "deploy/store.toml")
	_, err = loadStore(path)
	check(path, err)
	path = cmp.Or(getenv("BROOKMUX_STORM"), "deploy/storm.toml")
	_, err = stormconf.Load(path)
	check(path, err)
	path = cmp.Or(getenv("BROOKMUX_NETCONF"), "deploy/netconf.toml")
	_, err = loadNETCONF(path)
	check(path, err)
	if faults > 0 {
		return fmt.Errorf("%d files can't be served", faults)
	}
	return nil
}

type versionCommand struct{}

// Run prints the version, the Go release and the YANG modules with their revisions.
func (versionCommand) Run(out io.Writer) error {
	version, release := "unknown", ""
	if b, ok := debug.ReadBuildInfo(); ok {
		version, release = cmp.Or(b.Main.Version, version), b.GoVersion
	}
	m, err := schema.Load(yang.Files)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "brookmux %s %s\n", version, release)
	for _, x := range m.Modules {
		fmt.Fprintf(out, "%s %s\n", x.Name, x.Revision)
	}
	return nil
}

// target selects the controller that a command connects to.
type target struct {
	Via     string `help:"Protocol: netconf or gnmi." enum:"netconf,gnmi" default:"netconf" env:"BROOKMUX_VIA"`
	Address string `help:"Address of its NETCONF or gNMI listener." default:"127.0.0.1:830" env:"BROOKMUX_ADDRESS"`
	User    string `help:"User name; the name of the current user if not given." env:"BROOKMUX_USER"`
	Key     string `help:"File with the private key." type:"existingfile" env:"BROOKMUX_KEY"`
	Hosts   string `help:"NETCONF: file with the host keys of controllers, in known_hosts format." type:"existingfile" env:"BROOKMUX_KNOWN_HOSTS"`
	gnmiTarget
}

// dial opens a NETCONF session. The caller closes the client.
func (t target) dial() (*netconf.Client, error) {
	if t.Via == "gnmi" {
		return nil, errNeedsNETCONF
	}
	if t.Key == "" || t.Hosts == "" {
		return nil, errors.New("--key and --hosts are needed")
	}
	text, err := os.ReadFile(t.Key)
	if err != nil {
		return nil, err
	}
	key, err := ssh.ParsePrivateKey(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", t.Key, err)
	}
	hosts, err := knownhosts.New(t.Hosts)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", t.Hosts, err)
	}
	if t.User == "" {
		u, err := user.Current()
		if err != nil {
			return nil, err
		}
		t.User = u.Username
	}
	model, err := schema.Load(yang.Files)
	if err != nil {
		return nil, err
	}
	return netconf.Dial(t.Address, &ssh.ClientConfig{User: t.User, Auth: []ssh.AuthMethod{ssh.PublicKeys(key)},
		HostKeyCallback: hosts, Timeout: 10 * time.Second}, model)
}

// withSession calls f with a NETCONF session and closes the session.
func (t target) withSession(f func(*netconf.Client) error) error {
	c, err := t.dial()
	if err != nil {
		return err
	}
	err = f(c)
	if end := c.Close(); err == nil {
		err = end
	}
	return err
}

// execute sends one NETCONF operation in a session of its own.
func (t target) execute(op string) error {
	return t.withSession(func(c *netconf.Client) error {
		_, err := c.Do(op)
		return err
	})
}

type configCommands struct {
	target
	Get      getCommand      `cmd:"" help:"Print a configuration, one leaf per line: path = value."`
	Set      setCommand      `cmd:"" help:"Change the candidate, or running with --via gnmi: paths with values, such as /limits/max-wait=5."`
	Diff     diffCommand     `cmd:"" help:"Print the differences between candidate and running."`
	Commit   commitCommand   `cmd:"" help:"Copy the candidate to running, on trial with --trial."`
	Confirm  confirmCommand  `cmd:"" help:"Confirm a commit on trial."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel a commit on trial and restore the configuration before it."`
	Discard  discardCommand  `cmd:"" help:"Reset the candidate to running."`
	Rollback rollbackCommand `cmd:"" help:"Restore an earlier revision."`
	History  historyCommand  `cmd:"" help:"Print the revisions available for rollback."`
}

type getCommand struct {
	Path      string `arg:"" optional:"" help:"Print only this path."`
	Datastore string `help:"Datastore to print; state is running with operational state." enum:"running,candidate,startup,state" default:"running"`
}

// Run prints a datastore.
func (g getCommand) Run(t *configCommands, out io.Writer) error {
	if t.Via == "gnmi" {
		return g.overGNMI(t, out)
	}
	return t.withSession(func(c *netconf.Client) error {
		tree, err := c.GetConfig(datastore.Target(g.Datastore), g.Datastore == "state")
		if err != nil {
			return err
		}
		if g.Path != "" {
			if tree, err = tree.Find(g.Path); err != nil {
				return err
			}
		}
		for _, i := range tree.Items() {
			fmt.Fprintf(out, "%s = %s\n", i.Path, i.Value)
		}
		return nil
	})
}

type setCommand struct {
	Changes []string `arg:"" optional:"" help:"Paths with values: PATH=VALUE."`
	Remove  []string `help:"Path to remove; may be repeated." sep:"none"`

	Trial   time.Duration `help:"gNMI: revert after this time unless confirmed."`
	Persist string        `help:"gNMI: identifier for confirming or cancelling the trial." default:"brookmux"`
}

// Run changes the candidate.
func (s setCommand) Run(t *configCommands) error {
	var set []schema.Item
	for _, text := range s.Changes {
		end := strings.LastIndexByte(text, ']') + 1 // key predicates contain = as well
		path, value, _ := strings.Cut(text[end:], "=")
		set = append(set, schema.Item{Path: text[:end] + path, Value: value})
	}
	if t.Via == "gnmi" {
		return s.overGNMI(t, set)
	}
	if s.Trial != 0 {
		return errors.New("--trial is for the commit, or for --via gnmi")
	}
	return t.withSession(func(c *netconf.Client) error { return c.Edit(set, s.Remove) })
}

type diffCommand struct{}

// Run prints one line for each value removed (-) or added (+), and nothing if there is no difference.
func (diffCommand) Run(t *configCommands, out io.Writer) error {
	return t.withSession(func(c *netconf.Client) error {
		running, err := c.GetConfig(datastore.Running, false)
		if err != nil {
			return err
		}
		candidate, err := c.GetConfig(datastore.Candidate, false)
		if err != nil {
			return err
		}
		for _, d := range schema.Diff(running, candidate) {
			if d.Old != nil {
				fmt.Fprintf(out, "- %s = %s\n", d.Path, *d.Old)
			}
			if d.New != nil {
				fmt.Fprintf(out, "+ %s = %s\n", d.Path, *d.New)
			}
		}
		return nil
	})
}

type commitCommand struct {
	Trial   time.Duration `help:"Revert after this time unless confirmed, such as 5m."`
	Persist string        `help:"Identifier for confirming or cancelling the trial." default:"brookmux"`
}

// Run commits the candidate; with a trial time, as a confirmed commit (RFC 6241, 8.4).
func (x commitCommand) Run(t *configCommands) error {
	if x.Trial < 0 || x.Trial > 0 && x.Trial < time.Second {
		return fmt.Errorf("--trial is %v: at least one second is needed", x.Trial)
	}
	if x.Trial == 0 {
		return t.execute("<commit/>")
	}
	return t.execute("<commit><confirmed/><confirm-timeout>" + strconv.Itoa(int(x.Trial.Seconds())) + "</confirm-timeout><persist>" +
		netconf.Escape(x.Persist) + "</persist></commit>")
}

type confirmCommand struct {
	Persist string `help:"Identifier of the trial." default:"brookmux"`
}

// Run confirms a commit on trial.
func (x confirmCommand) Run(t *configCommands) error {
	if t.Via == "gnmi" {
		return t.set(&gnmi.SetRequest{Extension: commitExtension(&gnmi_ext.Commit{Id: x.Persist, Action: &gnmi_ext.Commit_Confirm{Confirm: &gnmi_ext.CommitConfirm{}}})})
	}
	return t.execute("<commit><persist-id>" + netconf.Escape(x.Persist) + "</persist-id></commit>")
}

type cancelCommand struct {
	Persist string `help:"Identifier of the trial." default:"brookmux"`
}

// Run cancels a commit on trial.
func (x cancelCommand) Run(t *configCommands) error {
	if t.Via == "gnmi" {
		return t.set(&gnmi.SetRequest{Extension: commitExtension(&gnmi_ext.Commit{Id: x.Persist, Action: &gnmi_ext.Commit_Cancel{Cancel: &gnmi_ext.CommitCancel{}}})})
	}
	return t.execute("<cancel-commit><persist-id>" + netconf.Escape(x.Persist) + "</persist-id></cancel-commit>")
}

type discardCommand struct{}

// Run resets the candidate to running.
func (discardCommand) Run(t *configCommands) error { return t.execute("<discard-changes/>") }

type rollbackCommand struct {
	Revision uint64 `arg:"" help:"Revision number, see history."`
	Comment  string `help:"Comment stored with the rollback."`
}

// Run commits an earlier revision as the running configuration.
func (x rollbackCommand) Run(t *configCommands) error {
	return t.execute(`<rollback xmlns="urn:brookmux:transactions"><revision>` + strconv.FormatUint(x.Revision, 10) + "</revision><comment>" +
		netconf.Escape(x.Comment) + "</comment></rollback>")
}

type historyCommand struct{}

// Run prints the history, the newest first.
func (historyCommand) Run(t *configCommands, out io.Writer) error {
	return t.withSession(func(c *netconf.Client) error {
		tree, err := c.GetConfig(datastore.Running, true)
		if err != nil {
			return err
		}
		list := tree.Get("transactions")
		if list == nil {
			return nil
		}
		all := list.Children()
		for i := len(all) - 1; i >= 0; i-- {
			leaf := func(name string) string { v, _ := all[i].Leaf(name); return v }
			fmt.Fprintf(out, "%s %s %s %s/%s %s changes %s\n", leaf("revision"), leaf("at"), leaf("kind"), cmp.Or(leaf("user"), "-"),
				cmp.Or(leaf("via"), "-"), leaf("changes"), leaf("comment"))
		}
		return nil
	})
}

type watchCommand struct {
	target
	Since time.Duration `help:"Start with the stored events of this past period, such as 10m."`
}

// Run prints changes until the session ends.
func (w watchCommand) Run(out io.Writer) error {
	return w.withSession(func(c *netconf.Client) error {
		since := time.Time{}
		if w.Since > 0 {
			since = time.Now().Add(-w.Since)
		}
		return c.Watch(since, func(at string, e *etree.Element) error {
			if e.SelectElement("edit") == nil {
				fields := []string{at, e.Tag}
				for _, x := range e.ChildElements() {
					fields = append(fields, x.Tag+"="+x.Text())
				}
				_, err := fmt.Fprintln(out, strings.Join(fields, " "))
				return err
			}
			who := "-"
			if u := e.FindElement("changed-by/username"); u != nil {
				who = u.Text()
			}
			for _, x := range e.SelectElements("edit") {
				if _, err := fmt.Fprintf(out, "%s %s %s %s\n", at, who, x.SelectElement("operation").Text(), x.SelectElement("target").Text()); err != nil {
					return err
				}
			}
			return nil
		})
	})
}
