package simulator

import "dockhinge.example/dockhinge/decide"

// The keywords of the simulator's protocol, and their meaning in the terms of package decide. The
// simulator defines them, so they can't be changed here.

// Keywords that delimit batches, replies and list entries.
const (
	batchStart = "SYNC"
	batchEnd   = "COMMIT"
	replyEnd   = "OK"
	listEntry  = "M"
)

// Keywords of the events.
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

// Keywords of the actions.
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

// absent is the placeholder for a missing value.
const absent = "-"

// allPeers addresses a message to all other instances.
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
