package watchlog

import "fmt"

// CompactedError means that the log no longer has the changes after a revision: a snapshot is
// required.
type CompactedError struct{ After, Compacted uint64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d: those through %d are compacted", e.After, e.Compacted)
}

// BehindError means that the watcher has a newer revision than the log, which is that of a stale
// observer or coordinator.
type BehindError struct{ After, Newest uint64 }

func (e *BehindError) Error() string {
	return fmt.Sprintf("changes after revision %d: the newest here is %d", e.After, e.Newest)
}

// GapError means that a change or batch doesn't follow the current revision.
type GapError struct{ Current, Got uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("change of revision %d: it doesn't follow revision %d, which is held", e.Got, e.Current)
}

// StaleError means that a snapshot is older than the current revision.
type StaleError struct{ Current, Got uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("snapshot of revision %d: revision %d is held", e.Got, e.Current)
}
