package beechentry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

func TestWastedTokensCountsPredictedPrefixesComputedAgain(t *testing.T) {
	is := is.New(t)
	usage := func(prompt, cached int) beechwire.Usage {
		return beechwire.Usage{Known: true, Prompt: prompt, Cached: cached}
	}
	is.Equal(wastedTokens(usage(500, 0), 1000, 1000), 0) // no server held a prefix
	is.Equal(wastedTokens(usage(500, 0), 1000, 200), 400)
	is.Equal(wastedTokens(usage(500, 400), 1000, 200), 0)
	is.Equal(wastedTokens(usage(500, 0), 0, 0), 0)
	is.Equal(wastedTokens(beechwire.Usage{}, 1000, 0), 0)
}
