// Package loopback allocates loopback addresses for servers that run side by side on one
// machine.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// addressCount counts the allocated addresses.
var addressCount atomic.Int32

const (
	// firstPort is below the range of ephemeral ports.
	firstPort = 7000
	// addressesPerPort is the number of IP addresses that one process uses with each
	// port.
	addressesPerPort = 250
)

// Address returns a TCP address that is different for each call and each process: an IP
// address derived from the process ID and a counter, with a port outside the range of
// ephemeral ports. Only processes whose IDs are equal modulo 32768 get the same addresses.
// A free port of a shared IP address could be taken by another process before the server
// starts to listen on it.
func Address() string {
	number, pid := int(addressCount.Add(1)), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+(pid>>8)%128, pid%256, 1+number%addressesPerPort, firstPort+number/addressesPerPort)
}
