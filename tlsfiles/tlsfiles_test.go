package tlsfiles_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/tlsfiles"
)

// writePair writes a certificate with a serial number, and its key, and makes
// the files look written at a time.
func writePair(t *testing.T, cert, key string, serial int64, at time.Time) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: at.Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	require.NoError(t, os.Chtimes(cert, at, at))
	require.NoError(t, os.Chtimes(key, at, at))
}

func serialOf(t *testing.T, files *tlsfiles.Files) int64 {
	t.Helper()
	pair, err := files.Config().GetCertificate(nil)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	require.NoError(t, err)
	return leaf.SerialNumber.Int64()
}

func TestChangedFilesAreLoadedAndBrokenOnesAreNot(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	clock := clockwork.NewFakeClock()
	writePair(t, cert, key, 1, clock.Now())
	files, err := tlsfiles.New(cert, key, tlsfiles.WithClock(clock))
	require.NoError(t, err)
	require.EqualValues(t, 1, serialOf(t, files))

	clock.Advance(time.Minute)
	require.NoError(t, os.WriteFile(cert, []byte("half a file"), 0o600))
	require.EqualValues(t, 1, serialOf(t, files), "the last good pair stays")

	clock.Advance(time.Minute)
	writePair(t, cert, key, 2, clock.Now())
	require.EqualValues(t, 2, serialOf(t, files))
}

func TestMissingFilesAreNamed(t *testing.T) {
	_, err := tlsfiles.New("no-cert.pem", "no-key.pem")
	require.ErrorContains(t, err, "no-cert.pem")
}
