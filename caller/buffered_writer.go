package caller

import (
	"encoding/json"
	"net/http"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
)

// bufferedWriter collects the events of a stream into one non-streaming response.
// The router always streams from engines, so that it detects a lost engine
// early and can resume the work on another one.
type bufferedWriter struct {
	exchange   *exchange
	firstEvent string // JSON text of the first event
	choices    []*choiceBuilder
	usage      json.RawMessage
}

// choiceBuilder accumulates one choice of the response.
type choiceBuilder struct {
	text         []byte
	role         string
	reasoning    []byte
	refusal      []byte
	tools        []*toolCall
	logprobs     []json.RawMessage
	finishReason json.RawMessage
	chat         bool // built from chat deltas, not from plain text
}

// toolCall is a tool call requested by the model.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

func newBufferedWriter(ex *exchange) *bufferedWriter {
	return &bufferedWriter{exchange: ex}
}

func (bw *bufferedWriter) handleEvent(ev engine.Event) error {
	if bw.firstEvent == "" {
		bw.firstEvent = ev.Data
	}
	if usage := gjson.Get(ev.Data, "usage"); usage.IsObject() {
		bw.usage = json.RawMessage(usage.Raw)
	}
	for _, choice := range gjson.Get(ev.Data, "choices").Array() {
		bw.choice(int(choice.Get("index").Int())).addDelta(choice)
	}
	return nil
}

// maxChoices limits the choices of one response, and the tool calls of one
// choice. Data with a larger index is added to the last one.
const maxChoices = 128

func (bw *bufferedWriter) choice(index int) *choiceBuilder {
	index = min(max(index, 0), maxChoices-1)
	for len(bw.choices) <= index {
		bw.choices = append(bw.choices, &choiceBuilder{})
	}
	return bw.choices[index]
}

func (cb *choiceBuilder) addDelta(choice gjson.Result) {
	if reason := choice.Get("finish_reason"); reason.Exists() && reason.Type != gjson.Null {
		cb.finishReason = json.RawMessage(reason.Raw)
	}
	for _, item := range choice.Get("logprobs.content").Array() {
		cb.logprobs = append(cb.logprobs, json.RawMessage(item.Raw))
	}
	cb.text = append(cb.text, choice.Get("text").String()...)
	delta := choice.Get("delta")
	if !delta.Exists() {
		return
	}
	cb.chat = true
	if role := delta.Get("role").String(); role != "" {
		cb.role = role
	}
	cb.text = append(cb.text, delta.Get("content").String()...)
	cb.reasoning = append(cb.reasoning, delta.Get("reasoning_content").String()...)
	cb.refusal = append(cb.refusal, delta.Get("refusal").String()...)
	for _, call := range delta.Get("tool_calls").Array() {
		cb.addToolCall(call)
	}
}

func (cb *choiceBuilder) addToolCall(call gjson.Result) {
	index := min(max(int(call.Get("index").Int()), 0), maxChoices-1)
	for len(cb.tools) <= index {
		cb.tools = append(cb.tools, &toolCall{})
	}
	tool := cb.tools[index]
	if id := call.Get("id").String(); id != "" {
		tool.ID = id
	}
	if kind := call.Get("type").String(); kind != "" {
		tool.Type = kind
	}
	tool.Function.Name += call.Get("function.name").String()
	tool.Function.Arguments += call.Get("function.arguments").String()
}

// chatMessage is the message of a non-streaming chat completion.
type chatMessage struct {
	Role      string      `json:"role"`
	Content   *string     `json:"content"`
	Reasoning string      `json:"reasoning_content,omitempty"`
	Refusal   *string     `json:"refusal"`
	ToolCalls []*toolCall `json:"tool_calls,omitempty"`
}

// responseChoice is one choice of a non-streaming response.
type responseChoice struct {
	Index        int             `json:"index"`
	Message      *chatMessage    `json:"message,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     *logprobs       `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
}

func (cb *choiceBuilder) build(index int) responseChoice {
	text := string(cb.text)
	rc := responseChoice{Index: index, FinishReason: cb.finishReason}
	if rc.FinishReason == nil {
		rc.FinishReason = json.RawMessage("null")
	}
	if len(cb.logprobs) > 0 {
		rc.Logprobs = &logprobs{Content: cb.logprobs}
	}
	if !cb.chat {
		rc.Text = &text
		return rc
	}
	rc.Message = &chatMessage{Role: cb.role, Content: &text, Reasoning: string(cb.reasoning), ToolCalls: cb.tools}
	if text == "" && len(cb.tools) > 0 {
		rc.Message.Content = nil
	}
	if len(cb.refusal) > 0 {
		refusal := string(cb.refusal)
		rc.Message.Refusal = &refusal
	}
	return rc
}

// finish writes the response. Unknown fields of the first event are kept.
func (bw *bufferedWriter) finish() error {
	choices := make([]responseChoice, 0, len(bw.choices))
	object := "text_completion"
	for ix, cb := range bw.choices {
		choices = append(choices, cb.build(ix))
		if cb.chat {
			object = "chat.completion"
		}
	}
	body, err := bw.buildBody(object, choices)
	if err != nil {
		return mp.WrapError(err, mp.KindInternal, "the answer could not be put together")
	}
	bw.exchange.responseStarted = true
	bw.exchange.writer.Header().Set("Content-Type", "application/json")
	bw.exchange.writer.WriteHeader(http.StatusOK)
	if _, err := bw.exchange.writer.Write(body); err != nil {
		return mp.WrapError(err, mp.KindCallerGone, "the caller disconnected before the end of the answer")
	}
	return nil
}

func (bw *bufferedWriter) buildBody(object string, choices []responseChoice) ([]byte, error) {
	encoded, err := json.Marshal(choices)
	if err != nil {
		return nil, err
	}
	body, err := sjson.SetRawBytes([]byte(bw.firstEvent), "choices", encoded)
	if err != nil {
		return nil, err
	}
	body, err = sjson.SetBytes(body, "object", object)
	if err != nil || bw.usage == nil {
		return body, err
	}
	return sjson.SetRawBytes(body, "usage", bw.usage)
}

// reportError does nothing, because no part of the response was sent and the
// server can write an error response.
func (*bufferedWriter) reportError(*mp.Error) bool { return false }
