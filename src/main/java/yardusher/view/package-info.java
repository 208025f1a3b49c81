/**
 * The membership view: which ingresses of an installation are active. {@link yardusher.view.Membership} is the gossip protocol (SWIM with
 * the Lifeguard extensions), {@link yardusher.view.MemberTable} its state, {@link yardusher.view.ViewCodec} its datagrams, and
 * {@link yardusher.view.View} what other packages read. {@link yardusher.view.ViewSubsystem} runs it on the event loop.
 */
package yardusher.view;
