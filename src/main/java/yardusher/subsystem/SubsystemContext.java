package yardusher.subsystem;

import java.util.List;
import yardusher.Api;
import yardusher.clients.PlatformFrontend;
import yardusher.core.Ingress;
import yardusher.core.EventLoop;
import yardusher.discovery.DiscoveredBackends;
import yardusher.log.Events;
import yardusher.mesh.Mesh;
import yardusher.net.Sockets;
import yardusher.servers.BackendPool;
import yardusher.view.View;

/**
 * The components of an ingress that its subsystems may use. {@code front} is null until the fronts are created.
 * {@code classes}, {@code plans} and {@code zones} are the names of the settings' entries, in their order; {@code mesh} and
 * {@code view} are null if the view is off.
 */
public record SubsystemContext(String name, long seed, EventLoop loop, Sockets sockets, Api.Settings settings, List<String> classes, List<String> plans,
        List<String> zones, Ingress ingress, BackendPool pool, DiscoveredBackends table, PlatformFrontend front, Events events,
        Mesh mesh, View view) { }
