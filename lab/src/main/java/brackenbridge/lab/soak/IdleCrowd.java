package brackenbridge.lab.soak;

import brackenbridge.http.HttpResponse;

/** Clients that connect and send nothing, and connect again some time after the node has ended their connection. */
final class IdleCrowd {
    private static final double RECONNECT_MS = 500;
    /** Between one client's first connect and the next one's. */
    private static final double SPREAD_MS = 2;

    private final ClientSetting setting;
    private boolean over;

    IdleCrowd(ClientSetting setting) {
        this.setting = setting;
    }

    /** So many clients connect. */
    void start(int clients) {
        for (int i = 0; i < clients; i++) {
            setting.scheduler().at(setting.clock().nowMs() + i * SPREAD_MS, () -> new IdleClient().connect());
        }
    }

    /** Nobody connects any more. */
    void end() {
        over = true;
    }

    private final class IdleClient implements SoakConnection.Listener {
        private void connect() {
            if (over) {
                return;
            }
            if (setting.processes().takesConnections()) {
                SoakConnection.open(setting, setting.address(), this);
            } else {
                connectLater();
            }
        }

        private void connectLater() {
            setting.scheduler().at(setting.clock().nowMs() + RECONNECT_MS, this::connect);
        }

        @Override
        public void connected(SoakConnection connection) {
            if (over) {
                connection.close();
            }
        }

        @Override
        public void notConnected(Throwable cause) {
            connectLater();
        }

        @Override
        public void answered(SoakConnection connection, HttpResponse response) {
            // An error for a client that sends nothing: the end of the connection follows.
        }

        @Override
        public void ended(SoakConnection connection) {
            connectLater();
        }
    }
}
