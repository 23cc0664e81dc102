package brackenbridge.mgmt;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends a management call to a running node. */
public final class ManagementCall {
    private static final int TIMEOUT_MS = 5000;
    /** Guards the command line against another program that listens at the address. */
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    private static final int MAX_PORT = 65535;

    private ManagementCall() {}

    /**
     * Sends the call to this address and returns the complete answer.
     *
     * @throws IllegalArgumentException if the address or the call is invalid
     */
    public static String send(String address, String call) throws IOException {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("[0-9]{1,5}") || call.contains("\n")) {
            throw new IllegalArgumentException("not an address and port, or not a call: " + address + " " + call);
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("not a port: " + port);
        }
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.substring(0, colon), port), TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(MAX_ANSWER_BYTES), StandardCharsets.US_ASCII);
        }
    }
}
