package org.spoolline.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.spoolline.config.NetworkConstants;
import org.spoolline.config.SampleSettings;
import org.spoolline.config.SettingsFile;
import org.spoolline.net.Http;
import org.xnio.XnioWorker;

/** Tests over real sockets how large a response may be that a node reads. */
class ResponseLimitTest {
    private static final int TIMEOUT_S = 20;

    private static Http.Reply replyWith(int bytes) throws Exception {
        XnioWorker worker = ProcessNetwork.createWorker();
        try {
            String address = RunningNode.text(RunningNode.freeAddress());
            ProcessNetwork network = ProcessNetwork.create(
                    worker, SettingsFile.loadText(SampleSettings.NODE).settings());
            network.server()
                    .listen(
                            address,
                            NetworkConstants.MAX_BODY_BYTES,
                            (request, responder) -> responder.accept(Http.Response.of(200, new byte[bytes])));
            CompletableFuture<Http.Reply> reply = new CompletableFuture<>();
            network.loop().after(0, () -> network.caller()
                    .call(address, "GET", "/", null, TIMEOUT_S * 1_000L, reply::complete));
            return reply.get(TIMEOUT_S, TimeUnit.SECONDS);
        } finally {
            worker.shutdownNow();
        }
    }

    @Test
    void responseOverLimitIsNotRead() throws Exception {
        assertEquals(
                NetworkConstants.MAX_RESPONSE_BYTES,
                replyWith(NetworkConstants.MAX_RESPONSE_BYTES).body().length);
        assertEquals(Http.Reply.TOO_LARGE, replyWith(NetworkConstants.MAX_RESPONSE_BYTES + 1));
    }
}
