package storm

import "time"

// Assumptions about the load of a cold exchange whose baseline is unknown, as after a restart of the controller.
// Its trunk group is dimensioned for the traffic of both ends with spare capacity, and other exchanges, whose
// groups are not known here, send to it too. So only a fraction of the group's capacity is counted on.
const (
	coldBusyShare  = 0.5 // share of a group's circuits that are busy at the planned load
	coldLocalShare = 0.5 // share of its calls that originate at this end
)

// ColdSeed estimates the set-ups per second that an exchange normally receives from here, from the number of
// circuits in the trunk group toward it and the mean duration of a call. It returns 0 if either is not positive.
func ColdSeed(circuits float64, hold time.Duration) float64 {
	if !(circuits > 0) || hold <= 0 {
		return 0
	}
	return circuits * coldBusyShare * coldLocalShare / hold.Seconds()
}
