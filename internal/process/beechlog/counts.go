package beechlog

import (
	"encoding/json"
	"expvar"

	"go.uber.org/zap"
)

// Counts gives counters as an object in a log line; none gives no field.
func Counts(name string, v expvar.Var) zap.Field {
	if v == nil {
		return zap.Skip()
	}
	return zap.Reflect(name, json.RawMessage(v.String()))
}
