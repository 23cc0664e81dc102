package brackenbridge.lab.bench;

import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.RequestDecoder;
import brackenbridge.http.ResponseDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** A typical request and a typical answer through the decoders, and a request out again. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class CodecBench {
    private final ByteBuf request = Unpooled.copiedBuffer(
            "POST /claim-file HTTP/1.1\r\nHost: api.internal\r\n"
                    + "X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Service-Class: claim-file\r\nX-Account: polje-zav\r\n"
                    + "X-Time-Left-Ms: 4800\r\nContent-Length: 64\r\n\r\n" + "x".repeat(64),
            StandardCharsets.ISO_8859_1);
    private final ByteBuf answer = Unpooled.copiedBuffer(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + "X-Backend-Load: inflight=7,queue=2,util=0.61\r\nContent-Length: 128\r\n\r\n" + "y".repeat(128),
            StandardCharsets.ISO_8859_1);
    private final RequestDecoder requests = new RequestDecoder();
    private final ResponseDecoder answers = new ResponseDecoder();
    private HttpRequest decoded;

    /** A request to encode. */
    @Setup
    public void decodeOne() throws HttpException {
        decoded = request();
    }

    /** Decodes a request. */
    @Benchmark
    public HttpRequest request() throws HttpException {
        request.readerIndex(0);
        requests.decode(request);
        return requests.takeRequest();
    }

    /** Decodes an answer. */
    @Benchmark
    public HttpResponse answer() throws HttpException {
        answer.readerIndex(0);
        answers.decode(answer);
        return answers.takeResponse();
    }

    /** Encodes a forward. */
    @Benchmark
    public int forward() {
        ByteBuf out = HttpEncoder.request(UnpooledByteBufAllocator.DEFAULT, decoded, 4700);
        int length = out.readableBytes();
        out.release();
        return length;
    }
}
