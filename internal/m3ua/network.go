package m3ua

import (
	"encoding/binary"
	"fmt"

	"brookmux"
	"brookmux/internal/core"
)

// Signalling network management (RFC 4666, 3.4): the server notifies its peers of exchanges that are unreachable or
// congested, and answers their audits; the client acts on such notifications from the exchanges it connects to.

// maxAffected is the maximum number of affected point codes in one message.
const maxAffected = 256

// affectedParam returns an affected point code parameter with one point code.
func affectedParam(pc uint32) Param { return uint32Param(paramAffectedPointCode, pc&0xffffff) }

// parseAffected parses the affected point codes of a message. An entry with a mask is returned as one range, not
// expanded.
func parseAffected(m Message) ([]pointCodeRange, error) {
	b, ok := m.Get(paramAffectedPointCode)
	if !ok {
		return nil, &messageError{codeMissingParameter, "missing affected point code"}
	}
	if len(b) == 0 || len(b)%4 != 0 || len(b) > 4*maxAffected {
		return nil, &messageError{codeParameterField, "invalid affected point code"}
	}
	var out []pointCodeRange
	for ; len(b) > 0; b = b[4:] {
		v := binary.BigEndian.Uint32(b)
		out = append(out, pointCodeRange{code: v & 0xffffff, mask: uint8(v >> 24)})
	}
	return out, nil
}

// pointCodeRange is the set of point codes that are equal to code except for the lowest mask bits (RFC 4666, 3.4.1).
type pointCodeRange struct {
	code uint32
	mask uint8
}

// contains reports whether a point code is in the range. A mask of 24 or more covers all point codes.
func (r pointCodeRange) contains(pc uint32) bool { return r.mask >= 24 || r.code>>r.mask == pc>>r.mask }

// parseLevel returns the congestion level of a SCON. It is 1 if the message gives none, as in networks without
// congestion levels.
func parseLevel(m Message) (int, error) {
	b, ok := m.Get(paramCongestion)
	if !ok {
		return 1, nil
	}
	if len(b) != 4 {
		return 0, &messageError{codeParameterField, "invalid congestion indications"}
	}
	return int(min(b[3], 3)), nil
}

// conditionMessages returns the messages that report the condition of the exchange with a point code: a DUNA, or a DAVA
// and a SCON.
func conditionMessages(routingContext, pc uint32, c core.Condition) []Message {
	params := []Param{uint32Param(paramRoutingContext, routingContext), affectedParam(pc)}
	if !c.Available {
		return []Message{{classSSNM, typeDUNA, params}}
	}
	return []Message{{classSSNM, typeDAVA, params},
		{classSSNM, typeSCON, []Param{params[0], params[1], uint32Param(paramCongestion, uint32(c.Level))}}}
}

// SetCondition stores the condition of an exchange and, if SendConditions is set, notifies the active peers of what has
// changed. It does not block.
func (s *Server) SetCondition(exchange int, c core.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pc, number := range s.exchanges {
		old := s.conditions[pc]
		if number != exchange || old == c {
			continue
		}
		s.conditions[pc] = c
		for _, m := range conditionMessages(s.RoutingContext, pc, c) {
			if !s.SendConditions || m.Type == typeDAVA && old.Available || m.Type == typeSCON && old.Level == c.Level {
				continue
			}
			for _, p := range s.peers {
				p.notify(m)
			}
		}
	}
}

// notify sends a message on the peer's active association, if there is one.
func (p *peer) notify(m Message) {
	p.mu.Lock()
	a := p.association
	p.mu.Unlock()
	if a != nil {
		a.sendMessage(m)
	}
}

// sendConditions notifies a peer that has become active of the exchanges that are unreachable or congested.
func (p *peer) sendConditions(a *association) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.SendConditions {
		return
	}
	for pc := range s.exchanges {
		c := s.conditions[pc] // zero if no condition was ever set: the exchange is unreachable
		for _, m := range conditionMessages(s.RoutingContext, pc, c) {
			if m.Type == typeDUNA || m.Type == typeSCON && c.Level > 0 {
				a.sendMessage(m)
			}
		}
	}
}

// handleSSNM handles a message of signalling network management. By RFC 4666, 3.4, audits are sent to the server and
// all other messages to the client. A message in the other direction, or while the association is not active, fails
// with the given error.
func (a *association) handleSSNM(m Message, unexpected error) error {
	if m.Type < typeDUNA || m.Type > typeDRST {
		return &messageError{codeUnsupportedType, fmt.Sprintf("type %d of class %d", m.Type, m.Class)}
	}
	if State(a.state.Load()) != Active || (a.acceptASP != nil) != (m.Type == typeDAUD) {
		return unexpected
	}
	ranges, err := parseAffected(m)
	if err != nil {
		return err
	}
	return a.onSSNM(m, ranges)
}

// handleAudit answers a peer's audit with the condition of each exchange in the ranges.
func (p *peer) handleAudit(a *association, ranges []pointCodeRange) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range ranges {
		found := false
		for pc := range s.exchanges {
			if !r.contains(pc) {
				continue
			}
			found = true
			c := s.conditions[pc]
			for _, m := range conditionMessages(s.RoutingContext, pc, c) {
				if m.Type != typeSCON || c.Level > 0 {
					a.sendMessage(m)
				}
			}
		}
		if !found { // no exchange has a point code in the range, so it is unavailable
			a.sendMessage(conditionMessages(s.RoutingContext, r.code, core.Condition{})[0])
		}
	}
}

// handleSSNM applies the state of the exchange that the far end reports. No new attempt is sent to an unreachable
// exchange. The engine is notified of the congestion level and, with storm control, sends less to a congested one.
// Standing calls continue.
func (l *link) handleSSNM(m Message, ranges []pointCodeRange) error {
	for _, r := range ranges {
		if !r.contains(l.PointCode) {
			continue
		}
		switch m.Type {
		case typeDUNA, typeDUPU:
			l.setReachable(false)
		case typeDAVA, typeDRST:
			l.setReachable(true)
		case typeSCON:
			congestion, err := parseLevel(m)
			if err != nil {
				return err
			}
			l.client.events.Congested(brookmux.SwitchID(l.ID), congestion)
		}
	}
	return nil
}

// setReachable records whether the exchange can be reached over the association, and publishes a change of that.
func (l *link) setReachable(reachable bool) {
	client := l.client
	client.mu.Lock()
	changed := l.unreachable == reachable
	l.unreachable = !reachable
	client.mu.Unlock()
	if changed {
		client.log.Info("m3ua exchange", "exchange", l.Number, "reachable", reachable)
		client.publishReachable()
	}
}
