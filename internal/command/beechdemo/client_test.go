package beechdemo

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// startTestDeployment starts the demo deployment with instant engines.
func startTestDeployment(t *testing.T) *deployment {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	d, err := start(ctx, Settings{Log: "error", instant: true}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		if err := d.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return d
}

// The official OpenAI client library must work without changes for streamed and
// unstreamed answers, the list of models, and errors.
func TestOpenAIClientCompatibility(t *testing.T) {
	d := startTestDeployment(t)
	base := "http://" + d.entryAddresses[0].String() + "/v1"
	client := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey(demoKey), option.WithMaxRetries(0))
	question := openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which size fits a 43 foot?")},
		MaxTokens: openai.Int(12),
	}

	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		stream := client.Chat.Completions.NewStreaming(context.Background(), question)
		answer := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			is.True(answer.AddChunk(stream.Current()))
		}
		is.NoErr(stream.Err())
		is.Equal(answer.Choices[0].FinishReason, "length")
		is.True(answer.Choices[0].Message.Content != "")
	})
	t.Run("plain", func(t *testing.T) {
		is := is.New(t)
		answer, err := client.Chat.Completions.New(context.Background(), question)
		is.NoErr(err)
		is.True(answer.Choices[0].Message.Content != "")
		is.Equal(answer.Usage.CompletionTokens, int64(12))
	})
	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		models, err := client.Models.List(context.Background())
		is.NoErr(err)
		is.Equal(models.Data[0].ID, model)
	})
	t.Run("error", func(t *testing.T) {
		is := is.New(t)
		invalidKeyClient := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey("nobody"), option.WithMaxRetries(0))
		_, err := invalidKeyClient.Chat.Completions.New(context.Background(), question)
		var refused *openai.Error
		is.True(errors.As(err, &refused))
		is.Equal(refused.StatusCode, http.StatusUnauthorized)
		is.Equal(refused.Code, "invalid_api_key")
	})
}
