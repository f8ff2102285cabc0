package beechgate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/process/beechconvert"
)

func TestAdmissionMode(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		mode    beechadmission.Mode
		compete bool
		want    beechadmission.Mode
	}{
		{beechadmission.Auto, false, beechadmission.Auto},
		{beechadmission.Auto, true, beechadmission.On},
		{beechadmission.On, false, beechadmission.On},
		{beechadmission.Off, true, beechadmission.Off},
	} {
		is.Equal(admissionMode(c.mode, c.compete), c.want)
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
