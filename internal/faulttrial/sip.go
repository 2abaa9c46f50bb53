package faulttrial

import (
	"errors"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// errInvalidMessage is returned for input that is not a valid SIP message.
var errInvalidMessage = errors.New("faulttrial: invalid SIP message")

// sipMessage is a SIP response, or a request if its status is 0.
type sipMessage struct {
	status int
	method string
	header textproto.MIMEHeader
	body   string
}

// readSIP reads one SIP message with its body. The method of a response is that of its CSeq header.
func readSIP(reader *textproto.Reader) (sipMessage, error) {
	startLine, err := reader.ReadLine()
	if err != nil {
		return sipMessage{}, err
	}
	message := sipMessage{}
	if message.header, err = reader.ReadMIMEHeader(); err != nil {
		return message, err
	}
	length, err := strconv.Atoi(message.header.Get("Content-Length"))
	if err != nil || length < 0 || length > maxMessageLength {
		return message, errInvalidMessage
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader.R, body); err != nil {
		return message, err
	}
	message.body = string(body)
	if statusText, ok := strings.CutPrefix(startLine, "SIP/2.0 "); ok {
		code, _, _ := strings.Cut(statusText, " ")
		if message.status, err = strconv.Atoi(code); err != nil {
			return message, errInvalidMessage
		}
		_, message.method, _ = strings.Cut(message.header.Get("CSeq"), " ")
		return message, nil
	}
	message.method, _, _ = strings.Cut(startLine, " ")
	return message, nil
}
