package faulttrial

import (
	"errors"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// errNoMessage tells that what was read is no SIP message.
var errNoMessage = errors.New("faulttrial: no SIP message")

// sipMessage is an answer, or a request if it has no status.
type sipMessage struct {
	status int
	method string
	header textproto.MIMEHeader
	body   string
}

func readSIP(r *textproto.Reader) (sipMessage, error) {
	first, err := r.ReadLine()
	if err != nil {
		return sipMessage{}, err
	}
	m := sipMessage{}
	if m.header, err = r.ReadMIMEHeader(); err != nil {
		return m, err
	}
	n, err := strconv.Atoi(m.header.Get("Content-Length"))
	if err != nil || n < 0 || n > maxLine {
		return m, errNoMessage
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r.R, body); err != nil {
		return m, err
	}
	m.body = string(body)
	if rest, ok := strings.CutPrefix(first, "SIP/2.0 "); ok {
		code, _, _ := strings.Cut(rest, " ")
		if m.status, err = strconv.Atoi(code); err != nil {
			return m, errNoMessage
		}
		_, m.method, _ = strings.Cut(m.header.Get("CSeq"), " ")
		return m, nil
	}
	m.method, _, _ = strings.Cut(first, " ")
	return m, nil
}
