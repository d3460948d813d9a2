package process_test

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/loopback"
)

// runCommand runs the program to completion and returns its combined output and
// exit code.
func runCommand(t *testing.T, env []string, args ...string) (string, int) {
	t.Helper()
	command := exec.Command(binary, args...)
	command.Env = append(os.Environ(), env...)
	text, err := command.CombinedOutput()
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		return string(text), exit.ExitCode()
	}
	require.NoError(t, err)
	return string(text), 0
}

func TestInitFilesPassCheck(t *testing.T) {
	for _, example := range []string{"glassround", "grondwater"} {
		dir := filepath.Join(t.TempDir(), "set")
		text, code := runCommand(t, nil, "init", "--dir", dir, "--example", example)
		require.Zero(t, code, text)
		text, code = runCommand(t, nil, "check", "--dir", dir)
		require.Zero(t, code, text)
		require.Equal(t, "ok: 10 contracts, 12 engines, 3 services\n", text)
		text, code = runCommand(t, nil, "init", "--dir", dir, "--example", example)
		require.Equal(t, 1, code, "existing files are not overwritten")
		require.Contains(t, text, "exists")
	}
}

func TestCheckReportsFileAndJSONPath(t *testing.T) {
	text, code := runCommand(t, nil, "check", "--dir", filepath.Join("..", "config", "testdata", "bad"))
	require.Equal(t, 1, code)
	require.Contains(t, text, "error: contracts/one.json: /classes/0/tier: ")
	require.Contains(t, text, "error: fleet.json: /engines/1: ")
	require.Len(t, strings.Split(strings.TrimSpace(text), "\n"), 6)
	text, code = runCommand(t, nil, "check", "--json", "--dir", filepath.Join("..", "config", "testdata", "bad"))
	require.Equal(t, 1, code)
	require.True(t, json.Valid([]byte(text)))
}

func TestServeRejectsInvalidSettings(t *testing.T) {
	text, code := runCommand(t, []string{"MANGOPADDLE_PLATFORM=nowhere"}, "serve", "--silence", "0s")
	require.Equal(t, 1, code)
	for _, want := range []string{`setting host is ""; want the name`, `setting platform is "nowhere"; want an IP address with a port`, "setting silence is"} {
		require.Contains(t, text, want)
	}
	text, code = runCommand(t, nil, "serve", "--silense", "1s")
	require.Equal(t, 2, code)
	require.Contains(t, text, "silense")
}

func TestSettingsFileRejectsUnknownField(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"host":"h","colour":"red"}`), 0o600))
	text, code := runCommand(t, nil, "serve", "--settings", file)
	require.NotZero(t, code)
	require.Contains(t, text, "colour")
}

func TestJSONSchemaCommand(t *testing.T) {
	for _, name := range []string{"fleet", "contract"} {
		text, code := runCommand(t, nil, "jsonschema", name)
		require.Zero(t, code)
		require.True(t, json.Valid([]byte(text)))
	}
	text, code := runCommand(t, nil, "jsonschema", "colour")
	require.Equal(t, 1, code)
	require.Contains(t, text, `schema "colour"`)
}

func TestHealthcheckFailsWithoutHost(t *testing.T) {
	address := loopback.Address()
	text, code := runCommand(t, nil, "healthcheck", "--address", address)
	require.Equal(t, 1, code)
	require.Contains(t, text, "host at "+address)
}

func TestVersionCommand(t *testing.T) {
	text, code := runCommand(t, nil, "version")
	require.Zero(t, code)
	require.True(t, strings.HasPrefix(text, "mangopaddle "))
}

func TestReplayExitCodeFollowsExpectations(t *testing.T) {
	dir := t.TempDir()
	trace, expect, page := filepath.Join(dir, "trace.jsonl"), filepath.Join(dir, "expect.json"), filepath.Join(dir, "page.html")
	contracts := filepath.Join("..", "examples", "glassround")
	spec := filepath.Join(dir, "spec.json")
	require.NoError(t, os.WriteFile(spec, []byte(`{"seed":1,"lasts":"5s","load":0.3,"classes":{"driver-questions":{"prompt":100,"output":30,"sigma":0.5}}}`), 0o600))
	text, code := runCommand(t, nil, "trace", "--spec", spec, "--contracts", contracts, "--out", trace)
	require.Zero(t, code, text)
	require.NoError(t, os.WriteFile(expect, []byte(`[{"class":"driver-questions","metric":"first_token","least":0.9}]`), 0o600))
	text, code = runCommand(t, nil, "replay", "--trace", trace, "--contracts", contracts, "--expect", expect, "--html", page)
	require.Zero(t, code, text)
	require.Contains(t, text, "1 expectations met")
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(html), "<svg")
	require.NoError(t, os.WriteFile(expect, []byte(`[{"metric":"lost","least":1}]`), 0o600))
	text, code = runCommand(t, nil, "replay", "--trace", trace, "--contracts", contracts, "--expect", expect)
	require.Equal(t, 1, code)
	require.Contains(t, text, "not met: lost of the replay is 0.0000; want at least 1")
}
