package pitchrock_test

import (
	"fmt"
	"time"

	"pitchrock"
)

// printer is a Host that prints what it is asked to do.
type printer struct{}

func (printer) Send(c pitchrock.CallID, to pitchrock.SwitchID, _ time.Duration) {
	fmt.Printf("send call %d to switch %d\n", c, to)
}
func (printer) Refuse(c pitchrock.CallID, _ time.Duration) { fmt.Printf("refuse call %d\n", c) }
func (printer) Fail(c pitchrock.CallID)                    { fmt.Printf("fail call %d\n", c) }
func (printer) Probe(pitchrock.SwitchID)                   {}
func (printer) SetTimer(time.Duration, uint64)             {}
func (printer) Follow()                                    {}
func (printer) Log(string)                                 {}

// A call controller hands the module its list of switches, then each call, and carries out what it asks.
func Example() {
	settings := pitchrock.Settings{
		Instances: 2, Here: 0, MaxAttempts: 4, ReleaseWait: 300 * time.Millisecond,
		Classes: []pitchrock.Class{{Aim: time.Second, Deadline: 9 * time.Second, Hold: time.Minute, Worth: 1}},
	}
	ctl, err := pitchrock.New(settings, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctl.Members(0, pitchrock.Members{Kind: pitchrock.Cached, Switches: []pitchrock.Switch{
		{ID: 7, Number: 0, State: pitchrock.Ready}, {ID: 8, Number: 1, State: pitchrock.Ready}}})
	ctl.Offered(time.Second, pitchrock.Call{ID: 1, Destination: 1, Width: 1, Via: -1, Expires: 4 * time.Second})
	// Output: send call 1 to switch 8
}
