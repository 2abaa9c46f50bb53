package storm

import "time"

// What a cold exchange may be sent while nothing is known of what it usually carries, as after the controller's
// own restart. Its group was sized for traffic that both ends send, with room to spare, and others whose groups
// are not known here send to it too: a part of what the group could carry is what is counted on.
const (
	seedBusy = 0.5 // of a group's circuits, at the planned load
	seedOurs = 0.5 // of its calls, this end's part
)

// ColdSeed is how many set-ups a second an exchange is likely to get from here on usual days, by the circuits of
// the group toward it and the mean length of a call; 0 if that tells nothing.
func ColdSeed(circuits float64, hold time.Duration) float64 {
	if !(circuits > 0) || hold <= 0 {
		return 0
	}
	return circuits * seedBusy * seedOurs / hold.Seconds()
}
