package decide

import "errors"

// The errors of a Balancer, besides *SettingError.
var (
	// ErrFixedSetting is returned by Reconfigure for settings that can't change while a router runs,
	// as what was learnt depends on them.
	ErrFixedSetting = errors.New(
		"decide: settings CacheAside, OriginKind and PollEndpoints can't change while a router runs")
	// ErrNotFirst is returned by TakeOver after another event.
	ErrNotFirst = errors.New("decide: taking over a snapshot: it must come before all other events")
	// ErrImpossibleSnapshot is returned by TakeOver for values that can't be true.
	ErrImpossibleSnapshot = errors.New("decide: taking over a snapshot: it holds impossible values")
)
