package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	mp "github.com/mangopaddle/mangopaddle"
)

// errorResponse is the JSON error body of the chat completions API.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message   string       `json:"message"`
	Type      string       `json:"type"`
	Param     *string      `json:"param"`
	Code      string       `json:"code"`
	NotRun    bool         `json:"not_run"`
	Retryable bool         `json:"retryable"`
	RequestID mp.RequestID `json:"request_id"`
}

func newErrorResponse(ex *exchange, er *mp.Error) errorResponse {
	re := er.Kind.Response()
	return errorResponse{Error: errorBody{
		Message:   er.Message(),
		Type:      re.Type,
		Code:      re.Code,
		NotRun:    re.NotRun,
		Retryable: re.Retryable,
		RequestID: ex.id,
	}}
}

func writeError(ex *exchange, er *mp.Error) {
	if wait := er.RetryDelay(); wait > 0 {
		ex.writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	writeJSON(ex, er.Kind.Response().Status, newErrorResponse(ex, er))
}

func writeJSON(ex *exchange, status int, value any) {
	ex.responseStarted = true
	ex.writer.Header().Set("Content-Type", "application/json")
	ex.writer.WriteHeader(status)
	_ = json.NewEncoder(ex.writer).Encode(value)
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      mp.ModelID `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	OwnedBy string     `json:"owned_by"`
}

func newModelItem(id mp.ModelID) modelItem {
	return modelItem{ID: id, Object: "model", OwnedBy: "mangopaddle"}
}

func (se *Server) serveModels(ex *exchange) error {
	contract, err := authenticate(ex)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, mo := range ex.snapshot.Models {
		if allowsModel(contract, mo.Name) {
			list.Data = append(list.Data, newModelItem(mo.Name))
		}
	}
	writeJSON(ex, http.StatusOK, list)
	return nil
}

func (se *Server) serveModel(ex *exchange) error {
	contract, err := authenticate(ex)
	if err != nil {
		return err
	}
	id := mp.ModelID(ex.request.PathValue("model"))
	if _, ok := ex.snapshot.Model(id); !ok || !allowsModel(contract, id) {
		return modelNotFound(id)
	}
	writeJSON(ex, http.StatusOK, newModelItem(id))
	return nil
}
