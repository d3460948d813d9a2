package gateway_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/gateway"
)

const settingsJSON = `{"host":"h","data_centre":"d","region":"r","regions":{"d":"r"},"callers":"127.0.0.1:1","readiness":"127.0.0.1:2",
"peers":"127.0.0.1:3","metrics":"127.0.0.1:4","loads":"127.0.0.1:5","seeds":["127.0.0.1:6"],"store":"127.0.0.1:7","memory_mb":134}`

func TestDecodeSettingsAppliesDefaults(t *testing.T) {
	se, err := gateway.DecodeSettings([]byte(settingsJSON))
	require.NoError(t, err)
	require.Equal(t, "h", string(se.Host))
	require.Positive(t, se.StopTimeout)
}

func TestDecodeSettingsErrors(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{`{`, "not valid"},
		{`{"hots":"h"}`, `unknown field "hots"`},
		{`{"host":"h"}`, `callers is ""; want an IP address with a port`},
		{`{"host":"h","callers":"localhost:80"}`, `callers is "localhost:80"`},
		{`{"host":"h","stop_time":8}`, "want a string with a unit"},
		{`{"host":"h","stop_time":"-1s"}`, `stop_time is "-1s"`},
		{`{"host":"h","retry_ratio":3}`, `retry_ratio is "3"`},
		{`{"host":"h","cold_overage":0.5}`, `cold_overage is "0.5"`},
		{`{"host":"h","forwards":"x"}`, `forwards is "x"`},
		{`{"host":"h","seeds":["x"]}`, `seeds[0] is "x"`},
		{`{"host":"h","overflow":{"cost_per_byte":"-1us"}}`, `overflow.cost_per_byte is -1µs`},
		{`{"host":"h","overflow":{"cost_per_ms":-1}}`, `overflow.cost_per_ms is -1`},
		{`{"host":"h","overflow":{"price":1}}`, `unknown field "price"`},
	} {
		_, err := gateway.DecodeSettings([]byte(test.text))
		require.ErrorContains(t, err, test.want)
	}
}

func TestReadSettingsMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.json")
	_, err := gateway.ReadSettings(path)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.ErrorContains(t, err, path)
}
