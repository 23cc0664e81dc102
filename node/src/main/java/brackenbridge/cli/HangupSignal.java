package brackenbridge.cli;

import java.lang.reflect.Proxy;

/** Handles the signal SIGHUP. The platform's signal class is used by reflection, since it is not part of the API. */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs the work at each SIGHUP, on a thread of its own, in place of the default action, which ends the process.
     * Returns false if no signal will arrive: the platform has none, or the process was started with SIGHUP ignored,
     * as by nohup, which the runtime does not change.
     */
    static boolean handle(Runnable work) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
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
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
            return previousHandler != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
