package profile

import (
	"strconv"
	"strings"
	"time"
)

const (
	kilobyte = 1000
	megabyte = 1000 * kilobyte
	gigabyte = 1000 * megabyte
)

// sizeUnits lists the units in the order in which formatSize tries them.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GB", gigabyte}, {"MB", megabyte}, {"KB", kilobyte},
	{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"B", 1},
}

// parseSize parses a whole number with a unit, for example "8MB" or "64KiB".
func parseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok || strings.TrimLeft(digits, "0123456789") != "" {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n > (1<<62)/unit.bytes {
			return 0, false
		}
		return n * unit.bytes, true
	}
	return 0, false
}

// formatSize formats n with the first unit in sizeUnits that represents it exactly.
func formatSize(n int64) string {
	for _, unit := range sizeUnits {
		if n >= unit.bytes && n%unit.bytes == 0 {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

// formatDuration formats d without the trailing zero parts that time.Duration prints: 2m rather
// than 2m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func formatShare(share float64) string {
	return strconv.FormatFloat(share, 'g', -1, 64)
}
