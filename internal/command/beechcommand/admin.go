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

// adminFlags are the flags of commands that query admin listeners.
type adminFlags struct {
	addresses []string
	key       string
	format    outputFormat
}

const (
	adminTimeout  = 5 * time.Second
	maxAdminBytes = 64 << 20
)

func (f *adminFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.addresses, "admin", nil, "admin addresses to ask, IP:PORT")
	c.Flags().StringVar(&f.key, "admin-key", "", "admin key of the deployment")
	_ = c.MarkFlagRequired("admin")
	addOutputFlag(c, &f.format)
}

// getAdmin gets a page of an admin listener and decodes its JSON into target.
func getAdmin(ctx context.Context, address netip.AddrPort, key, path string, target any) error {
	requestContext, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(requestContext, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return fmt.Errorf("query %s: %w", address, err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("query %s: %w", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAdminBytes))
	if err != nil {
		return fmt.Errorf("read response of %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("query %s: %s", address, response.Status)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode response of %s: %w", address, err)
	}
	return nil
}
