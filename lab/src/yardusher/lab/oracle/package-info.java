/**
 * What the pages owe to each request, as pure functions from recorded traces to verdicts. No clock, no sockets: a run records, the
 * oracle judges. The lines are those of {@code docs/design/obligations.md}.
 */
package yardusher.lab.oracle;
