package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/openconfig/gnmi/proto/gnmi"
	"github.com/openconfig/gnmi/proto/gnmi_ext"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"brookmux/internal/schema"
)

// gnmiTimeout limits one gNMI command, connection included.
const gnmiTimeout = 30 * time.Second

// errNeedsNETCONF is returned for commands that gNMI does not support.
var errNeedsNETCONF = errors.New("gNMI has no candidate and no history: use --via netconf")

// gnmiTarget holds the TLS files for a connection over gNMI.
type gnmiTarget struct {
	Cert string `help:"gNMI: file with the client certificate; without it the address must be loopback." type:"existingfile"`
	CA   string `help:"gNMI: file with the CA of the controllers' certificates." type:"existingfile"`
}

// credentials returns the transport credentials for gNMI: mutual TLS, or none for a loopback address without --cert.
func (t target) credentials() (credentials.TransportCredentials, error) {
	if t.Cert == "" {
		host, _, err := net.SplitHostPort(t.Address)
		if err != nil {
			return nil, err
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return nil, fmt.Errorf("%s is not a loopback address: --cert is needed", t.Address)
		}
		return insecure.NewCredentials(), nil
	}
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s holds no certificate", t.CA)
	}
	return credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}), nil
}

// overGNMI calls f with a gNMI connection and closes it. Errors contain the gRPC code and message.
func (t target) overGNMI(f func(context.Context, gnmi.GNMIClient) error) error {
	creds, err := t.credentials()
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient(t.Address, grpc.WithTransportCredentials(creds))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), gnmiTimeout)
	defer cancel()
	err = f(ctx, gnmi.NewGNMIClient(conn))
	if s, ok := status.FromError(err); ok && err != nil {
		err = fmt.Errorf("%s: %s", s.Code(), s.Message())
	}
	return errors.Join(err, conn.Close())
}

// gnmiPath parses a path and returns its gNMI form.
func gnmiPath(text string) (*gnmi.Path, error) {
	steps, err := schema.ParsePath(text)
	if err != nil {
		return nil, err
	}
	p := &gnmi.Path{}
	for _, s := range steps {
		p.Elem = append(p.Elem, &gnmi.PathElem{Name: s.Name, Key: s.Keys})
	}
	return p, nil
}

// overGNMI prints the leaves below the path, one per line.
func (g getCommand) overGNMI(t *configCommands, out io.Writer) error {
	kind, ok := map[string]gnmi.GetRequest_DataType{"running": gnmi.GetRequest_CONFIG, "state": gnmi.GetRequest_ALL}[g.Datastore]
	if !ok {
		return errNeedsNETCONF
	}
	p, err := gnmiPath(g.Path)
	if err != nil {
		return err
	}
	return t.overGNMI(func(ctx context.Context, c gnmi.GNMIClient) error {
		r, err := c.Get(ctx, &gnmi.GetRequest{Path: []*gnmi.Path{p}, Type: kind, Encoding: gnmi.Encoding_PROTO})
		if err != nil {
			return err
		}
		for _, n := range r.GetNotification() {
			for _, u := range n.GetUpdate() {
				var b strings.Builder
				for _, e := range u.GetPath().GetElem() {
					b.WriteString("/" + e.GetName())
					names := make([]string, 0, len(e.GetKey()))
					for k := range e.GetKey() {
						names = append(names, k)
					}
					slices.Sort(names)
					for _, k := range names {
						b.WriteString("[" + k + "=" + schema.Quote(e.GetKey()[k]) + "]")
					}
				}
				fmt.Fprintf(out, "%s = %s\n", b.String(), leafText(u.GetVal()))
			}
		}
		return nil
	})
}

// leafText returns a leaf's value as text.
func leafText(v *gnmi.TypedValue) string {
	switch x := v.GetValue().(type) {
	case *gnmi.TypedValue_StringVal:
		return x.StringVal
	case *gnmi.TypedValue_UintVal:
		return fmt.Sprint(x.UintVal)
	case *gnmi.TypedValue_IntVal:
		return fmt.Sprint(x.IntVal)
	case *gnmi.TypedValue_BoolVal:
		return fmt.Sprint(x.BoolVal)
	}
	return v.String()
}

// overGNMI makes all changes in one Set, as a confirmed commit if Trial is set.
func (s setCommand) overGNMI(t *configCommands, set []schema.Item) error {
	r := &gnmi.SetRequest{}
	for _, i := range set {
		p, err := gnmiPath(i.Path)
		if err != nil {
			return err
		}
		r.Update = append(r.Update, &gnmi.Update{Path: p, Val: &gnmi.TypedValue{Value: &gnmi.TypedValue_StringVal{StringVal: i.Value}}})
	}
	for _, path := range s.Remove {
		p, err := gnmiPath(path)
		if err != nil {
			return err
		}
		r.Delete = append(r.Delete, p)
	}
	if s.Trial > 0 {
		r.Extension = commitExtension(&gnmi_ext.Commit{Id: s.Persist, Action: &gnmi_ext.Commit_Commit{Commit: &gnmi_ext.CommitRequest{
			RollbackDuration: durationpb.New(s.Trial)}}})
	}
	return t.set(r)
}

// commitExtension returns the extensions of a request with the commit-confirmed extension.
func commitExtension(c *gnmi_ext.Commit) []*gnmi_ext.Extension {
	return []*gnmi_ext.Extension{{Ext: &gnmi_ext.Extension_Commit{Commit: c}}}
}

// set sends a Set request.
func (t target) set(r *gnmi.SetRequest) error {
	return t.overGNMI(func(ctx context.Context, c gnmi.GNMIClient) error {
		_, err := c.Set(ctx, r)
		return err
	})
}
