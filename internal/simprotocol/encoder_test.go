package simprotocol

import (
	"bytes"
	"testing"
	"time"
)

func TestEncodesEveryAction(t *testing.T) {
	var output bytes.Buffer
	encoder := NewEncoder(&output)
	instance := InstanceActions{Encoder: encoder, Number: 3}
	instance.Send("t/a", "na", 0)
	instance.Send("t/a", "na", 80*time.Millisecond)
	instance.Cancel("t/a", 1)
	instance.Reject("t/a", 0)
	instance.Reject("t/a", 250*time.Millisecond)
	instance.Fail("t/a")
	instance.Probe("na")
	instance.SetTimer(1500*time.Microsecond, 77)
	instance.Watch()
	instance.Log("two\tlines\nhere")
	encoder.Fatal(3, "bad\nsettings")
	if err := encoder.Flush(); err != nil {
		t.Fatal(err)
	}
	want := `deliver	who=3	opId=t/a	node=na
deliver	who=3	opId=t/a	node=na	limitMs=80
cancel	who=3	opId=t/a	n=1
busy	who=3	opId=t/a
busy	who=3	opId=t/a	waitMs=250
give_up	who=3	opId=t/a
touch	who=3	node=na
schedule	who=3	waitMs=1.5	keyBack=77
stream_changes	who=3	want=1
trace	who=3	msg=two lines here
fatal	who=3	msg=bad settings
ack
`
	if output.String() != want {
		t.Fatalf("got\n%s\nwant\n%s", output.String(), want)
	}
}
