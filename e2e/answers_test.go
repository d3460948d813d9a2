package e2e_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

// contentOf returns the text of a whole chat answer.
func contentOf(t *testing.T, answer string) string {
	t.Helper()
	content := gjson.Get(answer, "choices.0.message.content")
	require.True(t, content.Exists(), answer)
	return content.String()
}

// streamedContent returns the text of a streamed chat answer.
func streamedContent(t *testing.T, stream string) string {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		require.False(t, gjson.Get(data, "error").Exists(), data)
		text.WriteString(gjson.Get(data, "choices.0.delta.content").String())
	}
	return text.String()
}
