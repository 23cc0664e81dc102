package brackenbridge.lab.soak;

import brackenbridge.http.HttpException;
import brackenbridge.http.ResponseDecoder;
import brackenbridge.lab.live.LongTransfer;
import brackenbridge.lab.live.StandInHttp;
import brackenbridge.lab.live.SteadyTransfer;
import brackenbridge.lab.rules.RuleChecker.Answer;
import brackenbridge.lab.rules.RuleChecker.Rule;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A client that sends long bodies and gets long answers, one a connection. A request's time begins when the system has
 * taken its last byte. Of a long answer the first byte is timed; it must not be cut off while its server gives it.
 */
final class LongBodyClient {
    /** First bytes that a server wrote so long before its client's time is up have come in time. */
    private static final double BEGUN_IN_TIME_MS = 400;
    /** An answer that has begun comes to its end in this time: the largest at the lowest rate takes 5 s. */
    private static final double TRANSFER_LIMIT_MS = 8000;

    /** Small, so that what a slow client has not read waits on the node's side. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private static final int READ_BYTES = 16 * 1024;
    private static final double START_SPREAD_MS = 1000;
    private static final double MOST_PAUSE_MS = 200;
    private static final double LATE_BY_FAULT_MS = 1000;

    private final ClientSetting setting;
    private final UniformRandomProvider random;
    private Exchange exchange;
    private boolean resting = true;
    private boolean over;

    LongBodyClient(ClientSetting setting, UniformRandomProvider random) {
        this.setting = setting;
        this.random = random;
    }

    /** Begins, or goes on after {@link #rest}. */
    void start() {
        if (resting) {
            resting = false;
            later(random.nextDouble(0, START_SPREAD_MS), this::next);
        }
    }

    /** Begins no request any more. */
    void rest() {
        resting = true;
    }

    /** Whether it waits for nothing. */
    boolean isQuiet() {
        return exchange == null;
    }

    /** Ends its connection, at the end of the play. */
    void end() {
        over = true;
        if (exchange != null) {
            exchange.abandon();
        }
    }

    private double now() {
        return setting.clock().nowMs();
    }

    private void later(double afterMs, Runnable task) {
        setting.scheduler().at(now() + afterMs, task);
    }

    private void next() {
        if (over || resting || exchange != null) {
            return;
        }
        if (!setting.processes().takesConnections()) {
            later(MOST_PAUSE_MS, this::next);
            return;
        }
        exchange = new Exchange(LongBodyRequest.draw(setting.world(), random));
        exchange.connect();
    }

    /** One request and its answer on a connection of their own. */
    private final class Exchange extends ChannelInboundHandlerAdapter {
        private long bodyBytes;
        private final LongBodyRequest planned;
        private final SoakRequest request;
        private final LongTransfer transfer;
        private final ResponseDecoder decoder = new ResponseDecoder((from, length) -> {
            bodyBytes += length;
            from.skipBytes(length);
        });
        private SteadyTransfer pace;
        private Channel channel;
        private double firstByteMs = Double.NaN;
        private boolean written;
        private boolean finished;

        Exchange(LongBodyRequest planned) {
            this.planned = planned;
            this.request = planned.request();
            this.transfer = new LongTransfer(planned.plan());
        }

        void connect() {
            StandInHttp.bootstrap(setting.loop())
                    .handler(this)
                    .connect(setting.address())
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            send(((ChannelFuture) done).channel());
                        } else {
                            finish();
                        }
                    });
        }

        private void send(Channel connected) {
            channel = connected;
            setting.tally().connected();
            pace = new SteadyTransfer(channel, setting.scheduler());
            if (planned.clientBytesPerSecond() > 0) {
                pace.limitReads(RECEIVE_BUFFER_BYTES, READ_BYTES);
            }
            setting.registry().addTransfer(request.id(), transfer);
            setting.log().add("long: " + planned.text());
            channel.writeAndFlush(Unpooled.wrappedBuffer(request.bytes(now()))).addListener(done -> {
                if (done.isSuccess() && !finished) {
                    onWritten();
                }
            });
        }

        private void onWritten() {
            written = true;
            setting.tally().sent();
            request.written(now(), false, setting.node(), setting.rules(), setting.registry());
            setting.log().add(request.id() + " long, its last byte is written");
            double limitMs = request.deadlineMs() + SoakClient.ANSWER_SLACK_MS;
            setting.scheduler().at(limitMs, () -> later(setting.rules().machineDelayMs(), this::onNoAnswer));
        }

        private void onNoAnswer() {
            if (!finished && Double.isNaN(firstByteMs)) {
                request.entry().close(now());
                finish();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            int bytes = in.readableBytes();
            try {
                if (Double.isNaN(firstByteMs)) {
                    firstByteMs = now();
                    later(TRANSFER_LIMIT_MS, this::onTransferLimit);
                }
                if (!finished && decoder.decode(in)) {
                    onAnswer();
                } else if (planned.clientBytesPerSecond() > 0) {
                    pace.pauseAfterRead(bytes, planned.clientBytesPerSecond());
                }
                closeByFault();
            } catch (HttpException e) {
                context.close();
            } finally {
                in.release();
            }
        }

        private void closeByFault() {
            boolean inLongAnswer = !finished && planned.plan().hasLongAnswer() && bodyBytes > 0;
            if (inLongAnswer && setting.faults().take(SoakFault.LONG_ANSWER_CUT)) {
                channel.close();
            }
        }

        private void onTransferLimit() {
            if (!finished) {
                setting.rules()
                        .report(Rule.LOST, now(), request.id() + ": an answer that had begun never came to its end");
                finish();
            }
        }

        private void onAnswer() {
            int status = decoder.status();
            setting.log().add(request.id() + " long, answered " + status + " with " + bodyBytes + " bytes");
            Answer how = SoakRequest.meaning(status);
            if (!written) {
                if (how == Answer.SERVED) {
                    setting.rules().report(Rule.FORGED, now(), request.id() + ": served before it was written");
                }
            } else if (how == Answer.SERVED && isWrongLength()) {
                request.entry().forged(now(), "an answer of " + bodyBytes + " bytes, not its server's");
            } else {
                request.entry().answered(answeredMs(how), how);
                setting.tally().answered(request.className(), how);
                checkNotGivenUp(how);
            }
            finish();
        }

        private boolean isWrongLength() {
            return planned.plan().hasLongAnswer() && bodyBytes != planned.plan().answerBytes();
        }

        private double answeredMs(Answer how) {
            boolean isLong = how == Answer.SERVED && planned.plan().hasLongAnswer();
            boolean late = !isLong && setting.faults().take(SoakFault.LATE_UPLOAD_ANSWER);
            double atMs = isLong ? firstByteMs : now();
            double allowedMs = SoakClient.ANSWER_SLACK_MS + setting.rules().machineDelayMs();
            return late ? request.deadlineMs() + allowedMs + LATE_BY_FAULT_MS : atMs;
        }

        /** An answer whose first bytes came in time must not be given up, if its server still gives it. */
        private void checkNotGivenUp(Answer how) {
            boolean begunInTime = transfer.answerBegunMs()
                    < request.deadlineMs() - BEGUN_IN_TIME_MS - setting.rules().machineDelayMs();
            if (how != Answer.SERVED && begunInTime && isNodeToAnswerFor()) {
                request.entry().cutOff(now(), "refused or failed although its server was giving the answer");
            }
        }

        /** Whether neither the server nor a stop of the process is to blame. */
        private boolean isNodeToAnswerFor() {
            return planned.plan().hasLongAnswer()
                    && !transfer.isBrokenByServer()
                    && !setting.processes().mayHaveEndedSince(request.writtenMs());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (finished) {
                return;
            }
            if (decoder.onConnectionEnd()) {
                onAnswer();
                return;
            }
            if (written && !Double.isNaN(firstByteMs)) {
                request.entry().answered(firstByteMs, Answer.FAILED);
                setting.tally().answered(request.className(), Answer.FAILED);
                if (isNodeToAnswerFor()) {
                    request.entry().cutOff(now(), "a long answer cut off after " + bodyBytes + " bytes");
                }
            } else if (written && !setting.processes().mayHaveEndedSince(request.writtenMs())) {
                request.entry().connectionEnded(now(), "its connection ended with no answer");
            }
            finish();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        /** Ends it at the end of the play: nothing is judged. */
        void abandon() {
            finished = true;
            if (written) {
                request.entry().gone(now());
            }
            if (channel != null) {
                channel.close();
            }
        }

        private void finish() {
            if (finished) {
                return;
            }
            finished = true;
            request.end();
            setting.registry().forgetTransfer(request.id());
            if (channel != null) {
                channel.close();
            }
            exchange = null;
            later(random.nextDouble(1, MOST_PAUSE_MS), LongBodyClient.this::next);
        }
    }
}
