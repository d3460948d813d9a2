// Package loopback gives out addresses for servers that run on one machine beside
// others.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// addresses counts the addresses that were given out.
var addresses atomic.Int32

const (
	// firstPort lies below the range for outgoing connections.
	firstPort = 7000
	// addressesPerPort is how many IP numbers of a process share a port.
	addressesPerPort = 250
)

// Address returns an address that nothing else uses: an IP number of its own, told
// apart by the process, with a port outside of the range for outgoing connections.
// A free port of a shared number could be taken by another process before the server
// that it is meant for starts.
func Address() string {
	number, id := int(addresses.Add(1)), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+(id>>8)%128, id%256, 1+number%addressesPerPort, firstPort+number/addressesPerPort)
}
