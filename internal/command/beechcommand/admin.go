package beechcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/cobra"
)

// adminFlags name the admin listeners to ask.
type adminFlags struct {
	addresses []string
	key       string
	format    outputFormat
}

const (
	adminTimeout = 5 * time.Second
	adminLimit   = 64 << 20
)

func (f *adminFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.addresses, "admin", nil, "admin addresses to ask, IP:PORT")
	c.Flags().StringVar(&f.key, "admin-key", "", "admin key of the deployment")
	_ = c.MarkFlagRequired("admin")
	addOutputFlag(c, &f.format)
}

// getAdmin reads one page of an admin listener.
func getAdmin(ctx context.Context, address netip.AddrPort, key, path string, into any) error {
	asking, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(asking, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, adminLimit))
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s: %s", address, response.Status)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	return nil
}
