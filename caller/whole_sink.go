package caller

import (
	"encoding/json"
	"net/http"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
)

// bufferedSink collects the events of a stream into one non-streaming response.
// The router always streams from engines, so that it detects a lost engine
// early and can resume the work on another one.
type bufferedSink struct {
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
	chat         bool
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

func newBufferedSink(ex *exchange) *bufferedSink {
	return &bufferedSink{exchange: ex}
}

func (ws *bufferedSink) handleEvent(ev engine.Event) error {
	if ws.firstEvent == "" {
		ws.firstEvent = ev.Data
	}
	if usage := gjson.Get(ev.Data, "usage"); usage.IsObject() {
		ws.usage = json.RawMessage(usage.Raw)
	}
	for _, choice := range gjson.Get(ev.Data, "choices").Array() {
		ws.choice(int(choice.Get("index").Int())).addDelta(choice)
	}
	return nil
}

// maxChoices limits the choices of one response, and the tool calls of one
// choice.
const maxChoices = 128

func (ws *bufferedSink) choice(index int) *choiceBuilder {
	index = min(max(index, 0), maxChoices-1)
	for len(ws.choices) <= index {
		ws.choices = append(ws.choices, &choiceBuilder{})
	}
	return ws.choices[index]
}

func (wc *choiceBuilder) addDelta(choice gjson.Result) {
	if reason := choice.Get("finish_reason"); reason.Exists() && reason.Type != gjson.Null {
		wc.finishReason = json.RawMessage(reason.Raw)
	}
	for _, item := range choice.Get("logprobs.content").Array() {
		wc.logprobs = append(wc.logprobs, json.RawMessage(item.Raw))
	}
	wc.text = append(wc.text, choice.Get("text").String()...)
	delta := choice.Get("delta")
	if !delta.Exists() {
		return
	}
	wc.chat = true
	if role := delta.Get("role").String(); role != "" {
		wc.role = role
	}
	wc.text = append(wc.text, delta.Get("content").String()...)
	wc.reasoning = append(wc.reasoning, delta.Get("reasoning_content").String()...)
	wc.refusal = append(wc.refusal, delta.Get("refusal").String()...)
	for _, call := range delta.Get("tool_calls").Array() {
		wc.addToolCall(call)
	}
}

func (wc *choiceBuilder) addToolCall(call gjson.Result) {
	index := min(max(int(call.Get("index").Int()), 0), maxChoices-1)
	for len(wc.tools) <= index {
		wc.tools = append(wc.tools, &toolCall{})
	}
	tool := wc.tools[index]
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

func (wc *choiceBuilder) build(index int) responseChoice {
	text := string(wc.text)
	ac := responseChoice{Index: index, FinishReason: wc.finishReason}
	if ac.FinishReason == nil {
		ac.FinishReason = json.RawMessage("null")
	}
	if len(wc.logprobs) > 0 {
		ac.Logprobs = &logprobs{Content: wc.logprobs}
	}
	if !wc.chat {
		ac.Text = &text
		return ac
	}
	ac.Message = &chatMessage{Role: wc.role, Content: &text, Reasoning: string(wc.reasoning), ToolCalls: wc.tools}
	if text == "" && len(wc.tools) > 0 {
		ac.Message.Content = nil
	}
	if len(wc.refusal) > 0 {
		refusal := string(wc.refusal)
		ac.Message.Refusal = &refusal
	}
	return ac
}

// finish writes the response. Fields of the first event that the router does
// not know are kept.
func (ws *bufferedSink) finish() error {
	choices := make([]responseChoice, 0, len(ws.choices))
	object := "text_completion"
	for ix, wc := range ws.choices {
		choices = append(choices, wc.build(ix))
		if wc.chat {
			object = "chat.completion"
		}
	}
	out, err := ws.buildBody(object, choices)
	if err != nil {
		return mp.WrapError(err, mp.KindInternal, "the answer could not be put together")
	}
	ws.exchange.responseStarted = true
	ws.exchange.writer.Header().Set("Content-Type", "application/json")
	ws.exchange.writer.WriteHeader(http.StatusOK)
	if _, err := ws.exchange.writer.Write(out); err != nil {
		return mp.WrapError(err, mp.KindCallerGone, "the caller left before the end of the answer")
	}
	return nil
}

func (ws *bufferedSink) buildBody(object string, choices []responseChoice) ([]byte, error) {
	encoded, err := json.Marshal(choices)
	if err != nil {
		return nil, err
	}
	out, err := sjson.SetRawBytes([]byte(ws.firstEvent), "choices", encoded)
	if err != nil {
		return nil, err
	}
	out, err = sjson.SetBytes(out, "object", object)
	if err != nil || ws.usage == nil {
		return out, err
	}
	return sjson.SetRawBytes(out, "usage", ws.usage)
}

// reportError does nothing: no part of the response was sent, so the server
// writes the error response.
func (*bufferedSink) reportError(*mp.Error) bool { return false }
