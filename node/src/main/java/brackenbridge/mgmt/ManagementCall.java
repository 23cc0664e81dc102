package brackenbridge.mgmt;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A call from the command line to a running node. */
public final class ManagementCall {
    private static final int PATIENCE_MS = 5000;
    /** No node answers more than this; guards the command line against whatever else listens there. */
    private static final int LONGEST_ANSWER = 1 << 20;

    private ManagementCall() {}

    /** Makes the call and gives the whole answer back; an address that is none is an IllegalArgumentException. */
    public static String make(String at, String call) throws IOException {
        int colon = at.lastIndexOf(':');
        if (colon < 1 || !at.substring(colon + 1).matches("[0-9]{1,5}") || call.contains("\n")) {
            throw new IllegalArgumentException("not an address and port, or not a call: " + at + " " + call);
        }
        int port = Integer.parseInt(at.substring(colon + 1));
        if (port > 65535) {
            throw new IllegalArgumentException("not a port: " + port);
        }
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(at.substring(0, colon), port), PATIENCE_MS);
            s.setSoTimeout(PATIENCE_MS);
            s.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readNBytes(LONGEST_ANSWER), StandardCharsets.US_ASCII);
        }
    }
}
