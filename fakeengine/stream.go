package fakeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// words are the tokens that an answer may consist of. There are 16, because
// answerWord chooses one by 4 bits.
var words = []string{"clay ", "sand ", "gravel ", "peat ", "loam ", "glass ", "amber ", "green ", "flint ", "kerb ", "round ", "depot ", "bore ", "depth ", "metre ", "quote "}

// answerWord returns the token at an index of the answer for a seed. The constants
// are those with which SplitMix64 mixes bits.
func answerWord(seed uint64, index mp.Tokens) string {
	mixed := (seed + uint64(index)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return words[mixed>>60]
}

func objectType(cm *completion) string {
	if cm.chat {
		return "chat.completion"
	}
	return "text_completion"
}

// writeStream sends the answer as server-sent events. The ID of an event is the
// number of tokens up to and including it.
func (en *Engine) writeStream(rw http.ResponseWriter, rq *http.Request, cm *completion, st *stream) {
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	sent := cm.resumeAt
	if sent > 0 {
		rw.Header().Set(mp.HeaderResumedAt, strconv.FormatInt(int64(sent), 10))
	}
	if writeAndFlush(rw, control, nil) != nil {
		return
	}
	for {
		state := en.stateOf(st)
		if state.cancelled {
			panic(http.ErrAbortHandler)
		}
		if state.fault != FaultNone && state.produced >= state.faultAfter && en.applyFault(state.fault, st) {
			return
		}
		if data := tokenEvents(cm, sent, state.produced); len(data) > 0 {
			if writeAndFlush(rw, control, data) != nil {
				return
			}
			sent = state.produced
		}
		if state.finished {
			_ = writeAndFlush(rw, control, finalEvents(cm))
			return
		}
		if !en.awaitProgress(rw, rq, control, st) {
			return
		}
	}
}

// applyFault injects a fault into a stream and reports whether the stream is
// over.
func (en *Engine) applyFault(fault Fault, st *stream) bool {
	switch fault {
	case FaultCrash:
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		return true
	case FaultHang:
		en.hang(st)
		return true
	default:
		return false
	}
}

// hang blocks until a stream is cancelled by a cancel request or has all its
// tokens. It ignores a closed connection, like an engine whose network dropped
// the connection without a notice.
func (en *Engine) hang(st *stream) {
	for {
		state := en.stateOf(st)
		if state.cancelled || state.finished {
			return
		}
		<-st.changed
	}
}

// awaitProgress blocks until the stream changes or the keep-alive interval
// passes. After the interval it sends a comment, so that the client can tell a
// queued request from a lost connection. It returns false if the client has
// disconnected.
func (en *Engine) awaitProgress(rw http.ResponseWriter, rq *http.Request, control *http.ResponseController, st *stream) bool {
	timer := en.clock.NewTimer(en.keepAliveInterval)
	defer timer.Stop()
	select {
	case <-rq.Context().Done():
		return false
	case <-st.changed:
		return true
	case <-timer.Chan():
		return writeAndFlush(rw, control, []byte(": waiting\n\n")) == nil
	}
}

func writeAndFlush(rw http.ResponseWriter, control *http.ResponseController, data []byte) error {
	if _, err := rw.Write(data); err != nil {
		return err
	}
	return control.Flush()
}

// tokenEvents encodes the events for the tokens after from, up to and including
// to.
func tokenEvents(cm *completion, from, to mp.Tokens) []byte {
	var out []byte
	for ix := from; ix < to; ix++ {
		out = appendEvent(out, ix+1, tokenChunk(cm, ix, ix+1 == cm.sequence.AnswerTokens))
	}
	return out
}

func finalEvents(cm *completion) []byte {
	var out []byte
	if cm.wantsUsage {
		out = appendEvent(out, cm.sequence.AnswerTokens, usageChunk(cm))
	}
	return fmt.Appendf(out, "data: %s\n\n", mp.StreamEnd)
}

func appendEvent(out []byte, id mp.Tokens, value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // chunk types always marshal
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

type response struct {
	ID      mp.RequestID     `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   mp.ModelID       `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *usage           `json:"usage"`
}

type responseChoice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason string  `json:"finish_reason"`
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
}

// created is a fixed creation time that keeps answers reproducible.
var created = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC).Unix()

const (
	finishStop    = "stop"
	roleAssistant = "assistant"
)

func tokenChunk(cm *completion, index mp.Tokens, last bool) chunk {
	text := answerWord(cm.seed, index)
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
	return chunk{ID: cm.id, Object: objectType(cm) + chunkSuffix(cm), Created: created, Model: cm.model, Choices: []chunkChoice{choice}}
}

func chunkSuffix(cm *completion) string {
	if cm.chat {
		return ".chunk"
	}
	return ""
}

func usageChunk(cm *completion) chunk {
	return chunk{ID: cm.id, Object: objectType(cm) + chunkSuffix(cm), Created: created, Model: cm.model, Choices: []chunkChoice{}, Usage: newUsage(cm)}
}

func newUsage(cm *completion) *usage {
	return &usage{
		PromptTokens:     cm.sequence.PromptTokens,
		CompletionTokens: cm.sequence.AnswerTokens,
		TotalTokens:      cm.sequence.PromptTokens + cm.sequence.AnswerTokens,
	}
}

func newResponse(cm *completion, text string) response {
	choice := responseChoice{FinishReason: finishStop}
	if cm.chat {
		choice.Message = &delta{Role: roleAssistant, Content: text}
	} else {
		choice.Text = &text
	}
	return response{ID: cm.id, Object: objectType(cm), Created: created, Model: cm.model, Choices: []responseChoice{choice}, Usage: newUsage(cm)}
}
