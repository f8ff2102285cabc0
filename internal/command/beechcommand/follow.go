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

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 5 * time.Second

// settingsFile is the file that was named, or the platform's.
func settingsFile(named string) string {
	if named != "" {
		return named
	}
	return os.Getenv(platform.SettingsVariable)
}

// followSettings calls apply with the settings file's content when it has
// changed, at a hangup signal and at intervals. Content that cannot be used
// leaves the last in force, with a line in the log. The signal ends no process.
func followSettings(ctx context.Context, file string, last []byte, log *zap.Logger, apply func([]byte) error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		ticker := time.NewTicker(settingsPoll)
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
				log.Info("hangup signal, settings read again")
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
				log.Warn("settings not used, the last stay in force", zap.String("file", file), zap.Error(err))
			}
		}
	}()
}
