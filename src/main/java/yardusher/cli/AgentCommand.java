package yardusher.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import yardusher.agent.Agent;
import yardusher.agent.AgentConfig;
import yardusher.error.CommandError;
import yardusher.error.ConfigError;
import yardusher.error.WireError;
import yardusher.resp.Value;

/** The sub-command agent: without a running agent, start becomes one; all else asks the running one. */
final class AgentCommand {
    private static final int TIMEOUT_MS = 5000;

    private AgentCommand() { }

    static int run(List<String> words) throws IOException {
        if (words.size() < 2 || !List.of("start", "status", "restart", "reload", "stop", "admin").contains(words.get(0))) {
            throw new CommandError.Usage("usage: yardusher agent start|status|restart|reload|stop FILE [NAME ...] | admin FILE CALL [ID]");
        }
        AgentConfig config = AgentConfig.read(Path.of(words.get(1)));
        List<String> names = words.subList(2, words.size());
        if (words.get(0).equals("admin")) { return AdminCommand.all(config, names); }
        for (String name : names) {
            if (config.instances().stream().noneMatch(entry -> entry.name().equals(name))) {
                throw new ConfigError.UnknownName(words.get(1), "instance.name", "no instance " + name);
            }
        }
        if (words.get(0).equals("start") && names.isEmpty()) { return supervise(config); }
        List<String> command = new ArrayList<>(List.of("AGENT." + words.get(0).toUpperCase(Locale.ROOT)));
        command.addAll(names);
        Value answer = RespClient.call(config.control(), TIMEOUT_MS, command.toArray(new String[0]));
        if (answer instanceof Value.ErrorReply failure) { throw new WireError.Refused(config.control(), failure.text()); }
        if (answer instanceof Value.ArrayValue many && many.items() != null) { return status(config, many.items()); }
        System.out.println("ok");
        return 0;
    }

    /** A line an instance; where it is ready, with its counters. Exit 1 when one is not ready. */
    private static int status(AgentConfig config, List<Value> lines) {
        int status = 0;
        for (Value line : lines) {
            String text = line instanceof Value.BulkString bulk ? bulk.text() : "?";
            String[] words = text.split(" ");
            boolean ready = words.length > 2 && words[1].equals("ready");
            if (!ready) { status = 1; }
            System.out.println(text);
            try {
                if (ready && RespClient.call(words[2].substring("address=".length()), TIMEOUT_MS, "INFO") instanceof Value.BulkString info) {
                    System.out.println("  " + info.text());
                }
            } catch (WireError e) {
                System.out.println("  " + e.getMessage());
            }
        }
        return status;
    }

    /** The second address of an instance, as its configuration says; null where that names none or cannot be read now. */
    private static java.net.InetSocketAddress admin(AgentConfig.Entry entry) {
        try {
            return IngressConfig.read(entry.config()).admin();
        } catch (ConfigError e) {
            return null;
        }
    }

    private static int supervise(AgentConfig config) throws IOException {
        if (config.fleet() != null) { yardusher.log.Logs.quietLibraries(); }
        Agent agent = new Agent(config, AgentCommand::admin);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                agent.close();
            } catch (InterruptedException e) { /* the process ends all the same */ }
            Runtime.getRuntime().halt(0);
        }, "end"));
        agent.start();
        System.err.println("agent listens at " + agent.address() + ", " + config.instances().size() + " instances");
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
