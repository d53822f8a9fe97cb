package gateway

import (
	"strings"
	"testing"
)

// Data that the target reports about itself.
var (
	unitList   = "\x00\x00\x00\x10" + strings.Repeat("\x00", 12)                                 // REPORT LUNS
	capacity10 = "\x00\x00\x03\xe7\x00\x00\x02\x00"                                              // READ CAPACITY(10)
	capacity16 = "\x00\x00\x00\x00\x00\x00\x03\xe7\x00\x00\x02\x00" + strings.Repeat("\x00", 20) // READ CAPACITY(16)
)

var iscsiProtocolScenarios = map[string]string{
	"a connection without a complete login is closed within 3 s": `
		initiator send login cut=1
		wait 2499ms
		initiator expect nothing
		wait 1ms
		initiator expect end`,
	// With the limit of two sessions, two more connections are accepted, so that they can be told that there is no
	// capacity.
	"a new client replaces a connection without a login, and is told that there is no capacity": `
		initiator send login cut=1
		second send login cut=1
		other-initiator send login cut=1
		third send login cut=1
		fourth send login imm tag=0 sn=1 text=InitiatorName=iqn.a;TargetName=iqn.gate
		initiator expect end
		fourth expect login-response status=0302`,
	"a login must name an existing target": `
		initiator send login imm tag=0 sn=1 text=InitiatorName=iqn.a;TargetName=iqn.other
		initiator expect login-response status=0203
		initiator expect end`,
	"a login must name its initiator": `
		initiator send login imm tag=0 sn=1 text=TargetName=iqn.gate
		initiator expect login-response status=0207
		initiator expect end`,
	"a login must ask for a supported version": `
		initiator send login imm tag=0 sn=1 version=1 text=InitiatorName=iqn.a;TargetName=iqn.gate
		initiator expect login-response status=0205
		initiator expect end`,
	"discovery sessions are rejected": `
		initiator send login imm tag=0 sn=1 text=InitiatorName=iqn.a;SessionType=Discovery
		initiator expect login-response status=0209
		initiator expect end`,
	"a login with malformed text is rejected": `
		initiator send login imm tag=0 sn=1 text=InitiatorName
		initiator expect login-response status=0200
		initiator expect end`,
	"a login in two stages is accepted": `
		initiator send login imm tag=0 sn=1 flags=0x81 text=InitiatorName=iqn.a;TargetName=iqn.gate;AuthMethod=None
		initiator expect login-response status=0000
		initiator send login imm tag=0 sn=1 flags=0x87 text=HeaderDigest=CRC32C,None
		initiator expect login-response status=0000
		initiator send nop-out imm tag=5 sn=1 data=hello
		initiator expect nop-in tag=5 ttt=4294967295 data=hello`,
	"a login that is never completed is ended": `
		initiator send login imm tag=0 sn=1 flags=0x04 text=InitiatorName=iqn.a;TargetName=iqn.gate
		initiator expect login-response status=0000
		wait 10s
		initiator expect end`,
	"sessions beyond the limit are rejected": initiatorLogin + `
		other-initiator send login imm tag=0 sn=1 text=InitiatorName=iqn.c;TargetName=iqn.gate
		other-initiator expect login-response status=0000
		second send login imm tag=0 sn=1 text=InitiatorName=iqn.b;TargetName=iqn.gate
		second expect login-response status=0302
		second expect end`,
	"a client that logs in again replaces its old session": initiatorLogin + `
		second send login imm tag=0 sn=1 text=InitiatorName=iqn.a;TargetName=iqn.gate
		second expect login-response status=0000
		initiator expect end
		second send nop-out imm tag=5 sn=1
		second expect nop-in tag=5 ttt=4294967295`,
	"a silent session is pinged, then ended": initiatorLogin + `
		wait 21s
		initiator expect nop-in tag=4294967295 ttt=1
		wait 30s
		initiator expect nop-in tag=4294967295 ttt=2
		initiator expect end`,
	"a second login on a connection is rejected": initiatorLogin + `
		initiator send login imm tag=0 sn=1
		initiator expect reject reason=4
		initiator expect end`,
	"unsupported requests are rejected": initiatorLogin + `
		initiator send text tag=1 sn=1
		initiator expect reject reason=5
		initiator send task-request imm tag=2 sn=1 flags=0x85
		initiator expect task-response tag=2 result=5
		initiator send command tag=3 sn=1 cdb=35
		initiator expect response tag=3 status=check-condition sense=5/20/00`,
	"a data segment that is too long is rejected": initiatorLogin + `
		initiator send command tag=1 sn=1 write=0+1 data=65537*w cut=48
		initiator expect reject reason=4
		initiator expect end`,
	"additional header segments are rejected": initiatorLogin + `
		initiator send nop-out imm tag=1 sn=1 ahs=1
		initiator expect reject reason=4
		initiator expect end`,
	"commands outside the window are ignored, a gap in their numbers is rejected": initiatorLogin + `
		initiator send command tag=1 sn=1 cdb=00
		initiator expect response tag=1 status=good
		initiator send command tag=2 sn=1 cdb=00
		initiator expect nothing
		initiator send command tag=3 sn=99 cdb=00
		initiator expect nothing
		initiator send command tag=4 sn=4 cdb=00
		initiator expect reject reason=4
		initiator expect end`,
	"a flood of commands is limited to the window, beyond which immediate commands are rejected": initiatorLogin + `
		initiator send command tag=1 sn=1 read=1+1
		initiator send command tag=2 sn=2 read=2+1
		initiator send command tag=3 sn=3 read=3+1
		initiator send command tag=4 sn=4 read=4+1
		initiator send command tag=5 sn=5 read=5+1
		initiator expect nothing
		initiator send command imm tag=6 sn=5 read=6+1
		initiator expect reject reason=6`,
	"a tag that is in use is rejected": initiatorLogin + `
		initiator send command tag=1 sn=1 read=1+1
		initiator send command tag=1 sn=2 read=2+1
		initiator expect reject reason=7`,
	"an address beyond the unit, an unknown unit and a transfer that is too long are rejected": initiatorLogin + `
		initiator send command tag=1 sn=1 read=999+2
		initiator expect response tag=1 status=check-condition sense=5/21/00
		initiator send command tag=2 sn=2 lun=7 read=0+1
		initiator expect response tag=2 status=check-condition sense=5/25/00
		initiator send command tag=3 sn=3 read=0+129
		initiator expect response tag=3 status=check-condition sense=5/24/00`,
	"data that does not fit its command is rejected": initiatorLogin + `
		initiator send command tag=1 sn=1 read=0+1 data=512*x
		initiator expect reject reason=9
		initiator send command tag=2 sn=2 write=0+1 data=513*x
		initiator expect response tag=2 status=check-condition sense=5/24/00
		initiator send command tag=3 sn=3 write=0+2
		initiator expect r2t tag=3 ttt=1 offset=0 length=1024
		initiator send data-out tag=3 ttt=1 offset=512 data=512*x
		initiator expect reject reason=9
		initiator send data-out tag=3 ttt=1 data=512*x
		initiator expect response tag=3 status=check-condition sense=b/0c/0d`,
	"a write whose data never comes times out": initiatorLogin + `
		initiator send command tag=1 sn=1 write=0+1
		initiator expect r2t tag=1 ttt=1 offset=0 length=512
		wait 2500ms
		initiator expect response tag=1 status=check-condition sense=b/2e/02
		node expect nothing`,
	"the target describes itself": initiatorLogin + `
		initiator send command tag=1 sn=1 expects=16 cdb=a0000000000000000010
		initiator expect data-in tag=1 offset=0 status=good data=` + unitList + `
		initiator send command tag=2 sn=2 expects=8 cdb=25
		initiator expect data-in tag=2 offset=0 status=good data=` + capacity10 + `
		initiator send command tag=3 sn=3 expects=32 cdb=9e10000000000000000000000020
		initiator expect data-in tag=3 offset=0 status=good data=` + capacity16 + `
		initiator send command tag=4 sn=4 expects=8 cdb=120000000800
		initiator expect data-in tag=4 offset=0 status=good data=` + "\x00\x00\x05\x02\x1f\x00\x00\x02" + `
		initiator send command tag=5 sn=5 expects=6 cdb=120100000600
		initiator expect data-in tag=5 offset=0 status=good data=` + "\x00\x00\x00\x02\x00\xb0" + `
		initiator send command tag=6 sn=6 cdb=120177000600
		initiator expect response tag=6 status=check-condition sense=5/24/00`,
	"a logout is confirmed and ends the connection": initiatorLogin + `
		initiator send logout tag=1 sn=1
		initiator expect logout-response tag=1
		initiator expect end`,
	// These guard against sessions that end with commands outstanding, whose outcome their client then never learns
	// (docs/incidents/2026-12-04-iscsi-session-ended-with-commands.md).
	"a gap in the order of commands ends the session after the outstanding ones are answered": initiatorLogin + `
		initiator send command tag=1 sn=1 write=1+1 data=512*w
		` + nodeLogin + `
		node expect command tag=1 lun=0 write=1+1 data=512*w
		initiator send command tag=2 sn=2 write=2+1
		initiator expect r2t tag=2 ttt=1 offset=0 length=512
		initiator send command tag=4 sn=4 cdb=00
		initiator expect reject reason=4
		initiator send command tag=3 sn=3 write=3+1 data=512*w
		wait 500ms
		node expect nothing
		node send response tag=1
		initiator expect response tag=1 status=good
		initiator expect end`,
	"a data segment that is too long ends the session after the outstanding command is answered": initiatorLogin + `
		initiator send command tag=1 sn=1 read=1+1
		` + nodeLogin + `
		node expect command tag=1 lun=0 read=1+1
		initiator send command tag=2 sn=2 write=0+1 data=65537*w cut=48
		initiator expect reject reason=4
		node send data-in tag=1 data=512*a
		initiator expect data-in tag=1 offset=0 status=good data=512*a
		initiator expect end`,
	"a second login ends the session after the outstanding command has reached its deadline": initiatorLogin + `
		initiator send command tag=1 sn=1 write=1+1 data=512*w
		` + nodeLogin + `
		node expect command tag=1 lun=0 write=1+1 data=512*w
		initiator send login imm tag=0 sn=1
		initiator expect reject reason=4
		wait 2400ms
		initiator expect nothing
		wait 100ms
		initiator expect response tag=1 status=check-condition sense=b/2e/02
		initiator expect end`,
	"a client that leaves after a protocol error has its command canceled": initiatorLogin + `
		initiator send command tag=1 sn=1 read=1+1
		` + nodeLogin + `
		node expect command tag=1 lun=0 read=1+1
		initiator send login imm tag=0 sn=1
		initiator expect reject reason=4
		initiator close
		node expect task-request ref=1`,
	"a planned stop asks for a logout and answers what is outstanding": initiatorLogin + `
		initiator send command tag=1 sn=1 read=1+1
		` + nodeLogin + `
		node expect command tag=1 lun=0 read=1+1
		gateway send stop
		wait 500ms
		initiator expect async event=1
		node send data-in tag=1 data=512*a
		initiator expect data-in tag=1 offset=0 status=good data=512*a
		wait 2s
		initiator expect end`,
	// Guards against a planned stop that ends the session of a client that reads slowly and has not come to the request
	// to log out: its commands were never answered (docs/incidents/2026-12-04-answers-cut-off-at-stop.md).
	"a planned stop serves a client until it acknowledges the request to log out": initiatorLogin + `
		gateway send stop
		wait 500ms
		initiator expect async event=1
		wait 1500ms
		initiator send command tag=1 sn=1 cdb=000000000000
		initiator expect response tag=1 status=good
		wait 1500ms
		initiator send command tag=2 sn=2 cdb=000000000000
		initiator expect response tag=2 status=good
		wait 1s
		initiator send command tag=3 sn=3 expstat=1000 cdb=000000000000
		initiator expect response tag=3 status=good
		wait 500ms
		initiator expect end
		within 5s`,
}

func TestISCSIFrontendFollowsTheRFC(t *testing.T) {
	for name, script := range iscsiProtocolScenarios {
		t.Run(name, func(t *testing.T) { playISCSI(t, script) })
	}
}
