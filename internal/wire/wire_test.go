package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
)

// frame decodes hexadecimal text with white space.
func frame(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const goldenBatch = `57000000 00000000206ec040
12 03000000 c4913a5d77cb0300 00 0000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00006442 00009644 00008043 01
16 03000000 4d00000000000000
15 05000000 192b6f0e03da0b00`

const goldenRecords = `00000000206ec040
1a 00 02000000 074a1203 00 0000 0000 01 0000803f 0000000000000000
               f211902c 01 0000 0000 01 0000c03f 0000000000d4b740
11 03000000 02 29000000 00
17 03000000 f211902c 01 666666666666f63f 04 cdcccc3e0000a03f0000404000000c43
13 03000000 c4913a5d77cb0300 00 074a1203 0000000000802240
19 03000000
18 03000000 0200 0400 68692037
14 03000000 c4913a5d77cb0300 00 074a1203 01 0000000000803240 01 00000000 04 cdcccc3e0000a03f0000404000000c43`

func TestGoldenBatch(t *testing.T) {
	r := NewReader(bytes.NewReader(frame(t, goldenBatch)))
	b, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	want := []any{
		Ingress{Who: 3, Call: 0x3cb775d3a91c4, Number: 0x91f03b7c55d20a64, Expires: 8652.25, Hint: 12,
			Destination: 57, Units: 1200, Hop: 256, Flags: 1},
		TimerFired{3, 77},
		Cancelled{5, 0xbda030e6f2b19},
	}
	if b.Clock != 8412.25 || !reflect.DeepEqual(b.Events, want) {
		t.Errorf("got clock %v, %+v\nwant %+v", b.Clock, b.Events, want)
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("after the last frame: %v, want io.EOF", err)
	}
}

func TestGoldenRecords(t *testing.T) {
	b, err := Decode(frame(t, goldenRecords), 4)
	if err != nil {
		t.Fatal(err)
	}
	health := []float32{0.4, 1.25, 3, 140}
	want := []any{
		Inventory{0, []Entry{{Switch: 0x03124a07, State: 1, Weight: 1},
			{Switch: 0x2c9011f2, Zone: 1, State: 1, Weight: 1.5, Since: 6100}}},
		Fleet{3, 2, 41, 0},
		HealthResult{3, 0x2c9011f2, 1, 1.4, health},
		FirstByte{3, 0x3cb775d3a91c4, 0, 0x03124a07, 9.25},
		Kill{3},
		Neighbour{3, 2, []byte("hi 7")},
		Completed{3, 0x3cb775d3a91c4, 0, 0x03124a07, 1, 18.5, 1, 0, health},
	}
	if !reflect.DeepEqual(b.Events, want) {
		t.Errorf("got %+v\nwant %+v", b.Events, want)
	}
}

func TestGoldenReplies(t *testing.T) {
	tests := []struct {
		name, want string
		add        func(*Reply)
	}{
		{"empty", `04000000 00000000`, func(*Reply) {}},
		{"the page's example", `4a000000 03000000
			16 03000000 c4913a5d77cb0300 0000000000005440 074a1203
			18 03000000 0000000000407f40 4d00000000000000
			1b 05000000 1100 74776f2073657276657273206b6e6f776e`, func(r *Reply) {
			r.Route(3, 0x3cb775d3a91c4, 80, 0x03124a07)
			r.Timer(3, 500, 77)
			r.NoteDown(5, "two servers known")
		}},
		{"probe", `0d000000 01000000 15 03000000 f211902c`, func(r *Reply) { r.Probe(3, 0x2c9011f2) }},
		{"exception", `1d000000 01000000 17 03000000 1200 696e646578206f7574206f662072616e6765`,
			func(r *Reply) { r.Exception(3, "index out of range") }},
		{"lookup", `09000000 01000000 13 03000000`, func(r *Reply) { r.Lookup(3) }},
		{"error", `11000000 01000000 14 03000000 192b6f0e03da0b00`, func(r *Reply) { r.Error(3, 0xbda030e6f2b19) }},
		{"shed", `19000000 01000000 19 03000000 192b6f0e03da0b00 0000000000406f40`,
			func(r *Reply) { r.Shed(3, 0xbda030e6f2b19, 250) }},
		{"withdraw", `12000000 01000000 12 03000000 c4913a5d77cb0300 00`,
			func(r *Reply) { r.Withdraw(3, 0x3cb775d3a91c4, 0) }},
		{"follow", `0a000000 01000000 11 03000000 01`, func(r *Reply) { r.Follow(3, true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Reply
			r.Reset()
			tt.add(&r)
			if want := frame(t, tt.want); !bytes.Equal(r.Bytes(), want) {
				t.Errorf("got  %x\nwant %x", r.Bytes(), want)
			}
		})
	}
}

func TestMalformed(t *testing.T) {
	whole := frame(t, goldenBatch)
	tests := []struct {
		name string
		data []byte
		want []string
	}{
		{"cut length", whole[:3], []string{"frame", "length", "byte 3"}},
		{"cut content", whole[:20], []string{"frame", "content", "byte 20"}},
		{"short length", frame(t, "04000000 00000000"), []string{"length", "bad size 4", "byte 0"}},
		{"unknown code", frame(t, "09000000 00000000206ec040 ff"), []string{"code", "255", "byte 12"}},
		{"short record", frame(t, "0b000000 00000000206ec040 160300"), []string{"TIMEOUT_FIRED", "who", "byte 13"}},
		{"entries too many", frame(t, "0e000000 00000000206ec040 1a00ffffffff"), []string{"INVENTORY", "elements"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(bytes.NewReader(tt.data)).Next()
			if err == nil || err == io.EOF {
				t.Fatalf("got %v, want an error", err)
			}
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q lacks %q", err, w)
				}
			}
		})
	}
}

// FuzzDecode: any input yields a batch or an error, and never a batch with an unusable clock or a partial batch.
func FuzzDecode(f *testing.F) {
	f.Add(frame(f, goldenRecords))
	f.Add(frame(f, goldenBatch)[4:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data, 0)
		if err == nil && math.IsNaN(b.Clock) {
			t.Error("a batch without a clock was accepted")
		}
		if err != nil && len(b.Events) > 0 {
			t.Error("a partial batch was returned with an error")
		}
	})
}
