package simulator

import (
	"bytes"
	"encoding/base64"
	"strconv"
	"strings"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/settings"
)

// instance is one router instance. It implements decide.Host by writing actions to the reply.
type instance struct {
	// balancer makes the decisions.
	balancer *decide.Balancer
	// id is the number that the simulator assigned to the instance.
	id string
	// reply receives the actions. All instances share it.
	reply *bytes.Buffer
	// loadColumns are the names of the values of a load report, in order.
	loadColumns []string
}

// open starts an instance, and replaces an instance with the same number.
func (s *session) open(f *fields, id string) error {
	seed := f.seed()
	text := f.remainder()
	if err := f.end(eventOpen); err != nil {
		return err
	}
	parsed, err := settings.Parse([]byte(text))
	if err != nil {
		return err
	}
	in := &instance{id: id, reply: s.reply, loadColumns: parsed.LoadColumns}
	in.balancer, err = decide.New(parsed.Config, seed, in)
	if err != nil {
		return err
	}
	s.instances[id] = in
	return nil
}

// write appends an action to the reply.
func (in *instance) write(action string, values ...string) {
	in.reply.WriteString(action)
	in.reply.WriteByte(' ')
	in.reply.WriteString(in.id)
	for _, v := range values {
		in.reply.WriteByte(' ')
		in.reply.WriteString(v)
	}
	in.reply.WriteByte('\n')
}

func formatID(id uint32) string { return strconv.FormatUint(uint64(id), 10) }

func formatMillis(millis float64) string { return strconv.FormatFloat(millis, 'f', 3, 64) }

// Send writes the action that starts an attempt.
func (in *instance) Send(requestID, serverID uint32, timeoutMillis float64) {
	in.write(actionSend, formatID(requestID), formatID(serverID), formatMillis(timeoutMillis))
}

// Cancel writes the action that cancels an attempt.
func (in *instance) Cancel(requestID uint32, attempt int) {
	in.write(actionCancel, formatID(requestID), strconv.Itoa(attempt))
}

// Reject writes the action that rejects a request, which the client may safely retry.
func (in *instance) Reject(requestID uint32, retryAfterMillis float64) {
	in.write(actionReject, formatID(requestID), formatMillis(retryAfterMillis))
}

// Fail writes the action that fails a request, which may have had an effect.
func (in *instance) Fail(requestID uint32) { in.write(actionFail, formatID(requestID)) }

// HealthCheck writes the action that asks a server for its load.
func (in *instance) HealthCheck(serverID uint32) { in.write(actionHealthCheck, formatID(serverID)) }

// CloseIdle writes the action that closes the idle connections to a server.
func (in *instance) CloseIdle(serverID uint32) { in.write(actionCloseIdle, formatID(serverID)) }

// WatchEndpoints writes the action that subscribes to changes of the endpoint list.
func (in *instance) WatchEndpoints() { in.write(actionWatch, "1") }

// SetTimer writes the action that sets a timer, whose event returns the token.
func (in *instance) SetTimer(afterMillis float64, token uint64) {
	in.write(actionSetTimer, formatMillis(afterMillis), strconv.FormatUint(token, 10))
}

// Gossip writes the action that sends a message to all other instances.
func (in *instance) Gossip(data []byte) {
	in.write(actionGossip, allPeers, base64.StdEncoding.EncodeToString(data))
}

// Log writes the action that adds a line to the simulator's report.
func (in *instance) Log(text string) { in.write(actionLog, strings.ReplaceAll(text, "\n", " ")) }
