import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Two toy regions and a toy discovery, for trying the ingress by hand: java example/ToyRegions.java
 * A region answers every CALL after 50 ms with a value that names it. Discovery lists both, and no more.
 */
public final class ToyRegions {
    private static final int[] PORTS = {7001, 7002};
    private static final int DISCOVERY = 8500;

    private interface Talk { void with(InputStream in, OutputStream out) throws Exception; }

    public static void main(String[] args) throws IOException {
        for (int port : PORTS) { listen(port, (in, out) -> region(port, in, out)); }
        listen(DISCOVERY, ToyRegions::discovery);
        System.out.println("regions at 127.0.0.1:7001 and 7002, discovery at 127.0.0.1:8500");
    }

    private static void listen(int port, Talk talk) throws IOException {
        ServerSocket door = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        new Thread(() -> {
            for (;;) {
                try {
                    Socket guest = door.accept();
                    new Thread(() -> {
                        try (guest) {
                            talk.with(new BufferedInputStream(guest.getInputStream()), guest.getOutputStream());
                        } catch (Exception e) { /* it left */ }
                    }).start();
                } catch (IOException e) { return; }
            }
        }).start();
    }

    private static void region(int port, InputStream in, OutputStream out) throws Exception {
        for (List<String> words; (words = command(in)) != null;) {
            System.out.println(port + " " + String.join(" ", words));
            if (words.get(0).equals("PING")) {
                out.write("+PONG\r\n".getBytes(StandardCharsets.US_ASCII));
                continue;
            }
            Thread.sleep(50);
            String value = "served by " + port;
            out.write(("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n").getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static List<String> command(InputStream in) throws IOException {
        String head = line(in);
        if (head == null) { return null; }
        List<String> words = new ArrayList<>();
        for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
            int length = Integer.parseInt(line(in).substring(1));
            words.add(new String(in.readNBytes(length), StandardCharsets.UTF_8));
            in.readNBytes(2);
        }
        return words;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b; (b = in.read()) != '\n';) {
            if (b < 0) { return null; }
            if (b != '\r') { line.append((char) b); }
        }
        return line.toString();
    }

    private static void discovery(InputStream in, OutputStream out) throws Exception {
        for (String line; (line = line(in)) != null && !line.isEmpty();) { /* the request's head */ }
        StringBuilder members = new StringBuilder();
        for (int port : PORTS) {
            members.append(members.length() == 0 ? "" : ",").append("{\"id\":\"s-0000000").append(port - 7000)
                    .append("\",\"host_port\":\"127.0.0.1:").append(port)
                    .append("\",\"locality\":\"a\",\"flavor\":\"std-4\",\"cell\":0,\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}");
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        chunk(out, "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}\n");
        for (;;) {
            Thread.sleep(2000);
            chunk(out, "\n");
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
