// Package m3ua is the second front: ISUP over M3UA, with the framing of RFC 4666 on TCP in place of SCTP. Its Server
// accepts calls from peers, its Client sends attempts to the exchanges that are reached over M3UA. Both pass requests
// and outcomes to the core, which makes all routing decisions.
package m3ua

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Class and Type identify the kind of a message (RFC 4666, 3.1). A Type has a meaning only within its Class.
type (
	Class uint8
	Type  uint8
)

// The supported message classes and types.
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

// The supported parameter tags (RFC 4666, 3.2).
const (
	paramInfo              = 0x0004
	paramRoutingContext    = 0x0006
	paramHeartbeat         = 0x0009
	paramErrorCode         = 0x000c
	paramStatus            = 0x000d
	paramASPID             = 0x0011
	paramAffectedPointCode = 0x0012
	paramCongestion        = 0x0205 // congestion indications
	paramProtocolData      = 0x0210
)

// The error codes of an ERR message (RFC 4666, 3.8.1).
const (
	codeInvalidVersion    = 0x01
	codeUnsupportedClass  = 0x03
	codeUnsupportedType   = 0x04
	codeUnexpectedMessage = 0x06
	codeProtocolError     = 0x07
	codeParameterField    = 0x11
	codeMissingParameter  = 0x16
	codeNoAS              = 0x1a // no configured application server (AS) for this ASP
)

const (
	version        = 1
	headerSize     = 8
	maxMessageSize = 16 << 10 // bytes, with the header
	siISUP         = 5        // service indicator of ISUP
)

// Message is one M3UA message: the common header's class and type, and the parameters in their order on the wire.
type Message struct {
	Class  Class
	Type   Type
	Params []Param
}

// Param is a parameter. Value excludes the padding.
type Param struct {
	Tag   uint16
	Value []byte
}

// Get returns the value of the first parameter with the given tag, and whether there is one.
func (m Message) Get(tag uint16) ([]byte, bool) {
	for _, p := range m.Params {
		if p.Tag == tag {
			return p.Value, true
		}
	}
	return nil, false
}

// messageError is an error in a received message that is reported to the peer in an ERR message with the code.
type messageError struct {
	code   uint32
	reason string
}

// Error implements error.
func (e *messageError) Error() string {
	return fmt.Sprintf("m3ua: error code %#x: %s", e.code, e.reason)
}

var errTooLarge = errors.New("m3ua: message is larger than 16 KiB")

// Read reads one message. It checks the length in the header before it allocates a buffer for the body. After a
// *messageError the next message can be read from r; after any other error it can't, as the message boundary is lost.
func Read(r io.Reader) (Message, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Message{}, err
	}
	size := binary.BigEndian.Uint32(header[4:])
	if size > maxMessageSize {
		return Message{}, errTooLarge
	}
	if size < headerSize || size%4 != 0 {
		return Message{}, fmt.Errorf("m3ua: invalid message length %d", size)
	}
	body := make([]byte, size-headerSize)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Message{}, err
	}
	m := Message{Class: Class(header[2]), Type: Type(header[3])}
	if header[0] != version {
		return m, &messageError{codeInvalidVersion, fmt.Sprintf("unsupported version %d", header[0])}
	}
	var err error
	m.Params, err = parseParams(body)
	return m, err
}

// parseParams parses the parameters of a message. The values share the memory of b.
func parseParams(b []byte) ([]Param, error) {
	var out []Param
	for len(b) > 0 {
		if len(b) < 4 {
			return out, &messageError{codeParameterField, "parameter header truncated"}
		}
		n := int(binary.BigEndian.Uint16(b[2:]))
		padded := (n + 3) &^ 3
		if n < 4 || padded > len(b) {
			return out, &messageError{codeParameterField, "invalid parameter length"}
		}
		out = append(out, Param{binary.BigEndian.Uint16(b), b[4:n]})
		b = b[padded:]
	}
	return out, nil
}

// Append appends the encoded message to b, with each parameter padded to a multiple of four bytes.
func (m Message) Append(b []byte) []byte {
	start := len(b)
	b = append(b, version, 0, byte(m.Class), byte(m.Type), 0, 0, 0, 0)
	for _, p := range m.Params {
		b = binary.BigEndian.AppendUint16(b, p.Tag)
		b = binary.BigEndian.AppendUint16(b, uint16(4+len(p.Value)))
		b = append(b, p.Value...)
		for (len(b)-start)%4 != 0 {
			b = append(b, 0)
		}
	}
	binary.BigEndian.PutUint32(b[start+4:], uint32(len(b)-start))
	return b
}

// uint32Param returns a parameter whose value is one 32-bit number.
func uint32Param(tag uint16, v uint32) Param {
	return Param{tag, binary.BigEndian.AppendUint32(nil, v)}
}

// protocolData is the protocol data parameter of a DATA message: an MTP3 user message with its routing label.
type protocolData struct {
	opc, dpc uint32
	si, sls  uint8
	payload  []byte
}

// toMessage returns a DATA message with the protocol data.
func (d protocolData) toMessage(routingContext uint32) Message {
	b := binary.BigEndian.AppendUint32(nil, d.opc)
	b = binary.BigEndian.AppendUint32(b, d.dpc)
	b = append(b, d.si, 0, 0, d.sls)
	b = append(b, d.payload...)
	return Message{classTransfer, typeData,
		[]Param{uint32Param(paramRoutingContext, routingContext), {paramProtocolData, b}}}
}

// parseProtocolData parses the protocol data of a DATA message. The payload shares the memory of m.
func parseProtocolData(m Message) (protocolData, error) {
	b, ok := m.Get(paramProtocolData)
	if !ok {
		return protocolData{}, &messageError{codeMissingParameter, "DATA without protocol data"}
	}
	if len(b) < 12 {
		return protocolData{}, &messageError{codeParameterField, "protocol data truncated"}
	}
	return protocolData{opc: binary.BigEndian.Uint32(b), dpc: binary.BigEndian.Uint32(b[4:]), si: b[8], sls: b[11],
		payload: b[12:]}, nil
}
