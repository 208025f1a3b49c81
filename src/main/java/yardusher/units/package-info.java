/**
 * Units of work: requests of one customer that belong together, run one after another in one zone or at one region, whichever
 * ingresses they come through.
 *
 * <ul>
 * <li>A <em>part</em> is one request of a unit. The unit ends at a boundary: an explicit end, the close of its connection, or a
 *     timeout.
 * <li>The <em>home</em> of a unit is the ingress that opened it or took it over. It grants the parts one at a time and in order.
 * <li>The <em>holder</em> of a part is the ingress that received its request and runs it under a numbered <em>grant</em>.
 * <li>The <em>binding</em> of a unit is the zone, or for a session the region, where its first part may have run.
 * <li>An <em>incarnation</em> is one run of an ingress process, identified by a random number. Messages go from one incarnation to
 *     another, so those of a past incarnation have no effect.
 * </ul>
 *
 * <p>{@link yardusher.units.UnitsIntake} handles requests and messages, {@link yardusher.units.UnitTable} and
 * {@link yardusher.units.Unit} hold the state of a home, and {@link yardusher.units.ReliableTransport} carries the messages.
 */
package yardusher.units;
