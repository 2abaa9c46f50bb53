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

// Optional parameters (Q.763, table 5), field values and limits.
const (
	optEnd              = 0x00
	optUserToUser       = 0x20    // holds the description, split over as many parameters as necessary
	optCongestionLevel  = 0x27    // automatic congestion level
	optNetworkFacility  = 0x2f    // network specific facility; holds the call keys
	optPropagationDelay = 0x31    // propagation delay counter; used here for the caller's timeout in milliseconds
	uuiUserSpecific     = 0x00    // protocol discriminator: user-specific
	noNetworkID         = 0x00    // network specific facility: length of the network identification
	maxUUIDescription   = 130     // bytes of the description in one user-to-user parameter
	natureUnknown       = 0x02    // nature of address: unknown
	planISDN            = 0x10    // numbering plan ISDN, routing to internal number allowed
	mediumSpeech        = 0x00    // transmission medium requirement: speech
	maxDigits           = 2 * 250 // digits of a called party number, two per byte
	maxLevel            = 2       // highest automatic congestion level
	iamOverhead         = 512     // maximum bytes of an M3UA message with an IAM, without the description
	causeLocation       = 0x80    // coding ITU-T, location user
	causeExtension      = 0x80    // extension bit: last byte of the field
)

// isupMessage is one ISUP message with the parameters that this package uses. The comments name the messages that have
// the field.
type isupMessage struct {
	cic         uint16
	kind        kind
	category    uint8         // IAM: calling party's category
	number      string        // IAM: address signals of the called party, hex digits
	timeout     time.Duration // IAM: caller's timeout, 0 if not given
	cause       core.Cause    // REL
	retryAfter  time.Duration // REL: retry advice, sent in the cause's diagnostic, 0 if none
	level       int           // REL: automatic congestion level, 0 for none, 1 or 2
	description []byte        // IAM, ANM
	keys        callKeys      // IAM, ANM, REL
}

var errInvalidISUP = errors.New("m3ua: invalid ISUP message")

// append appends the encoded message to b.
func (m isupMessage) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint16(b, m.cic)
	b = append(b, byte(m.kind))
	switch m.kind {
	case kindIAM:
		b = append(b, 0, 0, 0, m.category, mediumSpeech)
		odd := byte(len(m.number)&1) << 7
		b = append(b, 2, byte((len(m.number)+1)/2+4), byte((len(m.number)+1)/2+2), odd|natureUnknown, planISDN)
		b = appendDigits(b, m.number)
		if m.timeout > 0 {
			b = append(b, optPropagationDelay, 4)
			b = binary.BigEndian.AppendUint32(b, uint32(min(m.timeout.Milliseconds(), 1<<31)))
		}
		b = m.keys.appendTo(b)
		b = appendDescription(b, m.description)
	case kindACM:
		b = append(b, 0, 0, 0) // backward call indicators, no optional part
	case kindANM:
		b = append(b, 1)
		b = m.keys.appendTo(b)
		b = appendDescription(b, m.description)
	case kindREL:
		b = append(b, 2, 0)
		diagnostic := []byte{}
		if m.retryAfter > 0 {
			diagnostic = binary.BigEndian.AppendUint32(nil, uint32(min(m.retryAfter.Milliseconds(), 1<<31)))
		}
		optional := m.appendRELOptions(nil)
		if len(optional) > 0 {
			b[len(b)-1] = byte(4 + len(diagnostic)) // where the optional part starts
		}
		b = append(b, byte(2+len(diagnostic)), causeLocation, causeExtension|byte(m.cause))
		b = append(b, diagnostic...)
		b = append(b, optional...)
	case kindRLC:
		b = append(b, 0)
	}
	return b
}

// appendRELOptions appends the optional part of a REL to b, or nothing if it has no optional parameter.
func (m isupMessage) appendRELOptions(b []byte) []byte {
	if m.level > 0 {
		b = append(b, optCongestionLevel, 1, byte(min(m.level, maxLevel)))
	}
	b = m.keys.appendTo(b)
	if len(b) > 0 {
		b = append(b, optEnd)
	}
	return b
}

// appendDigits appends the address signals of a number to b, two per byte, the first in the low four bits.
func appendDigits(b []byte, number string) []byte {
	for i := 0; i < len(number); i += 2 {
		v := hexValue(number[i])
		if i+1 < len(number) {
			v |= hexValue(number[i+1]) << 4
		}
		b = append(b, v)
	}
	return b
}

// validNumber reports whether an IAM can hold a number: it must consist of hex digits, not more than the length octet
// of the parameter allows.
func validNumber(number string) bool {
	for i := range len(number) {
		if _, err := strconv.ParseUint(number[i:i+1], 16, 4); err != nil {
			return false
		}
	}
	return len(number) <= maxDigits
}

// descriptionFits reports whether one M3UA message can hold a description along with its other parameters.
func descriptionFits(description []byte) bool {
	return len(description)+3*(len(description)/maxUUIDescription+1)+iamOverhead <= maxMessageSize
}

// hexValue returns the value of a hex digit.
func hexValue(digit byte) byte {
	v, _ := strconv.ParseUint(string(digit), 16, 4) // 0 if it is not a digit
	return byte(v)
}

// appendDescription appends a description to b, in as many user-to-user parameters as necessary, and the end of the
// optional part.
func appendDescription(b, description []byte) []byte {
	for len(description) > 0 {
		n := min(len(description), maxUUIDescription)
		b = append(b, optUserToUser, byte(n+1), uuiUserSpecific)
		b = append(b, description[:n]...)
		description = description[n:]
	}
	return append(b, optEnd)
}

// parseISUP parses a message. The result does not share the memory of b. If only the type or the parameters are
// invalid, the CIC and kind are set along with the error.
func parseISUP(b []byte) (isupMessage, error) {
	if len(b) < 3 {
		return isupMessage{}, errInvalidISUP
	}
	m := isupMessage{cic: binary.LittleEndian.Uint16(b), kind: kind(b[2])}
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
		return m, fmt.Errorf("%w: unsupported type %#x", errInvalidISUP, byte(m.kind))
	}
	if len(b) < fixed+variable {
		return m, errInvalidISUP
	}
	if m.kind == kindIAM {
		m.category = b[3]
	}
	b = b[fixed:]
	if variable == 1 {
		v, err := pointedParam(b, 0)
		if err != nil {
			return m, err
		}
		if m.kind == kindIAM {
			err = m.parseCalledNumber(v)
		} else {
			err = m.parseCause(v)
		}
		if err != nil {
			return m, err
		}
	}
	return m, m.parseOptional(b, variable)
}

// pointedParam returns the value of the variable parameter that the pointer at b[pos] refers to.
func pointedParam(b []byte, pos int) ([]byte, error) {
	start := pos + int(b[pos])
	if b[pos] == 0 || start >= len(b) || start+1+int(b[start]) > len(b) {
		return nil, fmt.Errorf("%w: pointer", errInvalidISUP)
	}
	return b[start+1 : start+1+int(b[start])], nil
}

// parseCalledNumber sets the number from the value of a called party number parameter.
func (m *isupMessage) parseCalledNumber(v []byte) error {
	if len(v) < 2 {
		return fmt.Errorf("%w: called party number", errInvalidISUP)
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

// parseCause sets the cause and the retry advice in its diagnostic from the value of a cause indicators parameter.
func (m *isupMessage) parseCause(v []byte) error {
	if len(v) < 2 || v[0]&0x80 == 0 {
		return fmt.Errorf("%w: cause indicators", errInvalidISUP)
	}
	m.cause = core.Cause(v[1] & 0x7f)
	if len(v) >= 6 {
		m.retryAfter = time.Duration(binary.BigEndian.Uint32(v[2:])) * time.Millisecond
	}
	return nil
}

// parseOptional parses the optional part that the pointer at b[pos] refers to, if there is one. Unknown parameters are
// skipped.
func (m *isupMessage) parseOptional(b []byte, pos int) error {
	if pos >= len(b) || b[pos] == 0 {
		return nil
	}
	start := pos + int(b[pos])
	if start > len(b) {
		return fmt.Errorf("%w: pointer", errInvalidISUP)
	}
	for b = b[start:]; len(b) > 0 && b[0] != optEnd; {
		if len(b) < 2 || 2+int(b[1]) > len(b) {
			return fmt.Errorf("%w: optional part", errInvalidISUP)
		}
		v := b[2 : 2+int(b[1])]
		switch {
		case b[0] == optUserToUser && len(v) > 0:
			m.description = append(m.description, v[1:]...)
		case b[0] == optCongestionLevel && len(v) == 1: // other values are spare (Q.763, 3.4) and read as no level
			if m.level = int(v[0]); m.level > maxLevel {
				m.level = 0
			}
		case b[0] == optNetworkFacility:
			m.keys = parseCallKeys(v)
		case b[0] == optPropagationDelay && len(v) == 4:
			m.timeout = time.Duration(binary.BigEndian.Uint32(v)) * time.Millisecond
		}
		b = b[2+len(v):]
	}
	return nil
}
