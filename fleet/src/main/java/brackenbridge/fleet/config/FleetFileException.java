package brackenbridge.fleet.config;

import java.util.List;

/** An invalid fleet file, with every fault found in it as {@code FILE:LINE:COLUMN: key: reason}. */
public final class FleetFileException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> faults;

    FleetFileException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /** The faults, one line each, in the order of the file. */
    public List<String> faults() {
        return faults;
    }
}
