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

// operator is a gNMI client. The payload of "sends" is the RPC name and the request in text format; that of "gets" is
// the expected response without its timestamps, or "code NAME" for a gRPC status.
type operator struct {
	conn     *grpc.ClientConn
	cancel   context.CancelFunc
	ctx      context.Context
	stream   gnmi.GNMI_SubscribeClient
	response proto.Message
	err      error
}

// runOperatorStep plays a step of an operator, which connects on its first step.
func (s *session) runOperatorStep(name, verb, payload string) {
	o := s.operators[name]
	if o == nil {
		creds := insecure.NewCredentials()
		if s.authority != nil {
			creds = s.authority.operatorCredentials(s.t, name)
		}
		conn, err := grpc.NewClient(s.log.address(s.t, "gnmi listens"), grpc.WithTransportCredentials(creds))
		require.NoError(s.t, err)
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		o = &operator{conn: conn, ctx: ctx, cancel: cancel}
		s.operators[name] = o
		s.t.Cleanup(func() { cancel(); conn.Close() })
	}
	if verb == "sends" {
		o.send(s, payload)
		return
	}
	o.receive()
	defer func() { o.response, o.err = nil, nil }()
	if code, ok := strings.CutPrefix(payload, "code "); ok {
		require.Error(s.t, o.err)
		require.Equal(s.t, code, status.Code(o.err).String(), "%v", o.err)
		return
	}
	require.NoError(s.t, o.err)
	want := o.response.ProtoReflect().New().Interface()
	require.NoError(s.t, prototext.Unmarshal([]byte(payload), want))
	timestamps := regexp.MustCompile(`timestamp:\s*\d+\s*`)
	got := timestamps.ReplaceAllString(prototext.MarshalOptions{Multiline: true}.Format(o.response), "")
	require.Equal(s.t, normalizeSpace(prototext.MarshalOptions{Multiline: true}.Format(want)), normalizeSpace(got))
}

// normalizeSpace collapses white space: prototext varies it at random so that nobody relies on the exact output.
func normalizeSpace(text string) string { return strings.Join(strings.Fields(text), " ") }

// send makes an RPC. A Set that fails with Unavailable is repeated until stepTimeout: shortly after the start the store
// has no leader.
func (o *operator) send(s *session, payload string) {
	name, text, _ := strings.Cut(payload, "\n")
	parse := func(m proto.Message) {
		require.NoError(s.t, prototext.Unmarshal([]byte(text), m))
	}
	c := gnmi.NewGNMIClient(o.conn)
	o.response, o.err = nil, nil
	switch name {
	case "Capabilities":
		o.response, o.err = c.Capabilities(o.ctx, &gnmi.CapabilityRequest{})
	case "Get":
		r := &gnmi.GetRequest{}
		parse(r)
		o.response, o.err = c.Get(o.ctx, r)
	case "Set":
		r := &gnmi.SetRequest{}
		parse(r)
		for deadline := time.Now().Add(stepTimeout); ; {
			o.response, o.err = c.Set(o.ctx, r)
			if status.Code(o.err).String() != "Unavailable" || time.Now().After(deadline) {
				return
			}
		}
	case "Subscribe":
		r := &gnmi.SubscribeRequest{}
		parse(r)
		if r.GetSubscribe() != nil || o.stream == nil {
			o.stream, o.err = c.Subscribe(o.ctx)
			require.NoError(s.t, o.err)
		}
		require.NoError(s.t, o.stream.Send(r))
	default:
		require.Fail(s.t, "unknown RPC", name)
	}
}

// receive waits for the next message of the stream if the last RPC was Subscribe; other responses are already there.
func (o *operator) receive() {
	if o.response == nil && o.err == nil {
		var m *gnmi.SubscribeResponse
		m, o.err = o.stream.Recv()
		if o.err == nil {
			o.response = m
		}
	}
}
