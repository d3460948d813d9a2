package fakeengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/enginemodel"
)

// bytesPerToken is the text size that counts as one token.
const bytesPerToken = 4

// completion is a parsed completion request.
type completion struct {
	id         mp.RequestID
	chat       bool
	model      mp.ModelID
	stream     bool
	wantsUsage bool
	seed       uint64
	resumeAt   mp.Tokens
	sequence   *enginemodel.Sequence
}

func (en *Engine) parseRequest(rq *http.Request, body []byte) (*completion, error) {
	fields := gjson.GetManyBytes(body, "model", "stream", "stream_options.include_usage", "max_tokens", "max_completion_tokens", "priority", "ignore_eos")
	resumeAt, err := resumeOffset(rq)
	if err != nil {
		return nil, err
	}
	cm := &completion{
		id:         mp.RequestID(rq.Header.Get(mp.HeaderRequestID)),
		chat:       strings.HasPrefix(rq.URL.Path, "/v1/chat/"),
		model:      mp.ModelID(fields[0].String()),
		stream:     fields[1].Bool(),
		wantsUsage: fields[2].Bool(),
		seed:       answerSeed(body),
		resumeAt:   resumeAt,
	}
	if cm.id == "" {
		cm.id = mp.NewRequestID()
	}
	limit := mp.Tokens(max(fields[3].Int(), fields[4].Int()))
	prefix := gjson.GetBytes(body, "messages.0.content").String()
	cm.sequence = &enginemodel.Sequence{
		ID:             cm.id,
		Priority:       int(fields[5].Int()),
		PromptTokens:   mp.Tokens(len(body)/bytesPerToken + 1),
		PrefixID:       xxhash.Sum64String(prefix),
		PrefixTokens:   mp.Tokens(len(prefix) / bytesPerToken),
		AnswerTokens:   en.answerLength(cm.seed, limit, fields[6].Bool()),
		ProducedTokens: resumeAt,
	}
	return cm, nil
}

func resumeOffset(rq *http.Request) (mp.Tokens, error) {
	text := rq.Header.Get(mp.HeaderLastEventID)
	if text == "" {
		return 0, nil
	}
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil || count < 0 {
		return 0, fmt.Errorf("%s %q is not a count of tokens", mp.HeaderLastEventID, text)
	}
	return mp.Tokens(count), nil
}

// answerSeed hashes the fields that determine the answer, so that every engine
// gives the same answer to the same request.
func answerSeed(body []byte) uint64 {
	fields := gjson.GetManyBytes(body, "model", "messages", "prompt", "seed")
	digest := xxhash.New()
	for _, fi := range fields {
		_, _ = digest.WriteString(fi.Raw)
	}
	return digest.Sum64()
}

// answerLength returns the length of an answer, which the seed spreads between
// 0.5 and 1.5 times the mean. A limit caps the length; with exact, the limit is the
// length.
func (en *Engine) answerLength(seed uint64, limit mp.Tokens, exact bool) mp.Tokens {
	length := en.meanAnswerTokens/2 + mp.Tokens(seed%uint64(en.meanAnswerTokens))
	if limit > 0 && (exact || limit < length) {
		length = limit
	}
	return max(1, length)
}

func (en *Engine) serveCompletion(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	if id := rq.Header.Get(mp.HeaderRequestID); id != "" {
		rw.Header().Set(mp.HeaderRequestID, id)
	}
	cm, err := en.parseRequest(rq, body)
	if err != nil {
		writeError(rw, http.StatusBadRequest, err.Error())
		return
	}
	st, ok := en.admit(rw, cm)
	if !ok {
		return
	}
	defer en.release(st)
	if cm.stream {
		en.writeStream(rw, rq, cm, st)
		return
	}
	en.writeResponse(rw, rq, cm, st)
}

// admit queues the request, or writes an error and returns false.
func (en *Engine) admit(rw http.ResponseWriter, cm *completion) (*stream, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.fault == FaultUnavailable {
		writeError(rw, http.StatusServiceUnavailable, "the engine is not ready")
		return nil, false
	}
	if !slices.Contains(en.models, cm.model) {
		writeError(rw, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", cm.model))
		return nil, false
	}
	if _, taken := en.streams[cm.id]; taken {
		writeError(rw, http.StatusConflict, fmt.Sprintf("request %q is running", cm.id))
		return nil, false
	}
	rw.Header().Set(mp.HeaderRunning, strconv.Itoa(en.simulated.Running()))
	rw.Header().Set(mp.HeaderWaiting, strconv.Itoa(en.simulated.Waiting()))
	st := &stream{sequence: cm.sequence, changed: make(chan struct{}, 1), produced: cm.resumeAt}
	en.streams[cm.id] = st
	en.started++
	if cm.sequence.ProducedTokens >= cm.sequence.AnswerTokens {
		st.finished = true
		return st, true
	}
	en.simulated.Submit(cm.sequence)
	notify(en.wake)
	return st, true
}

func (en *Engine) release(st *stream) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if !st.finished {
		en.cancelled++
	}
	en.simulated.Cancel(st.sequence.ID)
	delete(en.streams, st.sequence.ID)
}

// streamState is a snapshot of a stream's progress and of the injected fault.
type streamState struct {
	produced   mp.Tokens
	finished   bool
	cancelled  bool
	fault      Fault
	faultAfter mp.Tokens
}

func (en *Engine) stateOf(st *stream) streamState {
	en.mu.Lock()
	defer en.mu.Unlock()
	_, present := en.streams[st.sequence.ID]
	return streamState{
		produced:   st.produced,
		finished:   st.finished,
		cancelled:  !present,
		fault:      en.fault,
		faultAfter: en.faultAfter,
	}
}

func (en *Engine) writeResponse(rw http.ResponseWriter, rq *http.Request, cm *completion, st *stream) {
	for {
		state := en.stateOf(st)
		if state.fault == FaultCrash {
			panic(http.ErrAbortHandler)
		}
		if state.finished && state.fault != FaultHang {
			break
		}
		select {
		case <-rq.Context().Done():
			return
		case <-st.changed:
		}
	}
	var text strings.Builder
	for ix := range cm.sequence.AnswerTokens {
		text.WriteString(answerWord(cm.seed, ix))
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(newResponse(cm, text.String()))
}

func (en *Engine) serveCancel(rw http.ResponseWriter, rq *http.Request) {
	id := mp.RequestID(rq.PathValue("id"))
	en.mu.Lock()
	st, ok := en.streams[id]
	if ok {
		en.simulated.Cancel(id)
		delete(en.streams, id)
		notify(st.changed)
	}
	en.mu.Unlock()
	if !ok {
		writeError(rw, http.StatusNotFound, fmt.Sprintf("request %q is not running", id))
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func writeError(rw http.ResponseWriter, status int, message string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(errorResponse{Error: errorBody{Message: message}})
}
