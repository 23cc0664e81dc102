package brackenbridge.cli;

import java.lang.reflect.Proxy;

/** The signal SIGHUP. The platform's own class for it is reached by name, since it is no part of the API. */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs this at each SIGHUP from now on, on a thread of its own. Guards against the default, which ends the
     * process. False if no signal will come: the platform has none, or whoever started the process had it ignored, as
     * nohup does, and then the runtime leaves it so.
     */
    static boolean handle(Runnable work) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handling = Proxy.newProxyInstance(
                    handler.getClassLoader(),
                    new Class<?>[] {handler},
                    (proxy, method, args) -> switch (method.getName()) {
                        case "handle" -> {
                            work.run();
                            yield null;
                        }
                        case "hashCode" -> System.identityHashCode(proxy);
                        case "equals" -> proxy == args[0];
                        default -> "SIGHUP";
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
