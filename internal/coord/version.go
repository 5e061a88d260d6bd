//go:build !nextversion

package coord

// Version is the newest command and state that this program understands. Commands are of the version that all coordinators
// understand, State.V, until an operator raises it (members upgrade).
const Version = 4 // 2: internal/rollout; 3: the speed of answers in it; 4: the agreed configuration, and bounds for 5,100 routers
