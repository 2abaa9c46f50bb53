package playback

import (
	"context"
	"regexp"
	"strings"
	"time"

	"github.com/openconfig/gnmi/proto/gnmi"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
)

// operator is a gNMI client. Its steps are messages as text: "sends" names the call and the request, "gets"
// the response without its timestamps, or "code NAME".
type operator struct {
	conn   *grpc.ClientConn
	cancel context.CancelFunc
	ctx    context.Context
	stream gnmi.GNMI_SubscribeClient
	got    proto.Message
	err    error
}

// operate plays an operator's step.
func (s *stage) operate(name, verb, payload string) {
	o := s.operators[name]
	if o == nil {
		creds := insecure.NewCredentials()
		if s.tls != nil {
			creds = s.tls.operator(s.t, name)
		}
		conn, err := grpc.NewClient(s.log.address(s.t, "gnmi listens"), grpc.WithTransportCredentials(creds))
		require.NoError(s.t, err)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		o = &operator{conn: conn, ctx: ctx, cancel: cancel}
		s.operators[name] = o
		s.t.Cleanup(func() { cancel(); conn.Close() })
	}
	if verb == "sends" {
		o.send(s, payload)
		return
	}
	o.receive()
	defer func() { o.got, o.err = nil, nil }()
	if code, ok := strings.CutPrefix(payload, "code "); ok {
		require.Error(s.t, o.err)
		require.Equal(s.t, code, status.Code(o.err).String(), "%v", o.err)
		return
	}
	require.NoError(s.t, o.err)
	want := o.got.ProtoReflect().New().Interface()
	require.NoError(s.t, prototext.Unmarshal([]byte(payload), want))
	stamps := regexp.MustCompile(`timestamp:\s*\d+\s*`)
	got := stamps.ReplaceAllString(prototext.MarshalOptions{Multiline: true}.Format(o.got), "")
	require.Equal(s.t, clean(prototext.MarshalOptions{Multiline: true}.Format(want)), clean(got))
}

// clean undoes the blanks that prototext puts in at random so that nobody relies on its form.
func clean(text string) string { return strings.Join(strings.Fields(text), " ") }

// send makes a call. One that finds no leader, as right after the start, is made again.
func (o *operator) send(s *stage, payload string) {
	name, text, _ := strings.Cut(payload, "\n")
	call := func(m proto.Message) {
		require.NoError(s.t, prototext.Unmarshal([]byte(text), m))
	}
	c := gnmi.NewGNMIClient(o.conn)
	o.got, o.err = nil, nil
	switch name {
	case "Capabilities":
		o.got, o.err = c.Capabilities(o.ctx, &gnmi.CapabilityRequest{})
	case "Get":
		r := &gnmi.GetRequest{}
		call(r)
		o.got, o.err = c.Get(o.ctx, r)
	case "Set":
		r := &gnmi.SetRequest{}
		call(r)
		for deadline := time.Now().Add(patience); ; {
			o.got, o.err = c.Set(o.ctx, r)
			if status.Code(o.err).String() != "Unavailable" || time.Now().After(deadline) {
				return
			}
		}
	case "Subscribe":
		r := &gnmi.SubscribeRequest{}
		call(r)
		if r.GetSubscribe() != nil || o.stream == nil {
			o.stream, o.err = c.Subscribe(o.ctx)
			require.NoError(s.t, o.err)
		}
		require.NoError(s.t, o.stream.Send(r))
	default:
		require.Fail(s.t, "unknown call", name)
	}
}

// receive waits for the next message of a stream, where the last call was one.
func (o *operator) receive() {
	if o.got == nil && o.err == nil {
		var m *gnmi.SubscribeResponse
		m, o.err = o.stream.Recv()
		if o.err == nil {
			o.got = m
		}
	}
}
