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

// bytesPerToken is how many bytes of text make up a token.
const bytesPerToken = 4

// completion is a parsed request.
type completion struct {
	id       mp.RequestID
	chat     bool
	model    mp.ModelID
	stream   bool
	usage    bool
	seed     uint64
	resumeAt mp.Tokens
	sequence *enginemodel.Sequence
}

func (en *Engine) parse(rq *http.Request, body []byte) (*completion, error) {
	fields := gjson.GetManyBytes(body, "model", "stream", "stream_options.include_usage", "max_tokens", "max_completion_tokens", "priority", "ignore_eos")
	resumeAt, err := resumePoint(rq)
	if err != nil {
		return nil, err
	}
	cm := &completion{
		id:       mp.RequestID(rq.Header.Get(mp.HeaderRequestID)),
		chat:     strings.HasPrefix(rq.URL.Path, "/v1/chat/"),
		model:    mp.ModelID(fields[0].String()),
		stream:   fields[1].Bool(),
		usage:    fields[2].Bool(),
		seed:     seedOf(body),
		resumeAt: resumeAt,
	}
	if cm.id == "" {
		cm.id = mp.NewRequestID()
	}
	limit := mp.Tokens(max(fields[3].Int(), fields[4].Int()))
	prefix := gjson.GetBytes(body, "messages.0.content").String()
	cm.sequence = &enginemodel.Sequence{
		ID:           cm.id,
		Priority:     int(fields[5].Int()),
		Prompt:       mp.Tokens(len(body)/bytesPerToken + 1),
		PrefixID:     xxhash.Sum64String(prefix),
		PrefixTokens: mp.Tokens(len(prefix) / bytesPerToken),
		Output:       en.answerLength(cm.seed, limit, fields[6].Bool()),
		Produced:     resumeAt,
	}
	return cm, nil
}

func resumePoint(rq *http.Request) (mp.Tokens, error) {
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

// seedOf hashes what decides the answer, so that every engine gives the same
// one.
func seedOf(body []byte) uint64 {
	fields := gjson.GetManyBytes(body, "model", "messages", "prompt", "seed")
	digest := xxhash.New()
	for _, fi := range fields {
		_, _ = digest.WriteString(fi.Raw)
	}
	return digest.Sum64()
}

// answerLength spreads answers between half and one and a half of the mean.
func (en *Engine) answerLength(seed uint64, limit mp.Tokens, exact bool) mp.Tokens {
	length := en.answerTokens/2 + mp.Tokens(seed%uint64(en.answerTokens))
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
	cm, err := en.parse(rq, body)
	if err != nil {
		refuse(rw, http.StatusBadRequest, err.Error())
		return
	}
	st, ok := en.accept(rw, cm)
	if !ok {
		return
	}
	defer en.release(st)
	if cm.stream {
		en.writeStream(rw, rq, cm, st)
		return
	}
	en.writeWhole(rw, rq, cm, st)
}

// accept queues the request, or refuses it.
func (en *Engine) accept(rw http.ResponseWriter, cm *completion) (*stream, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.fault == FaultUnavailable {
		refuse(rw, http.StatusServiceUnavailable, "the engine is not ready")
		return nil, false
	}
	if !slices.Contains(en.models, cm.model) {
		refuse(rw, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", cm.model))
		return nil, false
	}
	if _, taken := en.streams[cm.id]; taken {
		refuse(rw, http.StatusConflict, fmt.Sprintf("request %q is running", cm.id))
		return nil, false
	}
	rw.Header().Set(mp.HeaderRunning, strconv.Itoa(en.model.Running()))
	rw.Header().Set(mp.HeaderWaiting, strconv.Itoa(en.model.Waiting()))
	st := &stream{sequence: cm.sequence, changed: make(chan struct{}, 1), produced: cm.resumeAt}
	en.streams[cm.id] = st
	en.started++
	if cm.sequence.Produced >= cm.sequence.Output {
		st.finished = true
		return st, true
	}
	en.model.Submit(cm.sequence)
	notify(en.wake)
	return st, true
}

func (en *Engine) release(st *stream) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if !st.finished {
		en.cancelled++
	}
	en.model.Cancel(st.sequence.ID)
	delete(en.streams, st.sequence.ID)
}

// position is how far a stream has come.
type position struct {
	produced  mp.Tokens
	finished  bool
	cancelled bool
	fault     Fault
	faultAt   mp.Tokens
}

func (en *Engine) positionOf(st *stream) position {
	en.mu.Lock()
	defer en.mu.Unlock()
	_, present := en.streams[st.sequence.ID]
	return position{
		produced:  st.produced,
		finished:  st.finished,
		cancelled: !present,
		fault:     en.fault,
		faultAt:   en.faultAt,
	}
}

func (en *Engine) writeWhole(rw http.ResponseWriter, rq *http.Request, cm *completion, st *stream) {
	for {
		po := en.positionOf(st)
		if po.fault == FaultCrash {
			panic(http.ErrAbortHandler)
		}
		if po.finished && po.fault != FaultHang {
			break
		}
		select {
		case <-rq.Context().Done():
			return
		case <-st.changed:
		}
	}
	var text strings.Builder
	for ix := range cm.sequence.Output {
		text.WriteString(word(cm.seed, ix))
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(wholeAnswer(cm, text.String()))
}

func (en *Engine) serveCancel(rw http.ResponseWriter, rq *http.Request) {
	id := mp.RequestID(rq.PathValue("id"))
	en.mu.Lock()
	st, ok := en.streams[id]
	if ok {
		en.model.Cancel(id)
		delete(en.streams, id)
		notify(st.changed)
	}
	en.mu.Unlock()
	if !ok {
		refuse(rw, http.StatusNotFound, fmt.Sprintf("request %q is not running", id))
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func refuse(rw http.ResponseWriter, status int, message string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(errorAnswer{Error: errorBody{Message: message}})
}
