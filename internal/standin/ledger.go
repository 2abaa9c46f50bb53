package standin

import (
	"fmt"
	"time"

	"brookmux"
	"brookmux/internal/core"
)

// Ledger checks the rules for attempts and final answers. It shares no code with the guards of the core.
type Ledger struct {
	mesh         *Mesh
	openAttempts map[attemptKey]int           // number of open attempts of a call
	noSendUntil  map[attemptKey]time.Duration // end of the release wait, until which the call must not be sent again
	Sent         int                          // attempts sent
	Violations   []string                     // descriptions of the first 20 violations
}

// attemptKey identifies a call at a controller; epoch tells the controller's starts apart.
type attemptKey struct {
	node, epoch int
	key         string
}

func newLedger(m *Mesh) Ledger {
	return Ledger{mesh: m, openAttempts: map[attemptKey]int{}, noSendUntil: map[attemptKey]time.Duration{}}
}

// violation records a rule violation with its time since the start of the mesh.
func (l *Ledger) violation(format string, args ...any) {
	if len(l.Violations) < 20 {
		l.Violations = append(l.Violations, fmt.Sprintf("%v: %s", l.mesh.Now()-dayStart, fmt.Sprintf(format, args...)))
	}
}

// attemptSent checks that the call has no other open attempt, that its release wait is over, and that a replaced switch
// receives no attempts later than a second after the list update.
func (l *Ledger) attemptSent(n *Node, a *attempt, to brookmux.SwitchID) {
	k := attemptKey{n.number, n.epoch, a.key}
	l.Sent++
	if l.openAttempts[k]++; l.openAttempts[k] > 1 {
		l.violation("call %s has %d open attempts", a.key, l.openAttempts[k])
	}
	if l.mesh.Now() < l.noSendUntil[k] {
		l.violation("call %s is sent within the release wait", a.key)
	}
	delete(l.noSendUntil, k)
	if at := l.mesh.nodeOf(to); at.switchID() != to && l.mesh.Now() > at.Proc.startedAt+listUpdateDelay+time.Second {
		l.violation("call %s is sent to a processor that was replaced", a.key)
	}
}

// attemptEnded records the end of an attempt and starts the release wait after a timeout, reset or cancellation.
func (l *Ledger) attemptEnded(n *Node, a *attempt, o core.Outcome) {
	k := attemptKey{n.number, n.epoch, a.key}
	if l.openAttempts[k]--; l.openAttempts[k] <= 0 {
		delete(l.openAttempts, k)
	}
	switch o.Result {
	case brookmux.ResultTimeout, brookmux.ResultReset, brookmux.ResultCancelled:
		until := l.mesh.Now() + l.mesh.Settings.Module.ReleaseWait
		l.noSendUntil[k] = until
		l.mesh.After(l.mesh.Settings.Module.ReleaseWait, func() {
			if l.noSendUntil[k] == until {
				delete(l.noSendUntil, k)
			}
		})
	}
}

// callerAnswered checks that a caller receives only one final answer, and within its timeout plus AnswerGrace.
func (l *Ledger) callerAnswered(t *try) {
	if t.finalAnswers++; t.finalAnswers > 1 {
		l.violation("try %s has %d final answers", t.key, t.finalAnswers)
	}
	if l.mesh.Now() > t.at+t.timeout+l.mesh.Settings.AnswerGrace {
		l.violation("try %s is answered %v late", t.key, l.mesh.Now()-t.at-t.timeout)
	}
}
