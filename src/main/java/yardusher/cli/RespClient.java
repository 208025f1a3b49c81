package yardusher.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import yardusher.error.WireError;
import yardusher.net.Sockets;
import yardusher.resp.Decoder;
import yardusher.resp.Encoder;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/** Asks one RESP command and waits for its answer: for sub-commands, which have nothing else to do. No answer is a {@link WireError}. */
public final class RespClient {
    private RespClient() { }

    public static Value call(String address, int withinMs, String... words) {
        try (Socket socket = new Socket()) {
            socket.connect(Sockets.parseAddress(address), withinMs);
            socket.setSoTimeout(withinMs);
            Encoder command = new Encoder(128).array(words.length);
            for (String word : words) { command.bulk(word); }
            socket.getOutputStream().write(command.toBytes());
            InputStream in = socket.getInputStream();
            Decoder decoder = new Decoder();
            for (Value answer;;) {
                ByteBuffer room = decoder.readBuffer();
                int count = in.read(room.array(), room.position(), room.remaining());
                if (count < 0) { throw new WireError.Closed(address); }
                decoder.advance(count);
                if ((answer = decoder.nextValue()) != null) { return answer; }
            }
        } catch (SocketTimeoutException e) {
            throw new WireError.Silent(address, e);
        } catch (java.net.ConnectException e) {
            throw new WireError.Nobody(address, e);
        } catch (MalformedRespException e) {
            throw new WireError.Malformed(address, "does not speak RESP: " + e.getMessage(), e);
        } catch (IOException e) {
            throw new WireError.Closed(address, e);
        }
    }
}
