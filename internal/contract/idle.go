package contract

// HeaderIdleOnly is IdleOnlyValue on an attempt that the endpoint should refuse at once as not run
// (NotRunBusy) if none of its slots is idle, instead of queueing it. The entry then tries another
// endpoint. An endpoint that does not know the header queues the request as usual.
const HeaderIdleOnly = "Tealhall-Idle-Only"

// IdleOnlyValue is the only value of HeaderIdleOnly.
const IdleOnlyValue = "1"
