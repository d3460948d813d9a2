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

// Unpack is the inverse of Pack. It returns an error if the data is no list or too large.
func Unpack(packed []byte) ([]Server, error) {
	data, err := compression.Decompress(packed, maxPackedBytes)
	if err != nil {
		return nil, errors.Annotate(err, "list of servers")
	}
	var servers []Server
	if err := json.Unmarshal(data, &servers); err != nil {
		return nil, errors.Annotate(err, "list of servers")
	}
	return servers, nil
}
