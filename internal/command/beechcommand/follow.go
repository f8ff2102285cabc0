package beechcommand

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/platform"
)

// settingsPollInterval is the interval between reads of the settings file, which
// may change without a hangup signal.
const settingsPollInterval = 5 * time.Second

// settingsFile returns the given path, or the one in the platform's environment
// variable if it is empty.
func settingsFile(named string) string {
	if named != "" {
		return named
	}
	return os.Getenv(platform.SettingsVariable)
}

// followSettings reads the settings file at every SIGHUP and at regular
// intervals, and calls apply if the content has changed. If the file cannot be
// read or apply fails, it logs a warning and the previous settings stay in force.
// From then on SIGHUP does not terminate the process, not even while it stops.
func followSettings(ctx context.Context, file string, last []byte, log *zap.Logger, apply func([]byte) error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
				log.Info("SIGHUP received, reading settings again")
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			data, err := os.ReadFile(file)
			if err == nil && !bytes.Equal(data, last) {
				err = apply(data)
				last = data
			}
			if err != nil {
				log.Warn("cannot use settings file, previous settings stay in force", zap.String("file", file), zap.Error(err))
			}
		}
	}()
}
