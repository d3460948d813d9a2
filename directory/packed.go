package directory

import (
	"encoding/json"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/compression"
)

// maxPackedBytes bounds a list after decompression. It has room for 30,000 servers.
const maxPackedBytes = 8 * mp.Mebibyte

// Pack returns a list of servers in the form in which hosts send it to each other.
func Pack(servers []Server) ([]byte, error) {
	data, err := json.Marshal(servers)
	if err != nil {
		return nil, errors.Trace(err)
	}
	packed, err := compression.Compress(data)
	return packed, errors.Trace(err)
}

// Unpack is the inverse of Pack. It leaves out each entry that can't be read or names no
// server, as Check says. It returns an error if the data is no list or too large, or if no entry of it
// is sound.
func Unpack(packed []byte) ([]Server, error) {
	data, err := compression.Decompress(packed, maxPackedBytes)
	if err != nil {
		return nil, errors.Annotate(err, "list of servers")
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, errors.Annotate(err, "list of servers")
	}
	servers := make([]Server, 0, len(entries))
	for _, entry := range entries {
		var se Server
		if err := json.Unmarshal(entry, &se); err != nil || se.Check() != nil {
			continue
		}
		servers = append(servers, se)
	}
	if len(servers) == 0 && len(entries) > 0 {
		return nil, errors.NotValidf("list of %d servers without a sound one", len(entries))
	}
	return servers, nil
}
