package fakeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

var words = []string{"clay ", "sand ", "gravel ", "peat ", "loam ", "glass ", "amber ", "green ", "flint ", "kerb ", "round ", "depot ", "bore ", "depth ", "metre ", "quote "}

// word returns a token of the answer to a seed.
func word(seed uint64, index mp.Tokens) string {
	mixed := (seed + uint64(index)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return words[mixed>>60]
}

func objectOf(cm *completion) string {
	if cm.chat {
		return "chat.completion"
	}
	return "text_completion"
}

// writeStream sends the answer as server-sent events, numbered by the count of
// tokens.
func (en *Engine) writeStream(rw http.ResponseWriter, rq *http.Request, cm *completion, st *stream) {
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	sent := cm.resumeAt
	if sent > 0 {
		rw.Header().Set(mp.HeaderResumedAt, strconv.FormatInt(int64(sent), 10))
	}
	if flush(rw, control, nil) != nil {
		return
	}
	for {
		po := en.positionOf(st)
		if po.cancelled {
			panic(http.ErrAbortHandler)
		}
		if po.fault != FaultNone && po.produced >= po.faultAt && en.misbehave(po.fault, st) {
			return
		}
		if part := chunks(cm, sent, po.produced); len(part) > 0 {
			if flush(rw, control, part) != nil {
				return
			}
			sent = po.produced
		}
		if po.finished {
			_ = flush(rw, control, ending(cm))
			return
		}
		if !en.await(rw, rq, control, st) {
			return
		}
	}
}

// misbehave acts out a fault. It reports whether the stream is over.
func (en *Engine) misbehave(fault Fault, st *stream) bool {
	switch fault {
	case FaultCrash:
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		return true
	case FaultHang:
		en.awaitCancel(st)
		return true
	default:
		return false
	}
}

// awaitCancel blocks until a stream is cancelled by a call or has all its tokens.
// It does not notice that the connection was closed, as an engine does not whose
// network lost track of it.
func (en *Engine) awaitCancel(st *stream) {
	for {
		po := en.positionOf(st)
		if po.cancelled || po.finished {
			return
		}
		<-st.changed
	}
}

// await blocks until the stream changes. It sends a comment while nothing
// happens, so that the other end can tell waiting from silence.
func (en *Engine) await(rw http.ResponseWriter, rq *http.Request, control *http.ResponseController, st *stream) bool {
	timer := en.clock.NewTimer(en.keepAlive)
	defer timer.Stop()
	select {
	case <-rq.Context().Done():
		return false
	case <-st.changed:
		return true
	case <-timer.Chan():
		return flush(rw, control, []byte(": waiting\n\n")) == nil
	}
}

func flush(rw http.ResponseWriter, control *http.ResponseController, part []byte) error {
	if _, err := rw.Write(part); err != nil {
		return err
	}
	return control.Flush()
}

// chunks returns the events of the tokens from one count to another.
func chunks(cm *completion, from, to mp.Tokens) []byte {
	var out []byte
	for ix := from; ix < to; ix++ {
		out = appendEvent(out, ix+1, tokenChunk(cm, ix, ix+1 == cm.sequence.Output))
	}
	return out
}

func ending(cm *completion) []byte {
	var out []byte
	if cm.usage {
		out = appendEvent(out, cm.sequence.Output, usageChunk(cm))
	}
	return fmt.Appendf(out, "data: %s\n\n", mp.StreamEnd)
}

func appendEvent(out []byte, id mp.Tokens, value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the chunk types always marshal
	}
	return fmt.Appendf(out, "id: %d\ndata: %s\n\n", id, data)
}

type chunk struct {
	ID      mp.RequestID  `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   mp.ModelID    `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     mp.Tokens `json:"prompt_tokens"`
	CompletionTokens mp.Tokens `json:"completion_tokens"`
	TotalTokens      mp.Tokens `json:"total_tokens"`
}

type whole struct {
	ID      mp.RequestID  `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   mp.ModelID    `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type wholeChoice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason string  `json:"finish_reason"`
}

type errorAnswer struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
}

// created is the fixed time of creation, so that answers are reproducible.
var created = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC).Unix()

const (
	finishStop    = "stop"
	roleAssistant = "assistant"
)

func tokenChunk(cm *completion, index mp.Tokens, last bool) chunk {
	text := word(cm.seed, index)
	choice := chunkChoice{}
	if cm.chat {
		choice.Delta = &delta{Content: text}
		if index == 0 {
			choice.Delta.Role = roleAssistant
		}
	} else {
		choice.Text = &text
	}
	if last {
		reason := finishStop
		choice.FinishReason = &reason
	}
	return chunk{ID: cm.id, Object: objectOf(cm) + chunkSuffix(cm), Created: created, Model: cm.model, Choices: []chunkChoice{choice}}
}

func chunkSuffix(cm *completion) string {
	if cm.chat {
		return ".chunk"
	}
	return ""
}

func usageChunk(cm *completion) chunk {
	return chunk{ID: cm.id, Object: objectOf(cm) + chunkSuffix(cm), Created: created, Model: cm.model, Choices: []chunkChoice{}, Usage: usageOf(cm)}
}

func usageOf(cm *completion) *usage {
	return &usage{
		PromptTokens:     cm.sequence.Prompt,
		CompletionTokens: cm.sequence.Output,
		TotalTokens:      cm.sequence.Prompt + cm.sequence.Output,
	}
}

func wholeAnswer(cm *completion, text string) whole {
	choice := wholeChoice{FinishReason: finishStop}
	if cm.chat {
		choice.Message = &delta{Role: roleAssistant, Content: text}
	} else {
		choice.Text = &text
	}
	return whole{ID: cm.id, Object: objectOf(cm), Created: created, Model: cm.model, Choices: []wholeChoice{choice}, Usage: usageOf(cm)}
}
