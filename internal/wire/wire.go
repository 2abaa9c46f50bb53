// Package wire decodes the simulator's binary frames into structs and encodes replies. It holds no logic beyond the
// format.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// maxFrame is the maximum accepted frame size in bytes, so that a corrupt length cannot exhaust memory.
const maxFrame = 1 << 30

// Batch is one frame: events that occur at the same time.
type Batch struct {
	Clock  float64 // milliseconds
	Events []any   // event structs of this package, by value
}

// Entry is an element of an Inventory.
type Entry struct {
	Switch uint32
	Zone   uint8
	Kind   uint16
	Node   uint16
	State  uint8
	Weight float32
	Since  float64
}

// Init starts an instance. Settings is valid until the next call of Reader.Next.
type Init struct {
	Who      uint32
	Salt     uint64
	Settings []byte
}

// Inventory defines the numbered list Set for the whole process.
type Inventory struct {
	Set     uint8
	Entries []Entry
}

// Fleet is a message of discovery to one instance. How tells in which way the numbered list Set applies.
type Fleet struct {
	Who    uint32
	How    uint8
	Serial uint32
	Set    uint8
}

// Ingress delivers a call to an instance.
type Ingress struct {
	Who         uint32
	Call        uint64
	Class       uint8
	Tenant      uint16
	Number      uint64
	Expires     float64
	Hint        float64
	Destination float32
	Units       float32
	Hop         float32
	Flags       uint8
}

// Flags of an Ingress.
const (
	FlagRedial   = 2
	FlagTransit  = 8
	FlagRecalled = 16
)

// FirstByte reports that a call stands.
type FirstByte struct {
	Who    uint32
	Call   uint64
	Leg    uint8
	Switch uint32
	Took   float64
}

// Completed reports the end of an attempt.
type Completed struct {
	Who    uint32
	Call   uint64
	Leg    uint8
	Switch uint32
	Code   uint8
	Took   float64
	Done   uint8
	Why    uint32
	Health []float32
}

// Cancelled reports that the caller has left.
type Cancelled struct {
	Who  uint32
	Call uint64
}

// TimerFired reports that a timer has expired.
type TimerFired struct {
	Who uint32
	Tag uint64
}

// HealthResult is the result of a probe, or reports changed circuits.
type HealthResult struct {
	Who    uint32
	Switch uint32
	Code   uint8
	Took   float64
	Health []float32
}

// Neighbour is a message from the peer instance Src. Octets is valid until the next call of Reader.Next.
type Neighbour struct {
	Who    uint32
	Src    uint16
	Octets []byte
}

// Kill ends an instance.
type Kill struct{ Who uint32 }

// Reader reads batches from a stream.
type Reader struct {
	in  *bufio.Reader
	pos int64 // bytes consumed
	buf []byte
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<16)} }

// Next returns the next batch, io.EOF at the end of the input between two frames, or an error that names the record,
// the field and the position. The byte slices of the batch are valid until the next call.
func (r *Reader) Next() (Batch, error) {
	var head [4]byte
	n, err := io.ReadFull(r.in, head[:])
	if err == io.EOF {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, readError("frame", "length", r.pos+int64(n), err)
	}
	size := binary.LittleEndian.Uint32(head[:])
	if size < 8 || size > maxFrame {
		return Batch{}, fmt.Errorf("frame: field length: bad size %d at byte %d", size, r.pos)
	}
	r.pos += 4
	if cap(r.buf) < int(min(size, 1<<20)) {
		r.buf = make([]byte, min(size, 1<<20))
	}
	if err := r.fill(int(size)); err != nil {
		return Batch{}, err
	}
	b, err := Decode(r.buf, r.pos)
	r.pos += int64(size)
	return b, err
}

// fill reads size bytes into the buffer. It grows the buffer only as data arrives.
func (r *Reader) fill(size int) error {
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		step := min(size-len(r.buf), 1<<20)
		at := len(r.buf)
		if cap(r.buf) < at+step {
			r.buf = append(make([]byte, 0, max(2*cap(r.buf), at+step)), r.buf...)
		}
		r.buf = r.buf[:at+step]
		if n, err := io.ReadFull(r.in, r.buf[at:]); err != nil {
			return readError("frame", "content", r.pos+int64(at+n), err)
		}
	}
	return nil
}

// readError returns an error for a read that failed at position at, naming the record and the field.
func readError(record, field string, at int64, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%s: field %s: input ends at byte %d", record, field, at)
	}
	return fmt.Errorf("%s: field %s: at byte %d: %w", record, field, at, err)
}

// cursor reads fields from the content of a frame and keeps the first error. After an error every field reads as zero.
type cursor struct {
	data   []byte
	at     int
	base   int64
	record string
	err    error
}

// take returns the next n bytes, or nil after an error.
func (c *cursor) take(n int, field string) []byte {
	if c.err != nil {
		return nil
	}
	if n < 0 || len(c.data)-c.at < n {
		c.err = fmt.Errorf("%s: field %s: frame ends at byte %d, field starts at byte %d",
			c.record, field, c.base+int64(len(c.data)), c.base+int64(c.at))
		return nil
	}
	b := c.data[c.at : c.at+n]
	c.at += n
	return b
}

func (c *cursor) u8(field string) uint8 {
	if b := c.take(1, field); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) u16(field string) uint16 {
	if b := c.take(2, field); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) u32(field string) uint32 {
	if b := c.take(4, field); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u64(field string) uint64 {
	if b := c.take(8, field); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) f32(field string) float32 { return math.Float32frombits(c.u32(field)) }
func (c *cursor) f64(field string) float64 { return math.Float64frombits(c.u64(field)) }

// floats reads a u8 count followed by that many f32 values.
func (c *cursor) floats(field string) []float32 {
	n := int(c.u8(field))
	out := make([]float32, 0, n)
	for range n {
		out = append(out, c.f32(field))
	}
	return out
}

// entries reads a u32 count followed by that many list entries of 22 bytes each.
func (c *cursor) entries() []Entry {
	n := int64(c.u32("elements"))
	if c.err == nil && n*22 > int64(len(c.data)-c.at) {
		c.take(len(c.data)+1, "elements")
		return nil
	}
	out := make([]Entry, 0, n)
	for range n {
		out = append(out, Entry{
			Switch: c.u32("switch"), Zone: c.u8("dc"), Kind: c.u16("kind"), Node: c.u16("nodeNo"),
			State: c.u8("stageState"), Weight: c.f32("heft"), Since: c.f64("onlineSinceMs"),
		})
	}
	return out
}

// Decode decodes the content of a frame, which follows its length. base is the position of the content in the stream,
// used in errors. The byte slices of the batch refer to data.
func Decode(data []byte, base int64) (Batch, error) {
	c := &cursor{data: data, base: base, record: "batch"}
	b := Batch{Clock: c.f64("clock")}
	if c.err == nil && (math.IsNaN(b.Clock) || math.IsInf(b.Clock, 0)) {
		c.err = fmt.Errorf("batch: field clock: not a number at byte %d", base)
	}
	for c.err == nil && c.at < len(data) {
		e := c.event()
		if c.err == nil {
			b.Events = append(b.Events, e)
		}
	}
	if c.err != nil {
		return Batch{}, c.err
	}
	return b, nil
}

// event decodes one record.
func (c *cursor) event() any {
	c.record = "record"
	at := c.at
	code := c.u8("code")
	switch code {
	case 16:
		c.record = "INIT"
		return Init{c.u32("who"), c.u64("salt"), c.take(int(c.u32("bootInfo")), "bootInfo")}
	case 17:
		c.record = "FLEET"
		return Fleet{c.u32("who"), c.u8("how"), c.u32("serial"), c.u8("setId")}
	case 18:
		c.record = "INGRESS"
		return Ingress{c.u32("who"), c.u64("xid"), c.u8("service"), c.u16("account"), c.u64("object"),
			c.f64("expiresMs"), c.f64("weightHintMs"), c.f32("destination"), c.f32("units"), c.f32("hop"),
			c.u8("flags")}
	case 19:
		c.record = "FIRST_BYTE"
		return FirstByte{c.u32("who"), c.u64("xid"), c.u8("leg"), c.u32("switch"), c.f64("tookMs")}
	case 20:
		c.record = "COMPLETED"
		return Completed{c.u32("who"), c.u64("xid"), c.u8("leg"), c.u32("switch"), c.u8("code"),
			c.f64("tookMs"), c.u8("doneFlag"), c.u32("why"), c.floats("healthInfo")}
	case 21:
		c.record = "CANCELLED_BY_CLIENT"
		return Cancelled{c.u32("who"), c.u64("xid")}
	case 22:
		c.record = "TIMEOUT_FIRED"
		return TimerFired{c.u32("who"), c.u64("tag")}
	case 23:
		c.record = "HEALTH_RESULT"
		return HealthResult{c.u32("who"), c.u32("switch"), c.u8("code"), c.f64("tookMs"), c.floats("healthInfo")}
	case 24:
		c.record = "NEIGHBOUR_SAYS"
		return Neighbour{c.u32("who"), c.u16("src"), c.take(int(c.u16("octets")), "octets")}
	case 25:
		c.record = "KILL"
		return Kill{c.u32("who")}
	case 26:
		c.record = "INVENTORY"
		return Inventory{c.u8("setId"), c.entries()}
	}
	if c.err == nil {
		c.err = fmt.Errorf("record: field code: unknown code %d at byte %d", code, c.base+int64(at))
	}
	return nil
}

// Reply encodes the actions that answer a batch. The zero value is an empty reply.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset discards all actions and starts a new reply.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	r.count = 0
}

// Bytes returns the whole frame. It is valid until the next change of the Reply.
func (r *Reply) Bytes() []byte {
	if len(r.buf) == 0 {
		r.Reset()
	}
	binary.LittleEndian.PutUint32(r.buf, uint32(len(r.buf)-4))
	binary.LittleEndian.PutUint32(r.buf[4:], r.count)
	return r.buf
}

// start begins a record and counts it.
func (r *Reply) start(code uint8, who uint32) {
	if len(r.buf) == 0 {
		r.Reset()
	}
	r.count++
	r.u32(uint32(who), code)
}

// u32 appends the code, if given, and the value v.
func (r *Reply) u32(v uint32, code ...uint8) {
	r.buf = append(r.buf, code...)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, v)
}

func (r *Reply) u64(v uint64)  { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

// text appends a u16 length and the text, truncated to the maximum length.
func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Follow appends a FOLLOW action.
func (r *Reply) Follow(who uint32, on bool) {
	r.start(17, who)
	if on {
		r.buf = append(r.buf, 1)
	} else {
		r.buf = append(r.buf, 0)
	}
}

// Withdraw appends a WITHDRAW action for one leg of a call.
func (r *Reply) Withdraw(who uint32, call uint64, leg uint8) {
	r.start(18, who)
	r.u64(call)
	r.buf = append(r.buf, leg)
}

// Lookup appends a LOOKUP action.
func (r *Reply) Lookup(who uint32) { r.start(19, who) }

// Error appends an ERROR action for a call.
func (r *Reply) Error(who uint32, call uint64) {
	r.start(20, who)
	r.u64(call)
}

// Probe appends a PROBE action for the switch sw.
func (r *Reply) Probe(who, sw uint32) {
	r.start(21, who)
	r.u32(sw)
}

// Route appends a ROUTE action that sends a call to the switch sw with a timeout of timeoutMs milliseconds.
func (r *Reply) Route(who uint32, call uint64, timeoutMs float64, sw uint32) {
	r.start(22, who)
	r.u64(call)
	r.f64(timeoutMs)
	r.u32(sw)
}

// Exception appends an EXCEPTION action. The message is truncated to 65535 bytes.
func (r *Reply) Exception(who uint32, message string) {
	r.start(23, who)
	r.text(message)
}

// Timer appends a TIMER action that fires after spanMs milliseconds with the given tag.
func (r *Reply) Timer(who uint32, spanMs float64, tag uint64) {
	r.start(24, who)
	r.f64(spanMs)
	r.u64(tag)
}

// Shed appends a SHED action that rejects a call with the advice to retry after retryAfterMs milliseconds.
func (r *Reply) Shed(who uint32, call uint64, retryAfterMs float64) {
	r.start(25, who)
	r.u64(call)
	r.f64(retryAfterMs)
}

// NoteDown appends a NOTE_DOWN action. The message is truncated to 65535 bytes.
func (r *Reply) NoteDown(who uint32, message string) {
	r.start(27, who)
	r.text(message)
}
