/**
 * Sharing of demand rates: how ingresses learn the fleet-wide demand of customers whose sets span many ingresses, where counts of each
 * request would exceed the byte budget. {@link yardusher.rates.Rates} is the protocol, {@link yardusher.rates.RateCodec} its messages,
 * and {@link yardusher.rates.RatesSubsystem} connects it with the mesh and the decision module.
 */
package yardusher.rates;
