package m3ua

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"brookmux/internal/core"
)

// kind is an ISUP message type (Q.763, table 4).
type kind uint8

const (
	kindIAM kind = 0x01
	kindACM kind = 0x06
	kindANM kind = 0x09
	kindREL kind = 0x0c
	kindRLC kind = 0x10
)

// Optional parameters (Q.763, table 5).
const (
	optEnd         = 0x00
	optUserToUser  = 0x20 // holds the description, in as many as it takes
	optLevel       = 0x27 // automatic congestion level
	optDelay       = 0x31 // propagation delay counter: here, how long the caller waits, in milliseconds
	uuiPlain       = 0x00 // protocol discriminator: user-specific
	uuiMost        = 130  // bytes of description in one parameter
	natureUnknown  = 0x02 // nature of address: unknown
	planISDN       = 0x10 // numbering plan ISDN, routing to internal number allowed
	mediumSpeech   = 0x00
	mostDigits     = 2 * 250
	mostLevel      = 2    // of the automatic congestion level
	beside         = 512  // bytes of an IAM that are not description, at most
	causeLocation  = 0x80 // coding ITU-T, location user
	causeExtension = 0x80
)

// isup is one ISUP message, with the parameters that a path from request to answer needs.
type isup struct {
	cic         uint16
	kind        kind
	category    uint8         // IAM: calling party's category
	number      string        // IAM: address signals of the called party, hex digits
	left        time.Duration // IAM: how long the caller waits, 0 if not said
	cause       core.Cause    // REL
	wait        time.Duration // REL: how long to stay away, in the cause's diagnostic
	level       int           // REL: automatic congestion level, 0 for none, 1 or 2
	description []byte        // IAM, ANM
}

var errISUP = errors.New("m3ua: ISUP message can't be read")

// append writes the message.
func (m isup) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint16(b, m.cic)
	b = append(b, byte(m.kind))
	switch m.kind {
	case kindIAM:
		b = append(b, 0, 0, 0, m.category, mediumSpeech)
		odd := byte(len(m.number)&1) << 7
		b = append(b, 2, byte((len(m.number)+1)/2+4), byte((len(m.number)+1)/2+2), odd|natureUnknown, planISDN)
		b = appendSignals(b, m.number)
		if m.left > 0 {
			b = append(b, optDelay, 4)
			b = binary.BigEndian.AppendUint32(b, uint32(min(m.left.Milliseconds(), 1<<31)))
		}
		b = appendDescription(b, m.description)
	case kindACM:
		b = append(b, 0, 0, 0) // backward call indicators, no optional part
	case kindANM:
		b = append(b, 1)
		b = appendDescription(b, m.description)
	case kindREL:
		b = append(b, 2, 0)
		diagnostic := []byte{}
		if m.wait > 0 {
			diagnostic = binary.BigEndian.AppendUint32(nil, uint32(min(m.wait.Milliseconds(), 1<<31)))
		}
		if m.level > 0 {
			b[len(b)-1] = byte(4 + len(diagnostic)) // where the optional part starts
		}
		b = append(b, byte(2+len(diagnostic)), causeLocation, causeExtension|byte(m.cause))
		b = append(b, diagnostic...)
		if m.level > 0 {
			b = append(b, optLevel, 1, byte(min(m.level, mostLevel)), optEnd)
		}
	case kindRLC:
		b = append(b, 0)
	}
	return b
}

// appendSignals writes address signals, two a byte, the first in the low half.
func appendSignals(b []byte, number string) []byte {
	for i := 0; i < len(number); i += 2 {
		v := signal(number[i])
		if i+1 < len(number) {
			v |= signal(number[i+1]) << 4
		}
		b = append(b, v)
	}
	return b
}

// carries tells whether a number can stand in an IAM: hex digits, and no more than its length octet counts.
func carries(number string) bool {
	for i := range len(number) {
		if _, err := strconv.ParseUint(number[i:i+1], 16, 4); err != nil {
			return false
		}
	}
	return len(number) <= mostDigits
}

// fits tells whether a description can stand in one M3UA message, beside what else that holds.
func fits(description []byte) bool {
	return len(description)+3*(len(description)/uuiMost+1)+beside <= maxMessage
}

// signal is a hex digit's value.
func signal(digit byte) byte {
	v, _ := strconv.ParseUint(string(digit), 16, 4) // not a digit: 0
	return byte(v)
}

// appendDescription writes a description into as many user-to-user parameters as it takes, and the end of
// the optional part.
func appendDescription(b, description []byte) []byte {
	for len(description) > 0 {
		n := min(len(description), uuiMost)
		b = append(b, optUserToUser, byte(n+1), uuiPlain)
		b = append(b, description[:n]...)
		description = description[n:]
	}
	return append(b, optEnd)
}

// parseISUP reads a message. The result shares nothing with b.
func parseISUP(b []byte) (isup, error) {
	if len(b) < 3 {
		return isup{}, errISUP
	}
	m := isup{cic: binary.LittleEndian.Uint16(b), kind: kind(b[2])}
	b = b[3:]
	fixed, variable := 0, 0
	switch m.kind {
	case kindIAM:
		fixed, variable = 5, 1
	case kindACM:
		fixed = 2
	case kindREL:
		variable = 1
	case kindANM, kindRLC:
	default:
		return m, fmt.Errorf("%w: type %#x", errISUP, byte(m.kind))
	}
	if len(b) < fixed+variable {
		return m, errISUP
	}
	if m.kind == kindIAM {
		m.category = b[3]
	}
	b = b[fixed:]
	if variable == 1 {
		v, err := pointed(b, 0)
		if err != nil {
			return m, err
		}
		if m.kind == kindIAM {
			err = m.calledNumber(v)
		} else {
			err = m.causeIndicators(v)
		}
		if err != nil {
			return m, err
		}
	}
	return m, m.optional(b, variable)
}

// pointed returns the parameter that the pointer at this place points at.
func pointed(b []byte, at int) ([]byte, error) {
	start := at + int(b[at])
	if b[at] == 0 || start >= len(b) || start+1+int(b[start]) > len(b) {
		return nil, fmt.Errorf("%w: pointer", errISUP)
	}
	return b[start+1 : start+1+int(b[start])], nil
}

// calledNumber reads the called party number.
func (m *isup) calledNumber(v []byte) error {
	if len(v) < 2 {
		return fmt.Errorf("%w: called party number", errISUP)
	}
	const digits = "0123456789abcdef"
	out := make([]byte, 0, 2*len(v))
	for _, pair := range v[2:] {
		out = append(out, digits[pair&15], digits[pair>>4])
	}
	if v[0]&0x80 != 0 && len(out) > 0 {
		out = out[:len(out)-1]
	}
	m.number = string(out)
	return nil
}

// causeIndicators reads a cause with its diagnostic.
func (m *isup) causeIndicators(v []byte) error {
	if len(v) < 2 || v[0]&0x80 == 0 {
		return fmt.Errorf("%w: cause indicators", errISUP)
	}
	m.cause = core.Cause(v[1] & 0x7f)
	if len(v) >= 6 {
		m.wait = time.Duration(binary.BigEndian.Uint32(v[2:])) * time.Millisecond
	}
	return nil
}

// optional reads the optional part, if the pointer at this place says there is one. Parameters that are not
// known are skipped.
func (m *isup) optional(b []byte, at int) error {
	if at >= len(b) || b[at] == 0 {
		return nil
	}
	start := at + int(b[at])
	if start > len(b) {
		return fmt.Errorf("%w: pointer", errISUP)
	}
	for b = b[start:]; len(b) > 0 && b[0] != optEnd; {
		if len(b) < 2 || 2+int(b[1]) > len(b) {
			return fmt.Errorf("%w: optional part", errISUP)
		}
		v := b[2 : 2+int(b[1])]
		switch {
		case b[0] == optUserToUser && len(v) > 0:
			m.description = append(m.description, v[1:]...)
		case b[0] == optLevel && len(v) == 1: // other values are spare (Q.763, 3.4): no level
			if m.level = int(v[0]); m.level > mostLevel {
				m.level = 0
			}
		case b[0] == optDelay && len(v) == 4:
			m.left = time.Duration(binary.BigEndian.Uint32(v)) * time.Millisecond
		}
		b = b[2+len(v):]
	}
	return nil
}
