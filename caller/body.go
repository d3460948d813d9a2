package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/clientlimit"
)

// bodyWeight is how many times its size a body holds: the received one and the one that is
// sent to the engine.
const bodyWeight = 2

// readBody reads the request body within the size limit. It is released at the end of the
// exchange.
func (se *Server) readBody(ex *exchange) ([]byte, error) {
	body, err := clientlimit.ReadBody(ex.writer, ex.request, clientlimit.BodyOptions{Limit: se.limits.MaxBodyBytes, Weight: bodyWeight})
	if err == nil {
		ex.body = body
		return body.Bytes(), nil
	}
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return nil, mp.NewError(mp.KindRequestTooLarge, "the body is over %d bytes", se.limits.MaxBodyBytes)
	}
	clientlimit.CloseAfterResponse(ex.writer)
	if errors.Is(err, clientlimit.ErrNoRoom) {
		return nil, mp.WrapError(err, mp.KindOverloaded, "this host has no room for the body")
	}
	return nil, mp.WrapError(err, mp.KindInvalidRequest, "the body did not arrive whole")
}

// checkJSON checks a body. Of large ones only one is checked at a time, because the names
// of many short fields take many times their size meanwhile.
func (se *Server) checkJSON(ctx context.Context, body []byte) error {
	if len(body) > clientlimit.SmallBodyBytes {
		select {
		case se.largeChecks <- struct{}{}:
			defer func() { <-se.largeChecks }()
		case <-ctx.Done():
			return mp.WrapError(ctx.Err(), mp.KindCallerGone, "the caller disconnected")
		}
	}
	return se.checkObject(body)
}

// checkObject verifies that the body is a single JSON object in UTF-8, without
// duplicate names and within the nesting limit.
func (se *Server) checkObject(body []byte) error {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(body))
	if decoder.PeekKind() != jsontext.KindBeginObject {
		return mp.NewError(mp.KindInvalidRequest, "the body is not a JSON object")
	}
	for {
		_, err := decoder.ReadToken()
		if err != nil {
			return mp.NewError(mp.KindInvalidRequest, "the body is not valid JSON: %s", strings.TrimPrefix(err.Error(), "jsontext: "))
		}
		if decoder.StackDepth() > se.limits.MaxJSONDepth {
			return mp.NewError(mp.KindInvalidRequest, "the body is nested over %d levels deep", se.limits.MaxJSONDepth)
		}
		if decoder.StackDepth() == 0 {
			return checkNoTrailingData(decoder)
		}
	}
}

// checkNoTrailingData verifies that nothing follows the object.
func checkNoTrailingData(decoder *jsontext.Decoder) error {
	if _, err := decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return mp.NewError(mp.KindInvalidRequest, "the body goes on after the object ends")
	}
	return nil
}

// bytesPerToken is the ratio used to estimate token counts from the size of a
// text.
const bytesPerToken = 4

// maxPrefixBytes limits how much of a plain text prompt is treated as a prefix
// that requests share.
const maxPrefixBytes = 1024

// completion holds the fields of a completion request that the router uses.
type completion struct {
	model           mp.ModelID
	stream          bool
	wantsUsage      bool
	resumable       bool // a single choice, so that the delivered tokens can be counted
	maxAnswerTokens mp.Tokens
	promptTokens    mp.Tokens // estimated from the size of the body
	prefix          string    // first message of a chat, or the start of a text prompt
}

// parseCompletion extracts and validates the fields that the router needs from
// a body that checkJSON has accepted.
func parseCompletion(ex *exchange, body []byte) (*completion, error) {
	fields := gjson.GetManyBytes(body, "model", "stream", "stream_options.include_usage", "max_tokens", "max_completion_tokens", "n", "messages", "prompt")
	model, stream, usage, maxTokens, maxCompletionTokens, choiceCount, messages, prompt := fields[0], fields[1], fields[2], fields[3], fields[4], fields[5], fields[6], fields[7]
	if model.Type != gjson.String || model.Str == "" {
		return nil, mp.NewError(mp.KindInvalidRequest, "field \"model\" is missing or is not a string")
	}
	chat := strings.HasPrefix(ex.request.URL.Path, "/v1/chat/")
	if chat && (!messages.IsArray() || !messages.Get("0").Exists()) {
		return nil, mp.NewError(mp.KindInvalidRequest, "field \"messages\" is missing or is not a list with messages")
	}
	if !chat && !prompt.Exists() {
		return nil, mp.NewError(mp.KindInvalidRequest, "field \"prompt\" is missing")
	}
	if stream.Exists() && !stream.IsBool() && stream.Type != gjson.Null {
		return nil, mp.NewError(mp.KindInvalidRequest, "field \"stream\" is not true or false")
	}
	if maxTokens.Num < 0 || maxCompletionTokens.Num < 0 {
		return nil, mp.NewError(mp.KindInvalidRequest, "the limit of the answer's tokens is below zero")
	}
	cm := &completion{
		model:           mp.ModelID(model.Str),
		stream:          stream.Bool(),
		wantsUsage:      usage.Type == gjson.True,
		resumable:       choiceCount.Int() <= 1,
		maxAnswerTokens: mp.Tokens(max(maxTokens.Int(), maxCompletionTokens.Int())),
		promptTokens:    mp.Tokens(len(body)/bytesPerToken + 1),
		prefix:          messages.Get("0.content").String(),
	}
	if !chat {
		text := prompt.String()
		cm.prefix = text[:min(maxPrefixBytes, len(text))]
	}
	return cm, nil
}

// prefixID returns a hash of the prefix, by which requests that share it are
// recognised, or zero if there is none.
func (cm *completion) prefixID() uint64 {
	if cm.prefix == "" {
		return 0
	}
	return xxhash.Sum64String(cm.prefix)
}

// engineBody returns the body to send to the engine. It always requests a
// stream with usage at the end, and it sets the request's priority in the
// engine's queue. All other fields are kept unchanged, including unknown ones.
func engineBody(body []byte, cm *completion, priority int) ([]byte, error) {
	patched, err := body, error(nil)
	if !cm.stream {
		if patched, err = sjson.SetBytes(patched, "stream", true); err != nil {
			return nil, mp.WrapError(err, mp.KindInvalidRequest, "field \"stream\" cannot be set")
		}
	}
	if !cm.wantsUsage {
		if patched, err = sjson.SetBytes(patched, "stream_options.include_usage", true); err != nil {
			return nil, mp.WrapError(err, mp.KindInvalidRequest, "field \"stream_options\" cannot be set")
		}
	}
	if patched, err = sjson.SetBytes(patched, "priority", priority); err != nil {
		return nil, mp.WrapError(err, mp.KindInvalidRequest, "field \"priority\" cannot be set")
	}
	return patched, nil
}
