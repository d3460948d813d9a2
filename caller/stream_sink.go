package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
)

// streamSink passes events to the caller as they come. It holds one event at a
// time: a slow caller slows the reading from the engine down.
type streamSink struct {
	exchange   *exchange
	timeout    time.Duration
	wantsUsage bool
	buffer     []byte
}

func newStreamSink(ex *exchange, timeout time.Duration, wantsUsage bool) *streamSink {
	return &streamSink{exchange: ex, timeout: timeout, wantsUsage: wantsUsage}
}

func (ss *streamSink) event(ev engine.Event) error {
	if !ss.wantsUsage && engine.IsUsage(ev.Data) {
		return nil
	}
	return ss.write(ev.Data)
}

// write sends one event and flushes it.
func (ss *streamSink) write(data string) error {
	ss.begin()
	ss.buffer = append(ss.buffer[:0], "data: "...)
	ss.buffer = append(ss.buffer, data...)
	ss.buffer = append(ss.buffer, "\n\n"...)
	if err := ss.exchange.control.SetWriteDeadline(time.Now().Add(ss.timeout)); err != nil {
		return errCallerGone
	}
	if _, err := ss.exchange.writer.Write(ss.buffer); err != nil {
		return errCallerGone
	}
	if err := ss.exchange.control.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

func (ss *streamSink) begin() {
	if ss.exchange.begun {
		return
	}
	ss.exchange.begun = true
	header := ss.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	ss.exchange.writer.WriteHeader(http.StatusOK)
}

func (ss *streamSink) end() error {
	if err := ss.write(mp.StreamEnd); err != nil {
		return mp.WrapError(err, mp.KindCallerGone, "the caller left before the end of the answer")
	}
	return nil
}

// fail tells a caller that has a part of the answer that no more will come. The
// stream then ends without its last event.
func (ss *streamSink) fail(er *mp.Error) bool {
	if !ss.exchange.begun || er.Kind == mp.KindCallerGone {
		return false
	}
	data, err := json.Marshal(newErrorAnswer(ss.exchange, er))
	if err != nil {
		return true
	}
	_ = ss.write(string(data))
	return true
}

// refusalMessage returns the text of an engine's error answer.
func refusalMessage(fa *engine.Failure) string {
	if message := gjson.GetBytes(fa.Body, "error.message"); message.Exists() {
		return message.String()
	}
	return fa.Error()
}
