package brackenbridge.fleet.agreed;

import brackenbridge.fleet.agreed.AgreedValues.EffectiveValues;
import brackenbridge.fleet.agreed.AgreedValues.Value;
import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** What staff do with agreed values, as text in and out; each call waits for its answer, at most for the time given. */
public final class SettingsAdminHandler {
    private final AgreementMember member;
    private final double withinMs;

    /**
     * Calls by this member.
     *
     * @param withinMs how long an answer is waited for
     */
    public SettingsAdminHandler(AgreementMember node, double withinMs) {
        this.member = node;
        this.withinMs = withinMs;
    }

    /**
     * What a call came to.
     *
     * @param done whether what was asked for is done or shown
     * @param text for people
     */
    public record Reply(boolean succeeded, String text) {}

    /**
     * Proposes a content.
     *
     * @param against the generation that it was made against; below 0: the one in force as this member knows it
     */
    public Reply propose(String name, String content, long against) {
        long expected = against >= 0
                ? against
                : member.lastKnown(name).map(Value::generation).orElse(0L);
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > AgreedState.MAX_CONTENT_BYTES) {
            return new Reply(false, bytes.length + " bytes; at most " + AgreedState.MAX_CONTENT_BYTES);
        }
        Optional<Verdict> verdict = await(member.propose(name, expected, bytes, withinMs));
        return new Reply(
                verdict.isPresent() && verdict.get() == Verdict.IN_FORCE,
                switch (verdict.orElse(Verdict.UNKNOWN)) {
                    case IN_FORCE -> "in force; nobody acts by generation " + expected + " any more";
                    case OVERTAKEN ->
                        "not taken: it was made against generation " + expected
                                + ", and another is in force; look at it and propose again";
                    case ANOTHER_STAGED -> "not taken: another proposal is under way";
                    case REFUSED -> "refused: a member can't use it; its status and log say why";
                    case UNKNOWN ->
                        "no majority has answered in " + Math.round(withinMs)
                                + " ms: it may still come into force, or never;"
                                + " look at the history before you propose again";
                });
    }

    /** What is in force or staged, as this member may act by it. */
    public Reply show(String name) {
        Optional<EffectiveValues> acting = member.effectiveValues(name);
        if (acting.isEmpty()) {
            return member.lastKnown(name)
                    .map(value -> new Reply(false, "in doubt; last known:\n" + format(value)))
                    .orElse(new Reply(false, "nothing is known of " + name));
        }
        Value staged = acting.get().staged();
        return new Reply(
                true,
                format(acting.get().inForce()) + (staged == null ? "" : "\nstaged beside it:\n" + format(staged)));
    }

    private static String format(Value value) {
        return "generation " + value.generation() + " by " + value.proposer() + "\n"
                + new String(value.content(), StandardCharsets.UTF_8);
    }

    /** The generations that are kept, oldest first. */
    public Reply history(String name) {
        Optional<AgreementMessage.HistoryResponse> response = readHistory(name, 0);
        if (response.isEmpty()) {
            return noResponse();
        }
        StringBuilder text = new StringBuilder();
        response.get()
                .entries()
                .forEach(entry -> text.append(String.format(
                        Locale.ROOT,
                        "%6d  %-16s %8d bytes  by %s%n",
                        entry.generation(),
                        entry.outcome(),
                        entry.contentBytes(),
                        entry.proposer())));
        return new Reply(text.length() > 0, text.length() > 0 ? text.toString() : "nothing is known of " + name);
    }

    /** Proposes an older generation's content as a new one; numbers never go back. */
    public Reply withdraw(String name, long generation) {
        Reply older = content(name, generation);
        return older.succeeded() ? propose(name, older.text(), -1) : older;
    }

    /** What is not the same in two generations. */
    public Reply diff(String name, long firstGeneration, long secondGeneration) {
        Reply first = content(name, firstGeneration);
        Reply second = content(name, secondGeneration);
        return !first.succeeded()
                ? first
                : !second.succeeded() ? second : new Reply(true, diff(first.text(), second.text()));
    }

    /** Whether a majority answers, who leads, and what is in force. */
    public Reply status() {
        return new Reply(member.alarm().isEmpty(), member.status());
    }

    private Reply content(String name, long generation) {
        Optional<AgreementMessage.HistoryResponse> response = readHistory(name, generation);
        return response.isEmpty()
                ? noResponse()
                : response.get().entries().stream().noneMatch(entry -> entry.generation() == generation)
                        ? new Reply(false, "generation " + generation + " of " + name + " is not kept")
                        : new Reply(true, new String(response.get().content(), StandardCharsets.UTF_8));
    }

    private Optional<AgreementMessage.HistoryResponse> readHistory(String name, long generation) {
        return await(member.readHistory(name, generation, withinMs)).flatMap(o -> o);
    }

    private Reply noResponse() {
        return new Reply(false, "no voter has answered in " + Math.round(withinMs) + " ms");
    }

    private <T> Optional<T> await(CompletableFuture<T> future) {
        try {
            return Optional.of(future.get((long) withinMs + 1000, TimeUnit.MILLISECONDS));
        } catch (TimeoutException | ExecutionException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** The lines between the first and the last that differ: those that go, then those that come. */
    static String diff(String from, String to) {
        List<String> first = Arrays.asList(from.split("\n", -1));
        List<String> second = Arrays.asList(to.split("\n", -1));
        int prefix = 0;
        while (prefix < Math.min(first.size(), second.size())
                && first.get(prefix).equals(second.get(prefix))) {
            prefix++;
        }
        int suffix = 0;
        while (suffix < Math.min(first.size(), second.size()) - prefix
                && first.get(first.size() - 1 - suffix).equals(second.get(second.size() - 1 - suffix))) {
            suffix++;
        }
        StringBuilder text = new StringBuilder();
        if (first.size() - suffix > prefix || second.size() - suffix > prefix) {
            text.append("from line ").append(prefix + 1).append('\n');
        }
        first.subList(prefix, first.size() - suffix)
                .forEach(line -> text.append("- ").append(line).append('\n'));
        second.subList(prefix, second.size() - suffix)
                .forEach(line -> text.append("+ ").append(line).append('\n'));
        return text.toString();
    }
}
