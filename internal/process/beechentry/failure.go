package beechentry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// failure is what a caller is told instead of an answer: OpenAI's error
	// object with one field more. Ran is "no" only where that is proved.
	failure struct {
		Status  int
		Type    string
		Code    string
		Message string
		Param   string
		Ran     string
		After   time.Duration // when to come back; 0 is not known
		Joins   bool          // the same request sent again joins the run that there was
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

// Types of OpenAI's error object.
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

// notRun is a failure before anything ran.
func notRun(status int, kind, code, format string, arguments ...any) *failure {
	return &failure{
		Status: status, Type: kind, Code: code, Ran: beechwire.RanNo,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// busy is a refusal that says when to come back.
func busy(status int, code string, after time.Duration, format string, arguments ...any) *failure {
	kind := typeServer
	if status == http.StatusTooManyRequests {
		kind = typeRate
	}
	f := notRun(status, kind, code, format, arguments...)
	f.After = max(after, time.Second)
	return f
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

// write sends the failure as the whole HTTP answer.
func (f *failure) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if f.After > 0 {
		header.Set("Retry-After", fmt.Sprint(int(math.Ceil(f.After.Seconds()))))
	}
	// Official client libraries repeat on 409, 429 and 5xx by themselves. Where
	// the request ran or may have, a repeat by habit could run it twice.
	if f.Ran != beechwire.RanNo && !f.Joins {
		header.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(f.json())
}
