package beechgate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechsettings"
)

func TestAdmissionMode(t *testing.T) {
	is := is.New(t)
	pressed := []string{"base", "pressure"}
	for _, c := range []struct {
		admission string
		contracts []string
		want      beechadmission.Mode
	}{
		{"auto", nil, beechadmission.Auto},
		{"auto", pressed, beechadmission.On},
		{"on", nil, beechadmission.On},
		{"off", pressed, beechadmission.Off},
	} {
		is.Equal(admissionMode(&beechsettings.Gate{Admission: c.admission, Contracts: c.contracts}), c.want)
	}
}

func TestDemandsKeepTheirValues(t *testing.T) {
	is := is.New(t)
	demands := []beechadmission.Demand{{Service: 1 << 63, Rank: 5, Workspace: 1 << 31, Asked: 9, Refused: 2, Work: 80_000}}
	message := pressureOf(demands, time.Second, true)
	is.True(message.Pass)
	is.Equal(message.Millis, int64(1000))
	is.Equal(beechconvert.Demands(message.Demands), demands)
}
