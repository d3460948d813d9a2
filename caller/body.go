package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	mp "github.com/mangopaddle/mangopaddle"
)

// readBody returns the request's body within the limits.
func (se *Server) readBody(ex *exchange) ([]byte, error) {
	if err := ex.control.SetReadDeadline(se.clock.Now().Add(se.limits.ReadTimeout)); err != nil {
		return nil, mp.WrapError(err, mp.KindInternal, "the read deadline could not be set")
	}
	body, err := io.ReadAll(http.MaxBytesReader(ex.writer, ex.request.Body, int64(se.limits.MaxBodySize)))
	if err == nil {
		// The server goes on reading, to notice when the caller leaves.
		err = ex.control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		return body, nil
	}
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return nil, mp.NewError(mp.KindRequestTooLarge, "the body is over %d bytes", se.limits.MaxBodySize)
	}
	return nil, mp.WrapError(err, mp.KindInvalidRequest, "the body did not arrive whole")
}

// checkJSON makes sure that the body is one JSON object in UTF-8, without
// doubled names and not nested too deeply.
func (se *Server) checkJSON(body []byte) error {
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
			return checkEnd(decoder)
		}
	}
}

// checkEnd makes sure that nothing follows the object.
func checkEnd(decoder *jsontext.Decoder) error {
	if _, err := decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return mp.NewError(mp.KindInvalidRequest, "the body goes on after the object ends")
	}
	return nil
}

// bytesPerToken estimates the length of a prompt.
const bytesPerToken = 4

// prefixBytes bounds the part of a plain prompt that counts as shared.
const prefixBytes = 1024

// completion is a parsed completion request.
type completion struct {
	model       mp.ModelID
	stream      bool
	wantsUsage  bool
	resumable   bool // one choice, so that tokens can be counted
	answerLimit mp.Tokens
	prompt      mp.Tokens
	prefix      string
}

// parse reads what the router needs of a checked body.
func parse(ex *exchange, body []byte) (*completion, error) {
	fields := gjson.GetManyBytes(body, "model", "stream", "stream_options.include_usage", "max_tokens", "max_completion_tokens", "n", "messages", "prompt")
	model, stream, usage, limit, newLimit, choices, messages, prompt := fields[0], fields[1], fields[2], fields[3], fields[4], fields[5], fields[6], fields[7]
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
	if limit.Num < 0 || newLimit.Num < 0 {
		return nil, mp.NewError(mp.KindInvalidRequest, "the limit of the answer's tokens is below zero")
	}
	cm := &completion{
		model:       mp.ModelID(model.Str),
		stream:      stream.Bool(),
		wantsUsage:  usage.Type == gjson.True,
		resumable:   choices.Int() <= 1,
		answerLimit: mp.Tokens(max(limit.Int(), newLimit.Int())),
		prompt:      mp.Tokens(len(body)/bytesPerToken + 1),
		prefix:      messages.Get("0.content").String(),
	}
	if !chat {
		text := prompt.String()
		cm.prefix = text[:min(prefixBytes, len(text))]
	}
	return cm, nil
}

// prefixID names the shared part of the prompt; zero if there is none.
func (cm *completion) prefixID() uint64 {
	if cm.prefix == "" {
		return 0
	}
	return xxhash.Sum64String(cm.prefix)
}

// engineBody returns the body that is sent to the engine: always a stream with
// its usage at the end, with the request's priority. Fields that the router does
// not know stay as they are, and the body is copied only for what differs.
func engineBody(body []byte, cm *completion, priority int) ([]byte, error) {
	out, err := body, error(nil)
	if !cm.stream {
		if out, err = sjson.SetBytes(out, "stream", true); err != nil {
			return nil, mp.WrapError(err, mp.KindInvalidRequest, "field \"stream\" cannot be set")
		}
	}
	if !cm.wantsUsage {
		if out, err = sjson.SetBytes(out, "stream_options.include_usage", true); err != nil {
			return nil, mp.WrapError(err, mp.KindInvalidRequest, "field \"stream_options\" cannot be set")
		}
	}
	if out, err = sjson.SetBytes(out, "priority", priority); err != nil {
		return nil, mp.WrapError(err, mp.KindInvalidRequest, "field \"priority\" cannot be set")
	}
	return out, nil
}
