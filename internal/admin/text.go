package admin

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// textPrefix is the prefix of all metric names in the text format.
const textPrefix = "tealhall_"

// writeText writes metrics in the exposition format that most collectors read: a line for each
// value, "name value" or "name{quantile="0.99"} value".
func writeText(w http.ResponseWriter, views []MetricView) {
	var b bytes.Buffer
	for _, view := range views {
		name := textName(view.Name)
		for _, key := range slices.Sorted(maps.Keys(view.Values)) {
			b.WriteString(name)
			b.WriteString(textSuffix(key))
			b.WriteByte(' ')
			b.Write(strconv.AppendFloat(nil, view.Values[key], 'g', -1, 64))
			b.WriteByte('\n')
		}
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(b.Bytes())
}

// textName replaces the characters that names in the text format must not contain.
func textName(name string) string {
	return textPrefix + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

// textSuffix returns the label or the suffix that distinguishes the values of one metric.
func textSuffix(key string) string {
	if quantile, ok := quantiles[key]; ok {
		return `{quantile="` + strconv.FormatFloat(quantile, 'g', -1, 64) + `"}`
	}
	if key == "value" {
		return ""
	}
	return "_" + textName(key)[len(textPrefix):]
}
