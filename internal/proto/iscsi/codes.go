package iscsi

// RejectReason states why a PDU is rejected (section 11.17.1).
type RejectReason byte

// The reasons that the gateway uses.
const (
	ProtocolError       RejectReason = 0x04
	CommandNotSupported RejectReason = 0x05
	TooManyImmediate    RejectReason = 0x06 // too many immediate commands
	TaskInProgress      RejectReason = 0x07
	InvalidPDUField     RejectReason = 0x09
)

// AbortTask is the only task management function that the gateway supports (section 11.5.1).
const AbortTask = 1

// Responses to task management functions (section 11.6.1).
const (
	TaskFunctionComplete     = 0
	TaskDoesNotExist         = 1
	TaskFunctionNotSupported = 5
)

// LoginStatus is the status class and detail of a Login Response (section 11.13.5).
type LoginStatus uint16

// The login statuses that the gateway uses.
const (
	LoginOK                      LoginStatus = 0x0000
	LoginInitiatorError          LoginStatus = 0x0200
	LoginTargetNotFound          LoginStatus = 0x0203
	LoginUnsupportedVersion      LoginStatus = 0x0205
	LoginMissingParameter        LoginStatus = 0x0207
	LoginSessionTypeNotSupported LoginStatus = 0x0209
	LoginSessionDoesNotExist     LoginStatus = 0x020a
	LoginOutOfResources          LoginStatus = 0x0302
)

// Login stages (section 11.12.3).
const (
	SecurityStage    = 0 // SecurityNegotiation
	OperationalStage = 1 // LoginOperationalNegotiation
	FullFeature      = 3 // FullFeaturePhase
)
