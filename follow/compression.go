package follow

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"
)

// maxConfigurationBytes is the largest decompressed configuration that is accepted from
// another host: a few times what the store takes.
const maxConfigurationBytes = 4 << 20

// compress returns data in the gzip format.
func compress(data []byte) ([]byte, error) {
	compressed := &bytes.Buffer{}
	writer, err := gzip.NewWriterLevel(compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return bytes.Clone(compressed.Bytes()), nil
}

// decompress is the inverse of compress. It returns an error if the data isn't valid or
// has more than maxConfigurationBytes.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Annotate(err, "compressed configuration")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "compressed configuration")
	}
	if len(data) > maxConfigurationBytes {
		return nil, errors.NotValidf("configuration of over %d bytes", maxConfigurationBytes)
	}
	return data, nil
}
