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
 * What a subsystem is handed of the ingress that it is part of. {@code front} is null until the fronts are made.
 * {@code classes}, {@code plans} and {@code zones} are the names of the settings' entries, in their order; {@code mesh} and {@code view} are null where the view is off.
 */
public record SubsystemContext(String name, long seed, EventLoop loop, Sockets sockets, Api.Settings settings, List<String> classes, List<String> plans,
        List<String> zones, Ingress ingress, BackendPool pool, DiscoveredBackends table, PlatformFrontend front, Events events,
        Mesh mesh, View view) { }
