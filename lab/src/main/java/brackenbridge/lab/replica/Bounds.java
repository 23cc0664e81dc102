package brackenbridge.lab.replica;

/**
 * How far histories go.
 *
 * @param writes of the script that the owner writes
 * @param wants times that a member asks another for what it lacks
 * @param pieces pieces that are sent in answer
 * @param ends times that a member's process ends and starts again, with or without its disk
 * @param saves times that a member's copy is saved to its disk
 * @param forgets times that a member forgets removals
 * @param folds times that the owner folds its ended lives
 */
public record Bounds(int writes, int wants, int pieces, int ends, int saves, int forgets, int folds) {
    /** Bounds for a search for this mistake: as small as they can be so that it shows. */
    public static Bounds of(ReplicationMistake m) {
        return switch (m) {
            case SNAPSHOT_AS_TAIL -> new Bounds(3, 1, 1, 0, 0, 1, 0);
            case SNAPSHOT_DONE_EARLY -> new Bounds(4, 1, 1, 0, 0, 1, 0);
            case LIFE_REUSED, OLD_LIFE_INTO_NEW -> new Bounds(2, 0, 0, 1, 0, 0, 0);
            case DISK_HALF_WRITTEN -> new Bounds(2, 0, 0, 1, 1, 0, 0);
            case COUNT_ADDED_ON_MERGE -> new Bounds(2, 0, 0, 0, 0, 0, 1);
            case SUMS_END_WITH_LIFE -> new Bounds(1, 0, 0, 1, 0, 0, 1);
            case FOLD_KEEPS_ENDED, FOLD_TOO_SOON -> new Bounds(2, 0, 0, 1, 1, 0, 1);
            default -> new Bounds(3, 0, 0, 0, 0, 0, 0);
        };
    }
}
