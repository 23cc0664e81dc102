package brackenbridge.cli;

import java.lang.reflect.Proxy;

/** A signal that the process handles. The platform's class is used by reflection, since it is not part of the API. */
enum ProcessSignal {
    /** Reload the configuration. */
    HUP,
    /** Stop in an orderly way. */
    TERM;

    /**
     * Runs the work at each signal, on a thread of its own, in place of the default action. Returns false if no signal
     * will arrive: the platform has none, or the process was started with the signal ignored, as SIGHUP by nohup, which
     * the runtime does not change.
     */
    boolean handle(Runnable work) {
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
                        default -> name();
                    });
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name()), handlerProxy);
            return previousHandler != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
