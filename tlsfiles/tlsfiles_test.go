package tlsfiles_test

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/testkit"
	"github.com/mangopaddle/mangopaddle/tlsfiles"
)

func serialOf(t *testing.T, reloader *tlsfiles.Reloader) int64 {
	t.Helper()
	pair, err := reloader.Config().GetCertificate(nil)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	require.NoError(t, err)
	return leaf.SerialNumber.Int64()
}

// TestReloadOfChangedFiles checks that a changed pair is served without a restart, and
// that a file which is not completely written does not replace the last valid pair.
func TestReloadOfChangedFiles(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	clock := clockwork.NewFakeClock()
	testkit.WriteCertificate(t, cert, key, 1, clock.Now())
	reloader, err := tlsfiles.New(cert, key, tlsfiles.WithClock(clock))
	require.NoError(t, err)
	require.EqualValues(t, 1, serialOf(t, reloader))

	clock.Advance(time.Minute)
	require.NoError(t, os.WriteFile(cert, []byte("half a file"), 0o600))
	require.EqualValues(t, 1, serialOf(t, reloader), "the last valid pair must be kept")

	clock.Advance(time.Minute)
	testkit.WriteCertificate(t, cert, key, 2, clock.Now())
	require.EqualValues(t, 2, serialOf(t, reloader))
}

func TestMissingFileFails(t *testing.T) {
	_, err := tlsfiles.New("no-cert.pem", "no-key.pem")
	require.ErrorContains(t, err, "no-cert.pem")
}
