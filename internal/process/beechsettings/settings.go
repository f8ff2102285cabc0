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

	"github.com/beechring/beechring/internal/decision/beechbackup"
)

type (
	// Entry holds the settings of an entry host's process.
	Entry struct {
		Common
		Listen netip.AddrPort `json:"listen"` // for callers
		TLS    *TLS           `json:"tls,omitempty"`
		Limits EntryLimits    `json:"limits"`
	}

	// Agent holds the settings of the process that runs beside a backend server.
	Agent struct {
		Common
		Listen  netip.AddrPort `json:"listen"` // for links
		Pool    string         `json:"pool"`   // of the manifest
		Backend netip.AddrPort `json:"backend"`
		Limits  AgentLimits    `json:"limits"`
	}

	// Common holds the settings that Entry and Agent share. Seeds are the link
	// addresses of a few agents to contact at start, so that a process can start
	// while the platform's service is down. Secret is shared by all processes of
	// the deployment; it authenticates links without TLS and the ids of streams.
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
		Memory      int              `json:"memory,omitempty"`      // MB available to the process; 0: not known
		Descriptors int              `json:"descriptors,omitempty"` // available to the process; 0: as many as the system allows
	}

	// TLS holds paths of PEM files. Authority is the CA that signs the peer's
	// certificate; on links both sides must present one.
	TLS struct {
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authority   string `json:"authority,omitempty"`
	}

	// EntryLimits bound what callers may use of an entry host.
	EntryLimits struct {
		HeaderBytes int      `json:"headerBytes,omitempty"`
		BodyBytes   int      `json:"bodyBytes,omitempty"`
		BodyTime    Duration `json:"bodyTime,omitempty"` // to receive the whole body
		WriteTime   Duration `json:"writeTime,omitempty"`
		Streams     int      `json:"streams,omitempty"` // open at once, all workspaces
		Grace       Duration `json:"grace,omitempty"`   // from the stop signal until the process is killed
	}

	// AgentLimits bound the queue of an agent and the responses that it keeps.
	AgentLimits struct {
		Grace       Duration `json:"grace,omitempty"` // how long a generation continues after its caller disconnected
		Keep        Duration `json:"keep,omitempty"`  // how long a finished response is kept for a caller that reconnects
		AnswerBytes int      `json:"answerBytes,omitempty"`
		Waiting     int      `json:"waiting,omitempty"` // requests in the queue

		// PrefillAhead bounds the prefill time of the short requests that the
		// engine processes at once: 250ms if deadlines and priorities matter most,
		// unset if the tail latency of large workspaces does. Both measurements
		// are in docs/decisions/queue.md.
		PrefillAhead Duration `json:"prefillAhead,omitempty"`
	}

	// Gate holds the settings of the process on an entry host that sends requests
	// directly to engines.
	Gate struct {
		Name   string         `json:"name"`
		Zone   string         `json:"zone"`
		Listen netip.AddrPort `json:"listen"` // for callers
		Ready  netip.AddrPort `json:"ready"`  // readiness probe for new connections
		Beats  netip.AddrPort `json:"beats"`  // UDP heartbeats with keepers, which listen on the same port
		Admin  netip.AddrPort `json:"admin,omitzero"`
		Store  netip.AddrPort `json:"store"`
		Memory int            `json:"memory,omitempty"` // MB available to the process; 0: not known
		Log    string         `json:"log,omitempty"`
		Bounds GateBounds     `json:"bounds"`

		Descriptors int `json:"descriptors,omitempty"` // available to the process; 0: as many as the system allows

		// Admission tells for which services requests are refused in favor of more urgent
		// ones while room is short: on (all), off, or auto (all if the operators' rules are
		// those for callers that compete for room, or else those whose servers tell how slow
		// their hosts are at the moment).
		Admission string `json:"admission,omitempty"`
		// Contracts are the parts of the operators' rules that are in force.
		Contracts []string `json:"contracts,omitempty"`

		Seeds []netip.AddrPort `json:"seeds,omitempty"` // of a few gates, which may be stale; heartbeats go to their IPs at the port of Beats
		Cores float64          `json:"cores,omitempty"` // processor cores of the host; 0: not known

		Backups beechbackup.Mode `json:"backups,omitempty"` // which streams get backups
	}

	// GateBounds are the operators' guarantees that a gate must keep.
	GateBounds struct {
		Revoke  Duration `json:"revoke,omitempty"`  // maximum time that a revoked key is still served
		Grace   Duration `json:"grace,omitempty"`   // from the stop signal until the process is killed
		Apply   Duration `json:"apply,omitempty"`   // from when the store has a configuration until it is in force
		Drain   Duration `json:"drain,omitempty"`   // from when the store knows that a server leaves until it gets no more requests
		Contact Duration `json:"contact,omitempty"` // from the end of a gate's own trouble until it must keep all bounds again
		Weights Duration `json:"weights,omitempty"` // maximum time that old weights are served after newer ones were named
		Retries float64  `json:"retries,omitempty"` // share of a service's requests, for all gates together
		Spare   float64  `json:"spare,omitempty"`   // additional retries, for all gates together
		Window  Duration `json:"window,omitempty"`  // in which retries are counted
		Quota   Quota    `json:"quota,omitzero"`
	}

	// Quota is how far the operators tolerate that workspaces exceed their quotas.
	Quota struct {
		Window  Duration `json:"window,omitempty"` // in which usage is counted
		Overage float64  `json:"overage"`          // as a share of the quota
		Slack   float64  `json:"slack"`            // additional tokens or requests
	}

	// Keeper holds the settings of the process beside an engine that sends the
	// engine its orders.
	Keeper struct {
		Name   string         `json:"name"`
		Zone   string         `json:"zone"`
		Engine netip.AddrPort `json:"engine"`
		Beats  netip.AddrPort `json:"beats"` // UDP heartbeats with gates
		Admin  netip.AddrPort `json:"admin,omitzero"`
		Memory int            `json:"memory,omitempty"` // MB
		Log    string         `json:"log,omitempty"`

		// Contracts are the parts of the operators' rules that are in force.
		Contracts []string `json:"contracts,omitempty"`
	}

	// Duration is a time.Duration written as "1.3s" in JSON.
	Duration time.Duration

	// FieldError reports an invalid field of a settings file.
	FieldError struct {
		Field   string
		Problem string
	}
)

// Defaults of the bounds for changes in the store.
const (
	DefaultApply = 2 * time.Second
	DefaultDrain = 2 * time.Second
	// DefaultContact is the default of GateBounds.Contact.
	DefaultContact = 3 * time.Second
)

// Default values.
const (
	defaultHeaderBytes = 32 << 10
	defaultBodyBytes   = 8 << 20
	defaultBodyTime    = 30 * time.Second
	defaultWriteTime   = 60 * time.Second
	defaultStreams     = 5000
	defaultEntryGrace  = 10 * time.Minute
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
	defaultAdmission   = "auto"

	defaultQuotaWindow  = 8 * time.Second
	defaultQuotaOverage = 0.1

	schemaURL = "settings.schema.json"
)

//go:embed settings.schema.json
var schemaText []byte

// ParseEntry parses the settings of an entry. Errors are joined values of *FieldError.
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
	setDefault(&l.Grace, Duration(defaultEntryGrace))
	return entry, nil
}

// ParseAgent parses the settings of an agent. Errors are joined values of *FieldError.
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

// ParseGate parses the settings of a gate. Errors are joined values of *FieldError.
func ParseGate(data []byte) (*Gate, error) {
	gate := &Gate{}
	if err := parse(data, "gate", gate); err != nil {
		return nil, err
	}
	setDefault(&gate.Admission, defaultAdmission)
	setDefault(&gate.Backups, beechbackup.Auto)
	b := &gate.Bounds
	setDefault(&b.Revoke, Duration(defaultRevoke))
	setDefault(&b.Apply, Duration(DefaultApply))
	setDefault(&b.Drain, Duration(DefaultDrain))
	setDefault(&b.Contact, Duration(DefaultContact))
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

// ParseKeeper parses the settings of a keeper. Errors are joined values of *FieldError.
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

// fieldErrors converts the schema's tree of errors into one FieldError per problem.
func fieldErrors(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	var fields []*FieldError
	collectFields(invalid, &fields)
	// The validator iterates over maps, so its order varies between runs.
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

// Error returns the field and the problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: field %s: %s", e.Field, e.Problem)
}

// UnmarshalJSON parses a duration such as "1.3s".
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
