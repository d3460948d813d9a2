package e2e_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

func TestInvalidBodyIsRejected(t *testing.T) {
	de := testkit.StartDeployment(t, quickstart.WithSettings(func(st *config.Settings) { st.MaxBodyBytes = 4096 }))
	messages := `"messages":[{"role":"user","content":"x"}]`
	tests := []struct {
		name, body, text string
		status           int
		kind             mp.Kind
	}{
		{"empty", ``, "not a JSON object", 400, mp.KindInvalidRequest},
		{"not an object", `[1]`, "not a JSON object", 400, mp.KindInvalidRequest},
		{"truncated", `{"model":"model-small",` + messages, "not valid JSON", 400, mp.KindInvalidRequest},
		{"two values", `{"model":"model-small",` + messages + `} {}`, "ends", 400, mp.KindInvalidRequest},
		{"not UTF-8", "{\"model\":\"model-small\",\"user\":\"\xff\xfe\"," + messages + "}", "UTF-8", 400, mp.KindInvalidRequest},
		{"duplicate name", `{"model":"model-small","model":"model-large",` + messages + `}`, "duplicate", 400, mp.KindInvalidRequest},
		{"nested too deeply", `{"model":"model-small","x":` + strings.Repeat("[", 200) + strings.Repeat("]", 200) + `,` + messages + `}`, "nested over 64", 400, mp.KindInvalidRequest},
		{"too large", `{"model":"model-small","x":"` + strings.Repeat("a", 5000) + `"}`, "over 4096 bytes", 413, mp.KindRequestTooLarge},
		{"no model", `{` + messages + `}`, `"model"`, 400, mp.KindInvalidRequest},
		{"no messages", `{"model":"model-small"}`, `"messages"`, 400, mp.KindInvalidRequest},
		{"empty messages", `{"model":"model-small","messages":[]}`, `"messages"`, 400, mp.KindInvalidRequest},
		{"stream not a boolean", `{"model":"model-small","stream":"yes",` + messages + `}`, `"stream"`, 400, mp.KindInvalidRequest},
		{"negative limit", `{"model":"model-small","max_tokens":-1,` + messages + `}`, "below zero", 400, mp.KindInvalidRequest},
		{"stream options not an object", `{"model":"model-small","stream_options":3,` + messages + `}`, "", 200, 0},
	}
	for _, te := range tests {
		t.Run(te.name, func(t *testing.T) {
			re := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, te.body)
			require.Equal(t, te.status, re.Status, re.Body)
			if te.status == 200 {
				return
			}
			require.Equal(t, te.kind.String(), re.Code())
			require.Contains(t, re.Body, strings.ReplaceAll(te.text, `"`, `\"`))
		})
	}
}

func TestUnknownFieldsAreForwarded(t *testing.T) {
	de := testkit.StartDeployment(t)
	// The router does not interpret ignore_eos. The engine answers with exactly
	// max_tokens only if it receives the field.
	re := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", true, "77"))
	require.Len(t, strings.Fields(testkit.StreamContent(t, re.Body)), 77)
}
