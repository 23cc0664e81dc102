package brackenbridge.lab.trouble;

import brackenbridge.core.balancing.EndpointState;
import brackenbridge.lab.model.Scheduler;
import brackenbridge.lab.model.ServerModel;
import java.util.List;

/** What troubles strike: the servers, nodes and lists of a world that runs, simulated or real. */
public interface Stage {
    /** A server at its address. */
    interface Server {
        /** Its model. */
        ServerModel model();

        /** Whether a trouble has it now. */
        boolean struck();

        /** A trouble takes it, or lets it go. */
        void strike(boolean on);

        /** Nothing comes from it any more, nor to it; or all does again. */
        void cutOff(boolean on);

        /** Idle connections end without a word after this time. */
        void stale(double afterMs);

        /** This part of its answers comes without a length, and ends with the connection; where there are messages. */
        default void withoutLength(double part) {}

        /** Its process ends, with all its connections. */
        void die();

        /** A new process starts at its address, under a new name if it is another server. */
        void start(boolean renamed);

        /** Discovery learns of it; later if it went without a word. */
        void list(EndpointState state, boolean silent);
    }

    /** A node before the first tier. */
    interface Instance {
        /** Whether its process runs. */
        boolean up();

        /** Ends its process. */
        void kill();

        /** Tells it to stop; the work runs once it has ended. */
        void stop(Runnable ended);

        /** Starts it again. */
        void start();
    }

    /** The service list of one tier. */
    interface Discovery {
        /** It lists changes so much later. */
        void late(double ms);

        /** It is down. */
        void silent(boolean on);

        /** Each call takes it so long, in turn. */
        void overloaded(double msForEach);

        /** The next watch that is opened ends soon, in place of telling what has changed; where there are messages. */
        default void endNextWatchUntold() {}

        /** It has another address, and nodes are told. */
        void moved();
    }

    /** The time. */
    Scheduler scheduler();

    /** The servers of a tier. */
    List<? extends Server> servers(int tier);

    /** The nodes before the first tier. */
    List<? extends Instance> nodes();

    /** The list of a tier. */
    Discovery discovery(int tier);
}
