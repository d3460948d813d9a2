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

func TestBadBodiesAreRefusedWithAClearText(t *testing.T) {
	de := testkit.StartDeployment(t, quickstart.WithSettings(func(st *config.Settings) { st.BodyLimit = 4096 }))
	messages := `"messages":[{"role":"user","content":"x"}]`
	tests := []struct {
		name, body, text string
		status           int
		kind             mp.Kind
	}{
		{"empty", ``, "not a JSON object", 400, mp.KindInvalidRequest},
		{"no object", `[1]`, "not a JSON object", 400, mp.KindInvalidRequest},
		{"cut off", `{"model":"model-small",` + messages, "not valid JSON", 400, mp.KindInvalidRequest},
		{"two values", `{"model":"model-small",` + messages + `} {}`, "ends", 400, mp.KindInvalidRequest},
		{"not UTF-8", "{\"model\":\"model-small\",\"user\":\"\xff\xfe\"," + messages + "}", "UTF-8", 400, mp.KindInvalidRequest},
		{"doubled name", `{"model":"model-small","model":"model-large",` + messages + `}`, "duplicate", 400, mp.KindInvalidRequest},
		{"nested", `{"model":"model-small","x":` + strings.Repeat("[", 200) + strings.Repeat("]", 200) + `,` + messages + `}`, "nested over 64", 400, mp.KindInvalidRequest},
		{"too large", `{"model":"model-small","x":"` + strings.Repeat("a", 5000) + `"}`, "over 4096 bytes", 413, mp.KindRequestTooLarge},
		{"no model", `{` + messages + `}`, `"model"`, 400, mp.KindInvalidRequest},
		{"no messages", `{"model":"model-small"}`, `"messages"`, 400, mp.KindInvalidRequest},
		{"empty messages", `{"model":"model-small","messages":[]}`, `"messages"`, 400, mp.KindInvalidRequest},
		{"odd stream", `{"model":"model-small","stream":"yes",` + messages + `}`, `"stream"`, 400, mp.KindInvalidRequest},
		{"negative limit", `{"model":"model-small","max_tokens":-1,` + messages + `}`, "below zero", 400, mp.KindInvalidRequest},
		{"odd stream options", `{"model":"model-small","stream_options":3,` + messages + `}`, "", 200, 0},
	}
	for _, te := range tests {
		t.Run(te.name, func(t *testing.T) {
			an := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, te.body)
			require.Equal(t, te.status, an.Status, an.Body)
			if te.status == 200 {
				return
			}
			require.Equal(t, te.kind.String(), an.Code())
			require.Contains(t, an.Body, strings.ReplaceAll(te.text, `"`, `\"`))
		})
	}
}

func TestUnknownFieldsReachTheEngine(t *testing.T) {
	de := testkit.StartDeployment(t)
	// ignore_eos is no field of the router's; the engine gives an answer of
	// exactly max_tokens only if it gets the field.
	an := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", true, "77"))
	require.Len(t, strings.Fields(testkit.StreamContent(t, an.Body)), 77)
}
