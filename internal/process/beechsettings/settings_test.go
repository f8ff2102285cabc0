package beechsettings

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechbackup"
)

const goodEntry = `{"name":"entry-1","zone":"ne-1","listen":"127.0.0.1:8080","admin":"127.0.0.1:9090",
"adminKey":"0123456789abcdef","platform":["127.0.0.1:7000"],"secret":"0123456789abcdef","limits":{"bodyTime":"5s"}}`

func TestEntryDefaults(t *testing.T) {
	is := is.New(t)
	entry, err := ParseEntry([]byte(goodEntry))
	is.NoErr(err)
	is.Equal(time.Duration(entry.Limits.BodyTime), 5*time.Second)
	is.Equal(entry.Limits.BodyBytes, defaultBodyBytes)
}

// An operator misspells a limit, or writes a host name instead of an address or a
// number instead of a duration. The process must not start with other settings than
// intended, and the error must name the field.
func TestInvalidSettingsNameTheField(t *testing.T) {
	cases := []struct{ from, to, field string }{
		{`"bodyTime"`, `"bodyTimes"`, "limits"},
		{`"127.0.0.1:8080"`, `"localhost:8080"`, "listen"},
		{`"5s"`, `5`, "limits.bodyTime"},
		{`"ne-1"`, `7`, "zone"},
		{`"limits"`, `"linkTLS":{"certificate":"c.pem","key":"k.pem"},"limits"`, "linkTLS"},
		{goodEntry, `[]`, "(file)"},
		{goodEntry, `{`, "(file)"},
	}
	for _, c := range cases {
		t.Run(c.to, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseEntry([]byte(strings.Replace(goodEntry, c.from, c.to, 1)))
			var field *FieldError
			is.True(errors.As(err, &field))
			is.Equal(field.Field, c.field)
		})
	}
}

// Guards against a switch that is misspelt and so turns nothing on or off.
func TestAdmissionIsOneOfItsModes(t *testing.T) {
	const gate = `{"name":"g","zone":"ne-1","listen":"127.0.0.1:1","ready":"127.0.0.1:2","beats":"127.0.0.1:3","store":"127.0.0.1:4","contracts":["base"]%s}`
	is := is.New(t)
	for text, want := range map[string]string{``: "auto", `,"admission":"on"`: "on", `,"admission":"off"`: "off"} {
		settings, err := ParseGate([]byte(fmt.Sprintf(gate, text)))
		is.NoErr(err)
		is.Equal(settings.Admission, want)
	}
	_, err := ParseGate([]byte(fmt.Sprintf(gate, `,"admission":"yes"`)))
	var field *FieldError
	is.True(errors.As(err, &field))
	is.Equal(field.Field, "admission")
}

// Backups are of three modes; another value is refused with the field's name.
func TestBackupsOfAGate(t *testing.T) {
	is := is.New(t)
	const settings = `{"name":"g","zone":"a","listen":"10.0.0.1:1","ready":"10.0.0.1:2","beats":"10.0.0.1:3","store":"10.0.0.2:1"%s}`
	gate, err := ParseGate(fmt.Appendf(nil, settings, ""))
	is.NoErr(err)
	is.Equal(gate.Backups, beechbackup.Auto)
	for _, mode := range []beechbackup.Mode{beechbackup.Auto, beechbackup.On, beechbackup.Off} {
		gate, err = ParseGate(fmt.Appendf(nil, settings, fmt.Sprintf(`,"backups":%q`, mode)))
		is.NoErr(err)
		is.Equal(gate.Backups, mode)
	}
	_, err = ParseGate(fmt.Appendf(nil, settings, `,"backups":"always"`))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "field backups"))
	is.True(strings.Contains(err.Error(), "auto"))
}
