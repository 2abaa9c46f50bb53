package m3ua

import (
	"sync"
	"time"

	"brookmux/internal/core"
)

const (
	callKeySize          = 16               // bytes of a call key: hex digits
	maxUnclaimedReleases = 4096             // releases kept until their calls are announced
	unclaimedLifetime    = 30 * time.Second // then the far end has announced its calls, or no longer has them
)

// callKeys holds the keys under which the two ends of an association know a call. Messages carry them, so that an end
// that has restarted can tell which of its earlier calls a circuit belongs to. A key that is not known is empty.
type callKeys struct {
	client string // at the end that opened the association
	server string
}

// differ reports whether two sets of keys certainly belong to different calls.
func (k callKeys) differ(other callKeys) bool {
	return k.client != "" && other.client != "" && k.client != other.client
}

// appendTo appends the parameter with the keys to b. Without a client's key it is left out.
func (k callKeys) appendTo(b []byte) []byte {
	if len(k.client) != callKeySize {
		return b
	}
	value := append([]byte{noNetworkID}, k.client...)
	if len(k.server) == callKeySize {
		value = append(value, k.server...)
	}
	b = append(b, optNetworkFacility, byte(len(value)))
	return append(b, value...)
}

// parseCallKeys returns the keys in the value of a network specific facility, or none if it holds something else.
func parseCallKeys(v []byte) callKeys {
	if len(v) == 0 || v[0] != noNetworkID {
		return callKeys{}
	}
	switch v = v[1:]; len(v) {
	case callKeySize:
		return callKeys{client: string(v)}
	case 2 * callKeySize:
		return callKeys{client: string(v[:callKeySize]), server: string(v[callKeySize:])}
	}
	return callKeys{}
}

// unclaimedReleases keeps releases of calls of an earlier process until the far end announces the circuits of these
// calls. The zero value is ready to use.
type unclaimedReleases struct {
	mu       sync.Mutex
	releases map[string]unclaimedRelease // by call key
}

// unclaimedRelease is the release of a call whose circuit is not known.
type unclaimedRelease struct {
	cause core.Cause
	at    time.Time
}

// add keeps a release, unless too many are kept.
func (u *unclaimedReleases) add(key string, cause core.Cause, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.releases) >= maxUnclaimedReleases {
		u.dropExpired(now)
	}
	if len(u.releases) >= maxUnclaimedReleases {
		return
	}
	if u.releases == nil {
		u.releases = map[string]unclaimedRelease{}
	}
	u.releases[key] = unclaimedRelease{cause, now}
}

// dropExpired removes the releases that were kept for unclaimedLifetime. The caller holds the lock.
func (u *unclaimedReleases) dropExpired(now time.Time) {
	for key, r := range u.releases {
		if now.Sub(r.at) >= unclaimedLifetime {
			delete(u.releases, key)
		}
	}
}

// take removes the release of a call and returns its cause, and whether one was kept.
func (u *unclaimedReleases) take(key string, now time.Time) (core.Cause, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.releases[key]
	delete(u.releases, key)
	return r.cause, ok && now.Sub(r.at) < unclaimedLifetime
}
