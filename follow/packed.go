package follow

import (
	"sync"

	"github.com/mangopaddle/mangopaddle/directory"
)

// packedServers packs a list of servers once, when another host first needs it.
type packedServers struct {
	servers []directory.Server
	once    sync.Once
	packed  []byte
	err     error
}

// contains reports whether the list is the same slice.
func (ps *packedServers) contains(servers []directory.Server) bool {
	if len(ps.servers) != len(servers) {
		return false
	}
	return len(servers) == 0 || &ps.servers[0] == &servers[0]
}

func (ps *packedServers) bytes() ([]byte, error) {
	ps.once.Do(func() { ps.packed, ps.err = directory.Pack(ps.servers) })
	return ps.packed, ps.err
}
