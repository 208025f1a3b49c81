package yardusher.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import yardusher.admin.AdminCall;
import yardusher.agent.AgentConfig;
import yardusher.error.CommandError;
import yardusher.error.WireError;
import yardusher.net.Sockets;

/** The sub-command admin: one call at the second address of a running instance, or of all that an agent's file names. */
final class AdminCommand {
    private static final int TIMEOUT_MS = 2000;
    private static final int MAX_ANSWER_BYTES = 1 << 20;  // bytes

    private AdminCommand() { }

    /** {@code admin HOST:PORT CALL [ID]}: the answer; 1 where it is a no. */
    static int run(List<String> words) {
        if (words.size() < 2) {
            throw new CommandError.Usage("usage: yardusher admin HOST:PORT CALL [ID]; calls are " + AdminCall.words());
        }
        AdminCall call = call(words.subList(1, words.size()));
        String answer = ask(Sockets.parseAddress(words.get(0)), call);
        System.out.print(answer);
        return answer.startsWith("400") ? 1 : 0;
    }

    /** {@code agent admin FILE CALL [ID]}: the call at every instance of the file, a line for each; 1 where one says no. */
    static int all(AgentConfig agent, List<String> words) {
        AdminCall call = call(words);
        int status = 0;
        for (AgentConfig.Entry entry : agent.instances()) {
            InetSocketAddress at = IngressConfig.read(entry.config()).admin();
            String answer;
            try {
                answer = at == null ? "400 " + entry.config() + " names no admin_addr\n" : ask(at, call);
            } catch (WireError e) {
                answer = "400 " + e.getMessage() + "\n";
            }
            status = answer.startsWith("400") ? 1 : status;
            answer.lines().forEach(line -> System.out.println(entry.name() + " " + line));
        }
        return status;
    }

    private static AdminCall call(List<String> words) {
        try {
            return AdminCall.parse(String.join(" ", words));
        } catch (CommandError e) {
            throw e.in("admin");
        }
    }

    private static String ask(InetSocketAddress at, AdminCall call) {
        String where = Sockets.formatAddress(at);
        try (Socket socket = new Socket()) {
            socket.connect(at, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((call.line() + "\n").getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes(MAX_ANSWER_BYTES);
            if (answer.length == 0) { throw new WireError.Closed(where); }
            return new String(answer, StandardCharsets.US_ASCII);
        } catch (SocketTimeoutException e) {
            throw new WireError.Silent(where, e);
        } catch (java.net.ConnectException e) {
            throw new WireError.Nobody(where, e);
        } catch (IOException e) {
            throw new WireError.Closed(where, e);
        }
    }
}
