package brookmux_test

import (
	"fmt"
	"time"

	"brookmux"
)

// printer is a Host that prints the actions.
type printer struct{}

func (printer) Send(c brookmux.CallID, to brookmux.SwitchID, _ time.Duration) {
	fmt.Printf("send call %d to switch %d\n", c, to)
}
func (printer) Refuse(c brookmux.CallID, _ time.Duration) { fmt.Printf("refuse call %d\n", c) }
func (printer) Fail(c brookmux.CallID)                    { fmt.Printf("fail call %d\n", c) }
func (printer) Probe(brookmux.SwitchID)                   {}
func (printer) SetTimer(time.Duration, uint64)            {}
func (printer) Follow()                                   {}
func (printer) Log(string)                                {}

// A call controller passes the membership list to the Controller, then each call, and carries out the actions.
func Example() {
	settings := brookmux.Settings{
		Instances: 2, Here: 0, MaxAttempts: 4, ReleaseWait: 300 * time.Millisecond,
		Classes: []brookmux.Class{{Aim: time.Second, Deadline: 9 * time.Second, Hold: time.Minute, Worth: 1}},
	}
	ctl, err := brookmux.New(settings, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctl.MembersChanged(0, brookmux.Members{Kind: brookmux.Cached, Switches: []brookmux.Switch{
		{ID: 7, Number: 0, State: brookmux.Ready}, {ID: 8, Number: 1, State: brookmux.Ready}}})
	ctl.Offered(time.Second, brookmux.Call{ID: 1, Destination: 1, Width: 1, Via: -1, Expires: 4 * time.Second})
	// Output: send call 1 to switch 8
}
