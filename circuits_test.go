package brookmux

import "testing"

// TestSizeWithoutFreeCircuits guards against a direct route that is never used again: reports gave the size of its group,
// but not yet the number of free circuits. Then the circuits that the calls of this controller don't use are free.
func TestSizeWithoutFreeCircuits(t *testing.T) {
	host := &recorder{}
	c, err := New(meshSettings(), 7, host)
	if err != nil {
		t.Fatal(err)
	}
	c.MembersChanged(0, memberList(Full, 2)) // no exchange that could be a tandem
	c.Offered(0, newCall(1, 1, 0))
	expectActions(t, host, "send 1 to 101")
	ended := outcome(1, 0, 101, ResultOK)
	ended.Report.Size = 2
	c.AttemptEnded(second, ended)
	for id := CallID(2); id <= 4; id++ {
		c.Offered(second, newCall(id, 1, second))
	}
	expectActions(t, host, "send 2 to 101, send 3 to 101") // call 4 waits for a circuit
	c.Probed(second, circuitReport(1, 1, 2))
	expectActions(t, host, "send 4 to 101")
}
