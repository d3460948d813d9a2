package testkit

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// WriteCertificate writes a self-signed certificate for 127.0.0.1 with a serial number,
// and its key, to files in PEM format. It sets their modification time.
func WriteCertificate(t *testing.T, cert, key string, serial int64, at time.Time) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotBefore:    at.Add(-time.Hour),
		NotAfter:     at.Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	writePEM(t, cert, "CERTIFICATE", der, at)
	writePEM(t, key, "EC PRIVATE KEY", keyDER, at)
}

func writePEM(t *testing.T, path, kind string, der []byte, at time.Time) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	require.NoError(t, os.Chtimes(path, at, at))
}
