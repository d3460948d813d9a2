package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
)

// streamWriter forwards events to the caller as they arrive. It buffers a single
// event, so a slow caller applies backpressure to the engine.
type streamWriter struct {
	exchange     *exchange
	writeTimeout time.Duration
	wantsUsage   bool
	buffer       []byte
}

func newStreamWriter(ex *exchange, writeTimeout time.Duration, wantsUsage bool) *streamWriter {
	return &streamWriter{exchange: ex, writeTimeout: writeTimeout, wantsUsage: wantsUsage}
}

func (sw *streamWriter) handleEvent(ev engine.Event) error {
	if !sw.wantsUsage && engine.IsUsage(ev.Data) {
		return nil
	}
	return sw.writeData(ev.Data)
}

// writeData sends and flushes one server-sent event within the write timeout.
func (sw *streamWriter) writeData(data string) error {
	sw.writeHeader()
	sw.buffer = append(sw.buffer[:0], "data: "...)
	sw.buffer = append(sw.buffer, data...)
	sw.buffer = append(sw.buffer, "\n\n"...)
	if err := sw.exchange.control.SetWriteDeadline(time.Now().Add(sw.writeTimeout)); err != nil {
		return errCallerGone
	}
	if _, err := sw.exchange.writer.Write(sw.buffer); err != nil {
		return errCallerGone
	}
	if err := sw.exchange.control.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

func (sw *streamWriter) writeHeader() {
	if sw.exchange.responseStarted {
		return
	}
	sw.exchange.responseStarted = true
	header := sw.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	sw.exchange.writer.WriteHeader(http.StatusOK)
}

func (sw *streamWriter) finish() error {
	if err := sw.writeData(mp.StreamEnd); err != nil {
		return mp.WrapError(err, mp.KindCallerGone, "the caller disconnected before the end of the answer")
	}
	return nil
}

// reportError sends the error as an event to a caller that has received part of
// the answer. The stream then ends without its end marker.
func (sw *streamWriter) reportError(er *mp.Error) bool {
	if !sw.exchange.responseStarted || er.Kind == mp.KindCallerGone {
		return false
	}
	data, err := json.Marshal(newErrorResponse(sw.exchange, er))
	if err != nil {
		return true
	}
	_ = sw.writeData(string(data))
	return true
}

// engineErrorMessage returns the message of an engine's error response.
func engineErrorMessage(fa *engine.Failure) string {
	if message := gjson.GetBytes(fa.Body, "error.message"); message.Exists() {
		return message.String()
	}
	return fa.Error()
}
