package decide

import "errors"

// The errors that a Balancer returns, besides *SettingError.
var (
	// ErrImmutableSetting is returned by Reconfigure for a change of a setting that the state of a
	// running router depends on.
	ErrImmutableSetting = errors.New(
		"decide: settings CacheAside, OriginKind and PollEndpoints cannot be changed while a router runs")
	// ErrTakeOverAfterEvent is returned by TakeOver if another event came before it.
	ErrTakeOverAfterEvent = errors.New("decide: taking over a snapshot: another event came before it")
	// ErrInvalidSnapshot is returned by TakeOver if the snapshot holds a value out of its range.
	ErrInvalidSnapshot = errors.New(
		"decide: taking over a snapshot: fetch limit, tolerated wait, idle timeout or start time out of range")
)
