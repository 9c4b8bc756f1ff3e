package org.spoolline.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.spoolline.leadership.Leadership;
import org.spoolline.net.Http;
import org.spoolline.net.Loop;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.state.StateClient;

/** Asks the other controllers how they are: tells an outage from one's own cut, and hears of newer leaders. */
public final class Peers {
    private static final String PATH = "/status";

    private record Seen(PeerStatus status, long at) {
    }

    private final Loop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final StateClient state;
    private final Leadership leadership;
    private final Map<String, Seen> seen = new HashMap<>();

    public Peers(Loop loop, Http.Caller http, Settings settings, StateClient state, Leadership leadership) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.state = state;
        this.leadership = leadership;
    }

    public void start() {
        for (Settings.Peer peer : settings.peers()) {
            ask(peer);
        }
    }

    private void ask(Settings.Peer peer) {
        http.call(peer.address(), "POST", PATH, mine().encode(), Constants.PEER_TIMEOUT_MS, reply -> {
            if (reply.ok()) {
                heard(PeerStatus.decode(reply.body()));
            }
            loop.after(Constants.PEER_PING_MS, () -> ask(peer));
        });
    }

    /** Serves the internal address. */
    public void handle(Http.Request request, Consumer<Http.Response> answer) {
        if (!request.path().equals(PATH)) {
            answer.accept(Http.Response.of(404, new byte[0]));
            return;
        }
        heard(PeerStatus.decode(request.body()));
        answer.accept(Http.Response.of(200, mine().encode()));
    }

    /** True when a peer has lately said that it reaches the state service. */
    public boolean anyReachesState() {
        return seen.values().stream().anyMatch(s -> s.status().reachesState()
                && loop.now() - s.at() < 2 * Constants.PEER_PING_MS + Constants.PEER_TIMEOUT_MS);
    }

    private PeerStatus mine() {
        return new PeerStatus(settings.node(), leadership.knownToken(), state.reachable());
    }

    private void heard(PeerStatus status) {
        if (status != null) {
            seen.put(status.node(), new Seen(status, loop.now()));
            leadership.sawToken(status.token());
        }
    }
}
