package core

import (
	"strconv"
	"time"

	"github.com/tealhall/tealhall/internal/core/table"
)

// toldLimit takes in the limit that an endpoint names in an answer, 0 if it names none.
func (c *Core) toldLimit(now time.Duration, e *table.Endpoint, rate float64, out *Actions) {
	if rate == e.Limit.Rate {
		return
	}
	out.note(Note{Actor: "endpoint " + e.Name, Subject: "endpoint " + e.Name, Action: "limited",
		From: limitText(e.Limit.Rate), To: limitText(rate), Why: "its answer says so"})
	e.Limit = table.Limit{Rate: rate, Since: now}
}

func limitText(rate float64) string {
	if rate == 0 {
		return "no limit"
	}
	return strconv.FormatFloat(rate, 'g', 4, 64) + " requests a second from all entries"
}
