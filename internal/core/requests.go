package core

import (
	"context"
	"time"
)

// Turns of requests. A turn ends early for whoever sends them, not for those who wait for answers.
const (
	requestsPerTurn = 16                   // taken before the input of cores is checked
	turnPause       = time.Millisecond     // between two checks while input of cores is unread
	maxTurnDelay    = 5 * time.Millisecond // after which a turn begins although there still is some
)

// requestQueue passes requests to the owner. It is unbuffered: the connections that send requests wait in the order in
// which theirs were read, with one request each.
type requestQueue struct {
	waiting chan func()
	taken   int       // in this turn
	endedAt time.Time // when the last turn ended, zero during a turn
}

func newRequestQueue() requestQueue { return requestQueue{waiting: make(chan func())} }

// postRequest hands a request to the owner. It blocks until the owner takes it, which handles other events first.
func (e *Engine) postRequest(f func()) {
	if e.Clock != nil {
		e.stepQueue = append(e.stepQueue, f)
		return
	}
	select {
	case e.requests.waiting <- f:
	case <-e.done:
	}
}

// next waits for the next event and returns it, or nil if none is due after all. Requests come last. It returns an error
// when the context has ended.
func (e *Engine) next(ctx context.Context) (f func(), err error) {
	select {
	case f := <-e.queue:
		return f, nil
	case <-e.wakeTimer.C:
		return nil, nil
	default:
	}
	requests, pause := e.requests.waiting, (<-chan time.Time)(nil)
	if !e.turnOpen() {
		requests, pause = nil, time.After(turnPause)
	}
	select {
	case f := <-e.queue:
		return f, nil
	case f := <-requests:
		e.requests.taken++
		return f, nil
	case <-pause:
		return nil, nil
	case <-e.wakeTimer.C:
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// turnOpen reports whether requests may be taken. After each turn, what the cores have sent is read first: without that,
// callers that send faster than calls can be served would delay the answers to all.
func (e *Engine) turnOpen() bool {
	q := &e.requests
	if q.taken < requestsPerTurn {
		return true
	}
	now := time.Now()
	if q.endedAt.IsZero() {
		q.endedAt = now
	}
	if e.AnswersWait != nil && e.AnswersWait() && now.Sub(q.endedAt) < maxTurnDelay {
		return false
	}
	q.taken, q.endedAt = 0, time.Time{}
	return true
}
