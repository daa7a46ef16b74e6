// Package fleetload measures what a fleet of entries costs and how fast news
// spreads in it, against the size of the fleet. It runs real entries over
// loopback sockets in one process, beside a stand-in of the configuration
// service and endpoints that answer at once.
//
// All figures of one report come from one run. Processor time is that of the
// whole process, stand-ins included, divided by the entries; where a figure is
// a difference or a slope, the report says so.
package fleetload
