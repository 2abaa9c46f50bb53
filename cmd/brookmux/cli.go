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

// commands is the command line. Plain brookmux serves, as the platform starts it.
type commands struct {
	Serve   serveCommand   `cmd:"" default:"1" help:"Serve calls: what brookmux does without a command. Files are named by environment variables, see the README."`
	Check   checkCommand   `cmd:"" help:"Read all files as serve would, and name each fault; the exit code tells whether there is any."`
	Config  configCommands `cmd:"" help:"Read and change the configuration of a controller that serves, over NETCONF or gNMI."`
	Watch   watchCommand   `cmd:"" help:"Print each change of the configuration, of exchanges and of storms as it is made, until interrupted."`
	Version versionCommand `cmd:"" help:"Print the version, the Go release and the models."`

	Completions kongplete.InstallCompletions `cmd:"" help:"Print what the shell needs to complete brookmux's commands."`
}

// command runs the command line and returns the exit code.
func command(args []string, getenv func(string) string, out, errs io.Writer) int {
	code := 0
	parser, err := kong.New(&commands{}, kong.Name("brookmux"), kong.Description("A border controller: admits calls, routes them, relays what comes of them."),
		kong.Writers(out, errs), kong.BindTo(out, (*io.Writer)(nil)), kong.Bind(env(getenv)), kong.Exit(func(n int) { panic(exit(n)) }))
	if err != nil {
		fmt.Fprintln(errs, err)
		return 1
	}
	func() {
		defer func() { // help and completion end the parser
			switch p := recover().(type) {
			case nil:
			case exit:
				code = int(p)
			default:
				panic(p)
			}
		}()
		if getenv("COMP_LINE") != "" { // the shell asks what may come next
			kongplete.Complete(parser)
		}
		c, err := parser.Parse(args)
		if err == nil {
			err = c.Run()
		}
		if err != nil {
			fmt.Fprintf(errs, "brookmux: %v\n", err)
			code = 1
		}
	}()
	return code
}

// exit ends the command line with a code.
type exit int

// env reads the environment.
type env func(string) string

type serveCommand struct {
	LogFormat string `help:"Form of the log: text or json." enum:"text,json" default:"text" env:"BROOKMUX_LOG_FORMAT"`
	LogLevel  string `help:"Least level that is logged; debug logs every attempt, release and connection." enum:"debug,info,warn,error" default:"info" env:"BROOKMUX_LOG_LEVEL"`
}

// Run serves until it is told to end.
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
	// A channel each: a signal that finds its channel full is dropped, and a reload must never hide the end.
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	if err := run(context.Background(), getenv, s, log, level, tune); err != nil {
		log.Error("brookmux", "error", err)
		return errors.New("ended by an error: see the log")
	}
	return nil
}

type checkCommand struct{}

// Run reads all files.
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
	_, err = loadManage(path)
	check(path, err)
	path = cmp.Or(getenv("BROOKMUX_STORM"), "deploy/storm.toml")
	_, err = stormconf.Load(path)
	check(path, err)
	path = cmp.Or(getenv("BROOKMUX_NETCONF"), "deploy/netconf.toml")
	_, err = loadOperate(path)
	check(path, err)
	if faults > 0 {
		return fmt.Errorf("%d files can't be served", faults)
	}
	return nil
}

type versionCommand struct{}

// Run prints what this is.
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

// target is the controller that a command speaks with.
type target struct {
	Via     string `help:"How: netconf or gnmi." enum:"netconf,gnmi" default:"netconf" env:"BROOKMUX_VIA"`
	Address string `help:"Where its NETCONF or gNMI listens." default:"127.0.0.1:830" env:"BROOKMUX_ADDRESS"`
	User    string `help:"Who logs in; the own name if not given." env:"BROOKMUX_USER"`
	Key     string `help:"File with the private key." type:"existingfile" env:"BROOKMUX_KEY"`
	Hosts   string `help:"NETCONF: file with the keys that controllers show themselves by, as known_hosts." type:"existingfile" env:"BROOKMUX_KNOWN_HOSTS"`
	gnmiTarget
}

// dial opens a session.
func (t target) dial() (*netconf.Client, error) {
	if t.Via == "gnmi" {
		return nil, errNETCONF
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
	m, err := schema.Load(yang.Files)
	if err != nil {
		return nil, err
	}
	return netconf.Dial(t.Address, &ssh.ClientConfig{User: t.User, Auth: []ssh.AuthMethod{ssh.PublicKeys(key)},
		HostKeyCallback: hosts, Timeout: 10 * time.Second}, m)
}

// with opens a session for a function.
func (t target) with(f func(*netconf.Client) error) error {
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

// do carries out one operation.
func (t target) do(op string) error {
	return t.with(func(c *netconf.Client) error {
		_, err := c.Do(op)
		return err
	})
}

type configCommands struct {
	target
	Get      getCommand      `cmd:"" help:"Print a configuration, a line a leaf: path = value."`
	Set      setCommand      `cmd:"" help:"Change the candidate, or with --via gnmi running: paths with values, as /limits/max-wait=5."`
	Diff     diffCommand     `cmd:"" help:"Print how the candidate differs from running."`
	Commit   commitCommand   `cmd:"" help:"Make running what the candidate is, on trial with --trial."`
	Confirm  confirmCommand  `cmd:"" help:"Keep what was committed on trial."`
	Cancel   cancelCommand   `cmd:"" help:"Take back what was committed on trial."`
	Discard  discardCommand  `cmd:"" help:"Make the candidate what running is."`
	Rollback rollbackCommand `cmd:"" help:"Put an earlier revision in force again."`
	History  historyCommand  `cmd:"" help:"Print the revisions that can be gone back to."`
}

type getCommand struct {
	Path      string `arg:"" optional:"" help:"Print what is at this path only."`
	Datastore string `help:"Which one; state is running with all that is seen." enum:"running,candidate,startup,state" default:"running"`
}

// Run prints a datastore.
func (g getCommand) Run(t *configCommands, out io.Writer) error {
	if t.Via == "gnmi" {
		return g.gnmi(t, out)
	}
	return t.with(func(c *netconf.Client) error {
		tree, err := c.Config(datastore.Target(g.Datastore), g.Datastore == "state")
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
	Remove  []string `help:"Paths to remove, one each time." sep:"none"`

	Trial   time.Duration `help:"gNMI: take it back after this time unless it is confirmed."`
	Persist string        `help:"gNMI: the word by which a trial is confirmed or cancelled." default:"brookmux"`
}

// Run changes the candidate.
func (s setCommand) Run(t *configCommands) error {
	var set []schema.Item
	for _, text := range s.Changes {
		end := strings.LastIndexByte(text, ']') + 1 // values of keys hold = too
		path, value, _ := strings.Cut(text[end:], "=")
		set = append(set, schema.Item{Path: text[:end] + path, Value: value})
	}
	if t.Via == "gnmi" {
		return s.gnmi(t, set)
	}
	if s.Trial != 0 {
		return errors.New("--trial is for the commit, or for --via gnmi")
	}
	return t.with(func(c *netconf.Client) error { return c.Edit(set, s.Remove) })
}

type diffCommand struct{}

// Run prints the difference, and nothing where there is none.
func (diffCommand) Run(t *configCommands, out io.Writer) error {
	return t.with(func(c *netconf.Client) error {
		running, err := c.Config(datastore.Running, false)
		if err != nil {
			return err
		}
		candidate, err := c.Config(datastore.Candidate, false)
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
	Trial   time.Duration `help:"Take it back after this time unless it is confirmed, as 5m."`
	Persist string        `help:"The word by which a trial is confirmed or cancelled." default:"brookmux"`
}

// Run commits.
func (x commitCommand) Run(t *configCommands) error {
	if x.Trial < 0 || x.Trial > 0 && x.Trial < time.Second {
		return fmt.Errorf("--trial is %v: a second at least is needed", x.Trial)
	}
	if x.Trial == 0 {
		return t.do("<commit/>")
	}
	return t.do("<commit><confirmed/><confirm-timeout>" + strconv.Itoa(int(x.Trial.Seconds())) + "</confirm-timeout><persist>" +
		netconf.Escape(x.Persist) + "</persist></commit>")
}

type confirmCommand struct {
	Persist string `help:"The word that the trial was committed with." default:"brookmux"`
}

// Run confirms.
func (x confirmCommand) Run(t *configCommands) error {
	if t.Via == "gnmi" {
		return t.set(&gnmi.SetRequest{Extension: extension(&gnmi_ext.Commit{Id: x.Persist, Action: &gnmi_ext.Commit_Confirm{Confirm: &gnmi_ext.CommitConfirm{}}})})
	}
	return t.do("<commit><persist-id>" + netconf.Escape(x.Persist) + "</persist-id></commit>")
}

type cancelCommand struct {
	Persist string `help:"The word that the trial was committed with." default:"brookmux"`
}

// Run cancels.
func (x cancelCommand) Run(t *configCommands) error {
	if t.Via == "gnmi" {
		return t.set(&gnmi.SetRequest{Extension: extension(&gnmi_ext.Commit{Id: x.Persist, Action: &gnmi_ext.Commit_Cancel{Cancel: &gnmi_ext.CommitCancel{}}})})
	}
	return t.do("<cancel-commit><persist-id>" + netconf.Escape(x.Persist) + "</persist-id></cancel-commit>")
}

type discardCommand struct{}

// Run discards.
func (discardCommand) Run(t *configCommands) error { return t.do("<discard-changes/>") }

type rollbackCommand struct {
	Revision uint64 `arg:"" help:"The revision, see history."`
	Comment  string `help:"What is kept with it."`
}

// Run goes back.
func (x rollbackCommand) Run(t *configCommands) error {
	return t.do(`<rollback xmlns="urn:brookmux:transactions"><revision>` + strconv.FormatUint(x.Revision, 10) + "</revision><comment>" +
		netconf.Escape(x.Comment) + "</comment></rollback>")
}

type historyCommand struct{}

// Run prints the history, the newest first.
func (historyCommand) Run(t *configCommands, out io.Writer) error {
	return t.with(func(c *netconf.Client) error {
		tree, err := c.Config(datastore.Running, true)
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
	Since time.Duration `help:"Begin with what was kept since so long ago, as 10m."`
}

// Run prints changes until the session ends.
func (w watchCommand) Run(out io.Writer) error {
	return w.with(func(c *netconf.Client) error {
		since := time.Time{}
		if w.Since > 0 {
			since = time.Now().Add(-w.Since)
		}
		return c.Watch(since, func(at string, e *etree.Element) error {
			if e.SelectElement("edit") == nil {
				words := []string{at, e.Tag}
				for _, x := range e.ChildElements() {
					words = append(words, x.Tag+"="+x.Text())
				}
				_, err := fmt.Fprintln(out, strings.Join(words, " "))
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
