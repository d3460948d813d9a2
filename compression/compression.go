// Package compression compresses what hosts send each other.
package compression

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// Compress returns data in the gzip format.
func Compress(data []byte) ([]byte, error) {
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

// Decompress is the inverse of Compress. It returns an error if the data isn't valid or
// has more than the limit.
func Decompress(compressed []byte, limit mp.Bytes) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Annotate(err, "compressed data")
	}
	data, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, errors.Annotate(err, "compressed data")
	}
	if mp.Bytes(len(data)) > limit {
		return nil, errors.NotValidf("data of over %d bytes", limit)
	}
	return data, nil
}
