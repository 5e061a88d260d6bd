package simulator

import "dockhinge.example/dockhinge/decide"

// The words of the simulator's protocol, and what they mean in the terms of the decide package.
// They are the simulator's own and must stay as they are.

// The lines around events and actions.
const (
	batchStart = "SYNC"
	batchEnd   = "COMMIT"
	replyEnd   = "OK"
	listEntry  = "M"
)

// The events.
const (
	eventOpen               = "OPEN_INSTANCE"
	eventClose              = "SHUTDOWN"
	eventEndpoints          = "DIRECTORY_UPDATE"
	eventRequest            = "ASK"
	eventClientDisconnected = "VANISHED"
	eventStreamStarted      = "UNDER_WAY"
	eventAttemptEnded       = "RETURNED"
	eventHealthCheckEnded   = "STATUS_BACK"
	eventGossip             = "MESSAGE"
	eventTimer              = "FIRED"
)

// The actions.
const (
	actionSend        = "PLACE"
	actionCancel      = "WITHDRAW"
	actionReject      = "OVERLOAD_REPLY"
	actionFail        = "GIVE_UP"
	actionHealthCheck = "HEALTH_CHECK"
	actionCloseIdle   = "LET_GO"
	actionWatch       = "TAIL"
	actionSetTimer    = "ARM"
	actionGossip      = "MEMO_TO"
	actionLog         = "RECORD"
)

// absent stands for a value that is not given.
const absent = "-"

// allPeers stands for every other instance as the receiver of a message.
const allPeers = "-1"

var statuses = map[string]decide.AttemptStatus{
	"Ok":           decide.OK,
	"Failed":       decide.Failed,
	"QueueFull":    decide.QueueFull,
	"TimedOut":     decide.Timeout,
	"ConnectError": decide.ConnectError,
	"ResetByPeer":  decide.Reset,
	"Canceled":     decide.Canceled,
	"Ignored":      decide.Unprocessed,
	"Miss":         decide.Miss,
}

var updateKinds = map[string]decide.EndpointUpdateKind{
	"changes":    decide.ChangedEndpoints,
	"all":        decide.AllEndpoints,
	"remembered": decide.RestoredEndpoints,
	"refused":    decide.WatchFailed,
}

var states = map[string]decide.State{
	"ready":    decide.Ready,
	"draining": decide.Draining,
	"gone":     decide.Removed,
}
