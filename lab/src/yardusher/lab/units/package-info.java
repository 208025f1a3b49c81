/** Runs of units of work on real processes under faults, the checker of their histories, and measurements of what units cost. */
package yardusher.lab.units;
