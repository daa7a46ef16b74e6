// Package fleetload measures what a fleet of entries costs and how fast changes spread in it, by
// the size of the fleet. It runs real entries over loopback sockets in one process, together with a
// simulated configuration service and simulated endpoints that answer at once.
//
// All figures of one report come from one run. The processor time of an entry is that of the whole
// process, including the simulated parts, divided by the number of entries. The report says where a
// figure is a difference or a slope.
package fleetload
