package beechsettings

import (
	"bytes"
	"cmp"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

type (
	// Entry holds the settings of an entry host's process.
	Entry struct {
		Common
		Listen netip.AddrPort `json:"listen"` // for callers
		TLS    *TLS           `json:"tls,omitempty"`
		Limits EntryLimits    `json:"limits"`
	}

	// Agent holds the settings of the process beside a backend server.
	Agent struct {
		Common
		Listen  netip.AddrPort `json:"listen"` // for links
		Pool    string         `json:"pool"`   // of the manifest
		Backend netip.AddrPort `json:"backend"`
		Limits  AgentLimits    `json:"limits"`
	}

	// Common holds what both have. Seeds are link addresses of a few agents
	// to ask at start, also while the platform's service is down. Secret is
	// shared by the deployment's processes: it authenticates links without
	// TLS and the ids of streams.
	Common struct {
		Name        string           `json:"name"`
		Zone        string           `json:"zone"`
		Admin       netip.AddrPort   `json:"admin"`
		AdminKey    string           `json:"adminKey"`
		Platform    []netip.AddrPort `json:"platform"`
		PlatformKey string           `json:"platformKey,omitempty"`
		Seeds       []netip.AddrPort `json:"seeds,omitempty"`
		Secret      string           `json:"secret"`
		LinkTLS     *TLS             `json:"linkTLS,omitempty"`
		Log         string           `json:"log,omitempty"`
	}

	// TLS names PEM files. Authority signs the other side's certificate; on
	// links both sides must show one.
	TLS struct {
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authority   string `json:"authority,omitempty"`
	}

	// EntryLimits bound what a caller may ask of an entry host.
	EntryLimits struct {
		HeaderBytes int      `json:"headerBytes,omitempty"`
		BodyBytes   int      `json:"bodyBytes,omitempty"`
		BodyTime    Duration `json:"bodyTime,omitempty"` // to send the whole body
		WriteTime   Duration `json:"writeTime,omitempty"`
		Streams     int      `json:"streams,omitempty"` // open at once, all workspaces
	}

	// AgentLimits bound what an agent keeps.
	AgentLimits struct {
		Grace       Duration `json:"grace,omitempty"` // a generation runs on without its caller
		Keep        Duration `json:"keep,omitempty"`  // an ended answer is kept for a late caller
		AnswerBytes int      `json:"answerBytes,omitempty"`
		Waiting     int      `json:"waiting,omitempty"` // requests in the queue

		// PrefillAhead bounds the short prefills under way in the engine: 250ms
		// where deadlines and priorities matter most, none where the tail of
		// large workspaces does. docs/decisions/queue.md has both measurements.
		PrefillAhead Duration `json:"prefillAhead,omitempty"`
	}

	// Gate holds the settings of the process on an entry host that sends
	// straight to engines.
	Gate struct {
		Name   string         `json:"name"`
		Zone   string         `json:"zone"`
		Listen netip.AddrPort `json:"listen"` // for callers
		Ready  netip.AddrPort `json:"ready"`  // says whether new connections are welcome
		Beats  netip.AddrPort `json:"beats"`  // UDP, with keepers; they listen on the same port
		Admin  netip.AddrPort `json:"admin,omitzero"`
		Store  netip.AddrPort `json:"store"`
		Memory int            `json:"memory,omitempty"` // MB that the host gives the process
		Log    string         `json:"log,omitempty"`
		Bounds GateBounds     `json:"bounds"`
	}

	// GateBounds are the operators' promises that a gate must keep.
	GateBounds struct {
		Revoke  Duration `json:"revoke,omitempty"`  // no key is served so long after it was taken away
		Grace   Duration `json:"grace,omitempty"`   // from the stop signal to the kill
		Weights Duration `json:"weights,omitempty"` // no old weights so long after newer ones were named
		Retries float64  `json:"retries,omitempty"` // share of a service's requests, over all gates
		Spare   float64  `json:"spare,omitempty"`   // retries beyond that, over all gates
		Window  Duration `json:"window,omitempty"`  // over which retries are counted
		Quota   Quota    `json:"quota,omitzero"`
	}

	// Quota is what operators tolerate beyond workspaces' quotas.
	Quota struct {
		Window  Duration `json:"window,omitempty"` // over which use is counted
		Overage float64  `json:"overage"`          // part of the quota
		Slack   float64  `json:"slack"`            // tokens or requests besides
	}

	// Keeper holds the settings of the process beside an engine that gives it
	// its orders.
	Keeper struct {
		Name   string         `json:"name"`
		Zone   string         `json:"zone"`
		Engine netip.AddrPort `json:"engine"`
		Beats  netip.AddrPort `json:"beats"` // UDP, with gates
		Admin  netip.AddrPort `json:"admin,omitzero"`
		Memory int            `json:"memory,omitempty"` // MB
		Log    string         `json:"log,omitempty"`
	}

	// Duration is a time.Duration written as "1.3s" in JSON.
	Duration time.Duration

	// FieldError tells which field of a settings file is wrong and why.
	FieldError struct {
		Field   string
		Problem string
	}
)

// Defaults of the limits.
const (
	defaultHeaderBytes = 32 << 10
	defaultBodyBytes   = 8 << 20
	defaultBodyTime    = 30 * time.Second
	defaultWriteTime   = 60 * time.Second
	defaultStreams     = 5000
	defaultAgentGrace  = 30 * time.Second
	defaultKeep        = 60 * time.Second
	defaultAnswerBytes = 4 << 20
	defaultWaiting     = 512
	defaultRevoke      = 5 * time.Second
	defaultGateGrace   = 8 * time.Second
	defaultWeights     = 8 * time.Second
	defaultRetries     = 0.1
	defaultSpare       = 20
	defaultWindow      = 10 * time.Second

	defaultQuotaWindow  = 8 * time.Second
	defaultQuotaOverage = 0.1

	schemaURL = "settings.schema.json"
)

//go:embed settings.schema.json
var schemaText []byte

// ParseEntry reads an entry's settings. Errors are FieldError, joined.
func ParseEntry(data []byte) (*Entry, error) {
	entry := &Entry{}
	if err := parse(data, "entry", entry); err != nil {
		return nil, err
	}
	l := &entry.Limits
	setDefault(&l.HeaderBytes, defaultHeaderBytes)
	setDefault(&l.BodyBytes, defaultBodyBytes)
	setDefault(&l.BodyTime, Duration(defaultBodyTime))
	setDefault(&l.WriteTime, Duration(defaultWriteTime))
	setDefault(&l.Streams, defaultStreams)
	return entry, nil
}

// ParseAgent reads an agent's settings. Errors are FieldError, joined.
func ParseAgent(data []byte) (*Agent, error) {
	agent := &Agent{}
	if err := parse(data, "agent", agent); err != nil {
		return nil, err
	}
	l := &agent.Limits
	setDefault(&l.Grace, Duration(defaultAgentGrace))
	setDefault(&l.Keep, Duration(defaultKeep))
	setDefault(&l.AnswerBytes, defaultAnswerBytes)
	setDefault(&l.Waiting, defaultWaiting)
	return agent, nil
}

// ParseGate reads a gate's settings. Errors are FieldError, joined.
func ParseGate(data []byte) (*Gate, error) {
	gate := &Gate{}
	if err := parse(data, "gate", gate); err != nil {
		return nil, err
	}
	b := &gate.Bounds
	setDefault(&b.Revoke, Duration(defaultRevoke))
	setDefault(&b.Grace, Duration(defaultGateGrace))
	setDefault(&b.Weights, Duration(defaultWeights))
	setDefault(&b.Retries, defaultRetries)
	setDefault(&b.Spare, defaultSpare)
	setDefault(&b.Window, Duration(defaultWindow))
	if b.Quota == (Quota{}) {
		b.Quota = Quota{Window: Duration(defaultQuotaWindow), Overage: defaultQuotaOverage}
	}
	return gate, nil
}

// ParseKeeper reads a keeper's settings. Errors are FieldError, joined.
func ParseKeeper(data []byte) (*Keeper, error) {
	keeper := &Keeper{}
	if err := parse(data, "keeper", keeper); err != nil {
		return nil, err
	}
	return keeper, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func parse(data []byte, definition string, into any) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return &FieldError{Field: "(file)", Problem: fmt.Sprintf("not JSON: %v", err)}
	}
	schema, err := compileSchema(definition)
	if err != nil {
		return fmt.Errorf("compile settings schema: %w", err)
	}
	if err := schema.Validate(document); err != nil {
		return fieldErrors(err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &FieldError{Field: "(file)", Problem: err.Error()}
	}
	return nil
}

func compileSchema(definition string) (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		return nil, err
	}
	return compiler.Compile(schemaURL + "#/$defs/" + definition)
}

// fieldErrors turns the schema's tree of errors into one error a field.
func fieldErrors(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	var fields []*FieldError
	collectFields(invalid, &fields)
	// The schema's own order is that of a map, another one each time.
	slices.SortStableFunc(fields, func(x, y *FieldError) int {
		return cmp.Or(strings.Compare(x.Field, y.Field), strings.Compare(x.Problem, y.Problem))
	})
	all := make([]error, len(fields))
	for i, f := range fields {
		all[i] = f
	}
	return errors.Join(all...)
}

func collectFields(invalid *jsonschema.ValidationError, all *[]*FieldError) {
	if len(invalid.Causes) == 0 {
		field := strings.Join(invalid.InstanceLocation, ".")
		if field == "" {
			field = "(file)"
		}
		if unknown, ok := invalid.ErrorKind.(*kind.AdditionalProperties); ok {
			slices.Sort(unknown.Properties)
		}
		problem := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		*all = append(*all, &FieldError{Field: field, Problem: problem})
		return
	}
	for _, cause := range invalid.Causes {
		collectFields(cause, all)
	}
}

// Error names the field and the problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: field %s: %s", e.Field, e.Problem)
}

// UnmarshalJSON reads a duration such as "1.3s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s: want text such as \"1.3s\"", data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q: want text such as \"1.3s\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
