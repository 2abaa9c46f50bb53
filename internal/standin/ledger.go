package standin

import (
	"fmt"
	"time"

	"brookmux"
	"brookmux/internal/core"
)

// Ledger holds what was seen of the rules. It shares nothing with the guards of the core.
type Ledger struct {
	mesh   *Mesh
	out    map[ledgerKey]int           // attempts of a call that are out
	wait   map[ledgerKey]time.Duration // until then the call may not be sent again
	Sent   int
	Broken []string // rules, the first few
}

type ledgerKey struct {
	node, epoch int
	key         string
}

func newLedger(m *Mesh) Ledger {
	return Ledger{mesh: m, out: map[ledgerKey]int{}, wait: map[ledgerKey]time.Duration{}}
}

func (l *Ledger) broke(rule string, args ...any) {
	if len(l.Broken) < 20 {
		l.Broken = append(l.Broken, fmt.Sprintf("%v: %s", l.mesh.Now()-dayStart, fmt.Sprintf(rule, args...)))
	}
}

func (l *Ledger) sent(n *Node, a *attempt, to brookmux.SwitchID) {
	k := ledgerKey{n.number, n.epoch, a.key}
	l.Sent++
	if l.out[k]++; l.out[k] > 1 {
		l.broke("call %s has %d attempts out", a.key, l.out[k])
	}
	if l.mesh.Now() < l.wait[k] {
		l.broke("call %s is sent within the release wait", a.key)
	}
	delete(l.wait, k)
	if at := l.mesh.at(to); at.id() != to && l.mesh.Now() > at.Proc.since+listedLate+time.Second {
		l.broke("call %s is sent to a processor that is gone", a.key)
	}
}

func (l *Ledger) ended(n *Node, a *attempt, o core.Outcome) {
	k := ledgerKey{n.number, n.epoch, a.key}
	if l.out[k]--; l.out[k] <= 0 {
		delete(l.out, k)
	}
	switch o.Result {
	case brookmux.ResultTimeout, brookmux.ResultReset, brookmux.ResultCancelled:
		until := l.mesh.Now() + l.mesh.Settings.Module.ReleaseWait
		l.wait[k] = until
		l.mesh.After(l.mesh.Settings.Module.ReleaseWait, func() {
			if l.wait[k] == until {
				delete(l.wait, k)
			}
		})
	}
}

// answered checks that a caller gets one final answer, and in time.
func (l *Ledger) answered(t *try) {
	if t.final++; t.final > 1 {
		l.broke("try %s has %d final answers", t.key, t.final)
	}
	if l.mesh.Now() > t.at+t.left+l.mesh.Settings.AnswerGrace {
		l.broke("try %s is answered %v late", t.key, l.mesh.Now()-t.at-t.left)
	}
}
