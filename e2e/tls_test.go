package e2e_test

import (
	"crypto/tls"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

func TestTLSCertificateReload(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	testkit.WriteCertificate(t, cert, key, 1, time.Now().Add(-time.Minute))
	de := testkit.StartDeployment(t, quickstart.WithSettings(func(st *config.Settings) { st.TLSCert, st.TLSKey = cert, key }))
	serial := func() int64 {
		// The test's certificate is self-signed.
		connection, err := tls.Dial("tcp", de.Host.CallerAddress(), &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		defer func() { _ = connection.Close() }()
		return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	require.EqualValues(t, 1, serial())
	testkit.WriteCertificate(t, cert, key, 2, time.Now())
	testkit.Eventually(t, func() bool { return serial() == 2 }, "the server did not reload the certificate")

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	defer client.CloseIdleConnections()
	request := testkit.Request(t.Context(), t, de.Host.CallerAddress(), http.MethodGet, "/v1/models", "")
	request.URL.Scheme = "https"
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}
