package caller

import (
	"encoding/json"
	"net/http"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
)

// wholeSink puts the events of a stream together into one answer. The router
// takes whole answers as streams too, so that a lost engine is noticed early and
// its work is resumed.
type wholeSink struct {
	exchange *exchange
	head     string // the first event
	choices  []*wholeChoice
	usage    json.RawMessage
}

// wholeChoice is one choice of an answer under construction.
type wholeChoice struct {
	text         []byte
	role         string
	reasoning    []byte
	refusal      []byte
	tools        []*toolCall
	logprobs     []json.RawMessage
	finishReason json.RawMessage
	chat         bool
}

// toolCall is a call of a tool that the model asks for.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

func newWholeSink(ex *exchange) *wholeSink {
	return &wholeSink{exchange: ex}
}

func (ws *wholeSink) event(ev engine.Event) error {
	if ws.head == "" {
		ws.head = ev.Data
	}
	if usage := gjson.Get(ev.Data, "usage"); usage.IsObject() {
		ws.usage = json.RawMessage(usage.Raw)
	}
	for _, choice := range gjson.Get(ev.Data, "choices").Array() {
		ws.choice(int(choice.Get("index").Int())).add(choice)
	}
	return nil
}

// maxChoices bounds the choices of one answer.
const maxChoices = 128

func (ws *wholeSink) choice(index int) *wholeChoice {
	index = min(max(index, 0), maxChoices-1)
	for len(ws.choices) <= index {
		ws.choices = append(ws.choices, &wholeChoice{})
	}
	return ws.choices[index]
}

func (wc *wholeChoice) add(choice gjson.Result) {
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
		wc.addTool(call)
	}
}

func (wc *wholeChoice) addTool(call gjson.Result) {
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

// chatMessage is the message of a whole chat answer.
type chatMessage struct {
	Role      string      `json:"role"`
	Content   *string     `json:"content"`
	Reasoning string      `json:"reasoning_content,omitempty"`
	Refusal   *string     `json:"refusal"`
	ToolCalls []*toolCall `json:"tool_calls,omitempty"`
}

// answerChoice is a choice of a whole answer.
type answerChoice struct {
	Index        int             `json:"index"`
	Message      *chatMessage    `json:"message,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     *logprobs       `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
}

func (wc *wholeChoice) answer(index int) answerChoice {
	text := string(wc.text)
	ac := answerChoice{Index: index, FinishReason: wc.finishReason}
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

// end writes the answer. Fields of the first event that the router does not
// know are kept.
func (ws *wholeSink) end() error {
	choices := make([]answerChoice, 0, len(ws.choices))
	object := "text_completion"
	for ix, wc := range ws.choices {
		choices = append(choices, wc.answer(ix))
		if wc.chat {
			object = "chat.completion"
		}
	}
	out, err := ws.assemble(object, choices)
	if err != nil {
		return mp.WrapError(err, mp.KindInternal, "the answer could not be put together")
	}
	ws.exchange.begun = true
	ws.exchange.writer.Header().Set("Content-Type", "application/json")
	ws.exchange.writer.WriteHeader(http.StatusOK)
	if _, err := ws.exchange.writer.Write(out); err != nil {
		return mp.WrapError(err, mp.KindCallerGone, "the caller left before the end of the answer")
	}
	return nil
}

func (ws *wholeSink) assemble(object string, choices []answerChoice) ([]byte, error) {
	encoded, err := json.Marshal(choices)
	if err != nil {
		return nil, err
	}
	out, err := sjson.SetRawBytes([]byte(ws.head), "choices", encoded)
	if err != nil {
		return nil, err
	}
	out, err = sjson.SetBytes(out, "object", object)
	if err != nil || ws.usage == nil {
		return out, err
	}
	return sjson.SetRawBytes(out, "usage", ws.usage)
}

// fail leaves the answer to the server: the caller has nothing yet.
func (*wholeSink) fail(*mp.Error) bool { return false }
