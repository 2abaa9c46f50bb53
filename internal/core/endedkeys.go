package core

// endedKeys remembers the keys of calls that have ended for one to two periods of endedRetention. Calls of which a set-up
// was sent to a core are kept apart from the others: a caller can have any number of calls refused, but not sent, and a
// call that has run must not run again.
type endedKeys struct {
	sent, refused keyGenerations
}

// keyGenerations holds the keys of the current period and of the one before.
type keyGenerations [2]map[string]struct{}

func newEndedKeys() endedKeys {
	return endedKeys{sent: keyGenerations{{}, {}}, refused: keyGenerations{{}, {}}}
}

// add remembers the key of a call, of which a set-up was sent or not.
func (k *endedKeys) add(key string, sent bool) {
	if sent {
		k.sent.add(key)
	} else {
		k.refused.add(key)
	}
}

// contains reports whether a key is remembered.
func (k *endedKeys) contains(key string) bool { return k.sent.contains(key) || k.refused.contains(key) }

// rotate drops the keys of the period before.
func (k *endedKeys) rotate() {
	k.sent.rotate()
	k.refused.rotate()
}

func (g *keyGenerations) add(key string) {
	if len(g[0]) >= maxEndedKeys { // rotate early: memory is bounded, the call rate is not
		g.rotate()
	}
	g[0][key] = struct{}{}
}

func (g *keyGenerations) contains(key string) bool {
	_, current := g[0][key]
	_, previous := g[1][key]
	return current || previous
}

func (g *keyGenerations) rotate() { g[0], g[1] = map[string]struct{}{}, g[0] }
