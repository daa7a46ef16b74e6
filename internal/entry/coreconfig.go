package entry

import (
	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/core/budget"
	"github.com/tealhall/tealhall/internal/idem"
)

// coreConfig returns the core's configuration that follows from the settings.
func (e *Entry) coreConfig() core.Config {
	limits := &e.settings.Limits
	c := core.DefaultConfig(e.hello)
	if e.settings.Balance.Policy != "" {
		c.Policy = e.settings.Balance.Policy
	}
	c.MaxInFlight = limits.InFlightRequests
	c.LargestFleet = limits.LargestFleet
	c.AnswersTTL = e.settings.Timeouts.AnswersTTL.Duration
	c.PeerBytesPerSecond = float64(e.settings.Peers.BytesPerSecond)
	c.ReadersPerDomain = e.settings.Platform.ReadersPerDomain
	c.CheckEvery = e.settings.Platform.CheckEvery.Duration
	c.FirstStart = e.settings.Platform.FirstStart
	c.StartFetchDelay = e.platformStartDelay()
	c.AlwaysCurrent = e.settings.Platform.AlwaysCurrent
	c.ListIsFinal = e.settings.Platform.ListIsFinal
	c.MissingAfter = e.settings.Platform.MissingAfter.Duration
	c.KeepLast = e.settings.Platform.KeepLast.Duration
	c.Repeats = budget.RepeatBound{Share: limits.RepeatShare, Window: limits.RepeatWindow.Duration, Slack: limits.RepeatSlack}
	c.LoadProbesPerEndpoint = limits.LoadProbesPerEndpoint
	c.WarmupOver, c.WarmupSlack = limits.WarmupOver, limits.WarmupSlack
	keys := idem.DefaultConfig(e.hello.Incarnation)
	keys.MaxKeys = limits.Keys
	keys.MaxAnswerBytes = limits.KeyAnswerBytes
	keys.MaxAnswerTotal = int64(limits.KeyTableBytes)
	c.Keys = keys
	return c
}
