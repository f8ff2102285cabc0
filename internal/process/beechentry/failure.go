package beechentry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// failure is the error reported to a caller: OpenAI's error object with the
	// additional field "ran". Ran is "no" only if the request is known not to have
	// run.
	failure struct {
		Status  int
		Type    string
		Code    string
		Message string
		Param   string
		Ran     string
		After   time.Duration // suggested delay before a retry; 0: unknown
		Joins   bool          // the same request sent again joins the existing run
	}

	errorBody struct {
		Error errorObject `json:"error"`
	}

	errorObject struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    string  `json:"code"`
		Ran     string  `json:"ran"`
	}
)

// Error types of OpenAI's error object.
const (
	typeInvalid    = "invalid_request_error"
	typeKey        = "authentication_error"
	typePermission = "permission_error"
	typeNotFound   = "not_found_error"
	typeRate       = "rate_limit_error"
	typeServer     = "server_error"
)

func (f *failure) Error() string {
	return fmt.Sprintf("%s (%s, ran: %s)", f.Message, f.Code, f.Ran)
}

// notRun is a failure of a request that did not run.
func notRun(status int, kind, code, format string, arguments ...any) *failure {
	return &failure{
		Status: status, Type: kind, Code: code, Ran: beechwire.RanNo,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// retryLater is a failure of a request that did not run, with the delay before
// a retry.
func retryLater(status int, code string, after time.Duration, format string, arguments ...any) *failure {
	kind := typeServer
	if status == http.StatusTooManyRequests {
		kind = typeRate
	}
	f := notRun(status, kind, code, format, arguments...)
	f.After = max(after, time.Second)
	return f
}

// writeFault answers a request whose handler has no word for its caller.
func writeFault(w http.ResponseWriter) {
	f := &failure{Status: http.StatusInternalServerError, Type: typeServer, Code: "internal", Ran: beechwire.RanUnknown, Message: "the request ended in a fault of this entry host"}
	f.write(w)
}

func (f *failure) json() []byte {
	object := errorObject{Message: f.Message, Type: f.Type, Code: f.Code, Ran: f.Ran}
	if f.Param != "" {
		object.Param = &f.Param
	}
	data, err := json.Marshal(errorBody{Error: object})
	if err != nil {
		return []byte(`{"error":{"message":"error could not be written","type":"server_error","param":null,"code":"internal","ran":"unknown"}}`)
	}
	return data
}

// write sends the failure as the complete HTTP response.
func (f *failure) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if f.After > 0 {
		header.Set("Retry-After", fmt.Sprint(int(math.Ceil(f.After.Seconds()))))
	}
	// Official client libraries retry on 409, 429 and 5xx on their own. If the
	// request ran or may have run, an automatic retry could run it twice.
	if f.Ran != beechwire.RanNo && !f.Joins {
		header.Set("X-Should-Retry", "false")
	}
	body := f.json()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	_, _ = w.Write(body)
}
