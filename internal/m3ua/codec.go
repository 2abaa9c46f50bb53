// Package m3ua is the second front: M3UA-style signalling (RFC 4666 framing, on TCP in place of SCTP) that
// carries ISUP. As a server it takes calls from peers; as a client it carries attempts to exchanges that are
// reached this way. It decides nothing: both ends hand what they hear to the core.
package m3ua

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Class and Type name a message (RFC 4666, 3.1).
type (
	Class uint8
	Type  uint8
)

// The classes and types that this package speaks.
const (
	classMgmt     Class = 0
	classTransfer Class = 1
	classSSNM     Class = 2 // signalling network management
	classASPSM    Class = 3
	classASPTM    Class = 4

	typeErr  Type = 0
	typeNtfy Type = 1

	typeData Type = 1

	typeDUNA Type = 1 // destination unavailable
	typeDAVA Type = 2 // destination available
	typeDAUD Type = 3 // destination state audit
	typeSCON Type = 4 // signalling congestion
	typeDUPU Type = 5 // destination user part unavailable
	typeDRST Type = 6 // destination restricted

	typeUp      Type = 1
	typeDown    Type = 2
	typeBeat    Type = 3
	typeUpAck   Type = 4
	typeDownAck Type = 5
	typeBeatAck Type = 6

	typeActive      Type = 1
	typeInactive    Type = 2
	typeActiveAck   Type = 3
	typeInactiveAck Type = 4
)

// The parameters that this package speaks (RFC 4666, 3.2).
const (
	paramInfo      = 0x0004
	paramContext   = 0x0006
	paramBeat      = 0x0009
	paramErrorCode = 0x000c
	paramStatus    = 0x000d
	paramASPID     = 0x0011
	paramAffected  = 0x0012 // affected point codes
	paramLevel     = 0x0205 // congestion indications
	paramData      = 0x0210
)

// The error codes of an ERR message (RFC 4666, 3.8.1).
const (
	errVersion    = 0x01
	errClass      = 0x03
	errType       = 0x04
	errUnexpected = 0x06
	errProtocol   = 0x07
	errField      = 0x11
	errMissing    = 0x16
	errNoAS       = 0x1a // no configured application server for this ASP
)

const (
	version    = 1
	headerSize = 8
	maxMessage = 16 << 10
	siISUP     = 5 // service indicator
)

// Message is one M3UA message.
type Message struct {
	Class  Class
	Type   Type
	Params []Param
}

// Param is a parameter without its padding.
type Param struct {
	Tag   uint16
	Value []byte
}

// Get returns the first parameter with this tag.
func (m Message) Get(tag uint16) ([]byte, bool) {
	for _, p := range m.Params {
		if p.Tag == tag {
			return p.Value, true
		}
	}
	return nil, false
}

// codeError is an error that the peer is told with an ERR message.
type codeError struct {
	code uint32
	why  string
}

// Error implements error.
func (e *codeError) Error() string { return fmt.Sprintf("m3ua: error code %#x: %s", e.code, e.why) }

var errTooLarge = errors.New("m3ua: message is larger than 16 KiB")

// Read reads one message. The stated length is checked before anything is buffered for it. After a
// *codeError the stream is still in step; after any other error it is not.
func Read(r io.Reader) (Message, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Message{}, err
	}
	size := binary.BigEndian.Uint32(head[4:])
	if size > maxMessage {
		return Message{}, errTooLarge
	}
	if size < headerSize || size%4 != 0 {
		return Message{}, fmt.Errorf("m3ua: length %d", size)
	}
	body := make([]byte, size-headerSize)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Message{}, err
	}
	m := Message{Class: Class(head[2]), Type: Type(head[3])}
	if head[0] != version {
		return m, &codeError{errVersion, fmt.Sprintf("version %d", head[0])}
	}
	var err error
	m.Params, err = params(body)
	return m, err
}

// params reads a message's parameters.
func params(b []byte) ([]Param, error) {
	var out []Param
	for len(b) > 0 {
		if len(b) < 4 {
			return out, &codeError{errField, "parameter cut short"}
		}
		n := int(binary.BigEndian.Uint16(b[2:]))
		padded := (n + 3) &^ 3
		if n < 4 || padded > len(b) {
			return out, &codeError{errField, "parameter length"}
		}
		out = append(out, Param{binary.BigEndian.Uint16(b), b[4:n]})
		b = b[padded:]
	}
	return out, nil
}

// Append writes a message.
func (m Message) Append(b []byte) []byte {
	at := len(b)
	b = append(b, version, 0, byte(m.Class), byte(m.Type), 0, 0, 0, 0)
	for _, p := range m.Params {
		b = binary.BigEndian.AppendUint16(b, p.Tag)
		b = binary.BigEndian.AppendUint16(b, uint16(4+len(p.Value)))
		b = append(b, p.Value...)
		for (len(b)-at)%4 != 0 {
			b = append(b, 0)
		}
	}
	binary.BigEndian.PutUint32(b[at+4:], uint32(len(b)-at))
	return b
}

// word is a parameter that holds one number.
func word(tag uint16, v uint32) Param {
	return Param{tag, binary.BigEndian.AppendUint32(nil, v)}
}

// transfer is the content of a DATA message: an MTP3 user message with its label.
type transfer struct {
	opc, dpc uint32
	si, sls  uint8
	user     []byte
}

// message puts a transfer into a DATA message.
func (t transfer) message(context uint32) Message {
	b := binary.BigEndian.AppendUint32(nil, t.opc)
	b = binary.BigEndian.AppendUint32(b, t.dpc)
	b = append(b, t.si, 0, 0, t.sls)
	b = append(b, t.user...)
	return Message{classTransfer, typeData, []Param{word(paramContext, context), {paramData, b}}}
}

// readTransfer reads the content of a DATA message.
func readTransfer(m Message) (transfer, error) {
	b, ok := m.Get(paramData)
	if !ok {
		return transfer{}, &codeError{errMissing, "DATA without protocol data"}
	}
	if len(b) < 12 {
		return transfer{}, &codeError{errField, "protocol data cut short"}
	}
	return transfer{opc: binary.BigEndian.Uint32(b), dpc: binary.BigEndian.Uint32(b[4:]), si: b[8], sls: b[11],
		user: b[12:]}, nil
}
