package beechlog

import (
	"encoding/json"
	"expvar"

	"go.uber.org/zap"
)

// Counts returns a field with counters as a JSON object. For nil it adds no field.
func Counts(name string, v expvar.Var) zap.Field {
	if v == nil {
		return zap.Skip()
	}
	return zap.Reflect(name, json.RawMessage(v.String()))
}
