package fakes

import (
	"fmt"
	"os"
)

// HostUse selects one of this lab process's own loopback addresses, which depend on its process id. So a
// port that the lab frees and binds again can't be taken meanwhile by another lab process on the machine,
// nor by outgoing connections, which come from 127.0.0.1. Listeners on any free port have another address
// than listeners that bind the same port again.
type HostUse int

// The uses of addresses.
const (
	AnyPort   HostUse = iota // relays and discovery listeners: a port is bound once
	Servers                  // fake servers, which restart at the same port
	Processes                // real processes, which bind a port that was free before
)

// LoopbackHost returns the address for a use.
func LoopbackHost(use HostUse) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64*(int(use)+1)+pid>>16&63, pid>>8&255, pid&255)
}
