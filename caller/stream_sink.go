package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
)

// streamSink forwards events to the caller as they arrive. It buffers a single
// event, so a slow caller applies backpressure to the engine.
type streamSink struct {
	exchange     *exchange
	writeTimeout time.Duration
	wantsUsage   bool
	buffer       []byte
}

func newStreamSink(ex *exchange, writeTimeout time.Duration, wantsUsage bool) *streamSink {
	return &streamSink{exchange: ex, writeTimeout: writeTimeout, wantsUsage: wantsUsage}
}

func (ss *streamSink) handleEvent(ev engine.Event) error {
	if !ss.wantsUsage && engine.IsUsage(ev.Data) {
		return nil
	}
	return ss.writeData(ev.Data)
}

// writeData sends and flushes one server-sent event within the write timeout.
func (ss *streamSink) writeData(data string) error {
	ss.writeHeader()
	ss.buffer = append(ss.buffer[:0], "data: "...)
	ss.buffer = append(ss.buffer, data...)
	ss.buffer = append(ss.buffer, "\n\n"...)
	if err := ss.exchange.control.SetWriteDeadline(time.Now().Add(ss.writeTimeout)); err != nil {
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

func (ss *streamSink) writeHeader() {
	if ss.exchange.responseStarted {
		return
	}
	ss.exchange.responseStarted = true
	header := ss.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	ss.exchange.writer.WriteHeader(http.StatusOK)
}

func (ss *streamSink) finish() error {
	if err := ss.writeData(mp.StreamEnd); err != nil {
		return mp.WrapError(err, mp.KindCallerGone, "the caller left before the end of the answer")
	}
	return nil
}

// reportError sends the error as an event to a caller that has received part of
// the answer. The stream then ends without its end marker.
func (ss *streamSink) reportError(er *mp.Error) bool {
	if !ss.exchange.responseStarted || er.Kind == mp.KindCallerGone {
		return false
	}
	data, err := json.Marshal(newErrorResponse(ss.exchange, er))
	if err != nil {
		return true
	}
	_ = ss.writeData(string(data))
	return true
}

// engineErrorMessage returns the message of an engine's error response.
func engineErrorMessage(fa *engine.Failure) string {
	if message := gjson.GetBytes(fa.Body, "error.message"); message.Exists() {
		return message.String()
	}
	return fa.Error()
}
