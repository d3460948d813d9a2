package e2e_test

import (
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

func newClient(de *quickstart.Deployment, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+de.Host.CallerAddress()+"/v1/"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
}

func question() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     string(quickstart.ModelSmall),
		MaxTokens: openai.Int(6),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which bin takes amber glass?")},
	}
}

func TestOpenAIClientCompletion(t *testing.T) {
	de := testkit.StartDeployment(t)
	client := newClient(de, quickstart.APIKey)
	answer, err := client.Chat.Completions.New(t.Context(), question())
	require.NoError(t, err)
	require.Len(t, answer.Choices, 1)
	require.Len(t, strings.Fields(answer.Choices[0].Message.Content), 6)
	require.EqualValues(t, 6, answer.Usage.CompletionTokens)
}

func TestOpenAIClientStream(t *testing.T) {
	de := testkit.StartDeployment(t)
	client := newClient(de, quickstart.APIKey)
	params := question()
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, accumulated.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Len(t, strings.Fields(accumulated.Choices[0].Message.Content), 6)
	require.EqualValues(t, 6, accumulated.Usage.CompletionTokens)
}

func TestOpenAIClientDecodesErrorAndModelList(t *testing.T) {
	de := testkit.StartDeployment(t)
	client := newClient(de, "wrong")
	_, err := client.Chat.Completions.New(t.Context(), question())
	var refused *openai.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 401, refused.StatusCode)
	require.Equal(t, "unauthorized", refused.Code)

	client = newClient(de, quickstart.APIKey)
	models, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, models.Data, 2)
}
