// A replica answers before it has read a long request, with an answer that has no length, and crashes in the middle of
// that answer. The client must not get the part as a whole answer.
#include "common/World.h"

using namespace review;

namespace {

// The longest body of a request in the site file; the configuration allows 4,194,304.
constexpr auto requestBytes = std::size_t(110000);
constexpr auto rounds = 4;
// Segments of an Ethernet link, and a small window.
constexpr auto segmentBytes = 1460;
constexpr auto windowBytes = 4096;

/// The two kinds of request: a lookup with a plain answer, and a stream of events. Neither may be repeated or resumed.
struct Kind {
    std::string name;
    std::string prefix;
    bool streamed = false;

    /// The first part of the replica's answer, and the rest; both are whole lines, of a stream whole events.
    std::string part(bool first) const
    {
        auto text = std::string();
        for (auto line = first ? 1 : 4; line <= (first ? 3 : 7); ++line) {
            if (streamed)
                text += "id: " + std::to_string(line) + "\ndata: piece " + std::to_string(line) + "\n\n";
            else
                text += "load case " + std::to_string(line) + ": 3 kN\n";
        }
        return text;
    }
    std::string whole() const { return part(true) + part(false); }
};

const auto lookup = Kind { "lookup", "/puxa403/", false };
const auto stream = Kind { "stream", "/pufi791/", true };

/// The replica, a process of its own: answers one request and ends. Tells by its log how far it is.
int runReplica(int listener, const std::string& instance)
{
    const auto tell = [](const std::string& text) { std::cout << text << std::endl; };
    for (;;) {
        const auto socket = Socket(accept(listener, nullptr, nullptr));
        auto input = std::string();
        auto request = Message();
        const auto until = Clock::now() + std::chrono::seconds(20);
        auto end = End::Open;
        while (end == End::Open && !takeHead(input, request))
            end = readMore(socket.fd(), input, until);
        if (end != End::Open)
            continue;
        if (request.field("X-Eelgrassrouter-Expect-Instance") != instance) {
            sendAll(socket.fd(), responseText(421, "X-Eelgrassrouter-Instance-Id: " + instance + "\r\n", ""));
            continue;
        }
        const auto& kind = request.path().rfind(stream.prefix, 0) == 0 ? stream : lookup;
        tell("run " + request.field("X-Eelgrassrouter-Attempt-Id"));
        // No length and no chunks: the answer ends with its connection.
        sendAll(socket.fd(),
            "HTTP/1.1 200 OK\r\nX-Eelgrassrouter-Attempt-Id: " + request.field("X-Eelgrassrouter-Attempt-Id")
                + "\r\nX-Eelgrassrouter-Server-Seal: seal-" + instance
                + "\r\nContent-Type: " + (kind.streamed ? "text/event-stream" : "text/plain")
                + "\r\nConnection: close\r\n\r\n" + kind.part(true));
        tell("first part written");
        std::this_thread::sleep_for(milliseconds(600));
        const auto length = std::strtoull(request.field("Content-Length").c_str(), nullptr, 10);
        while (input.size() < length && readMore(socket.fd(), input, until) == End::Open) { }
        sendAll(socket.fd(), kind.part(false));
        tell("whole answer written, request bytes read: " + std::to_string(input.size()));
        shutdown(socket.fd(), SHUT_WR);
        // The other side closes once it has the end.
        while (readMore(socket.fd(), input, Clock::now() + std::chrono::seconds(2)) == End::Open) { }
    }
}

bool logHas(const std::string& file, const std::string& text)
{
    auto stream = std::ifstream(file);
    auto whole = std::string(std::istreambuf_iterator<char>(stream), {});
    return whole.find(text) != std::string::npos;
}

int runCase()
{
    auto record = Record(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt");
    const auto trouble = withTrouble();
    record.line(trouble ? "the replica is killed in the middle of its answer" : "without trouble");
    const auto folder = Folder();
    auto store = Store();
    const auto route = [](const Kind& kind, const char* repeats) {
        return nlohmann::json { { "name", "r-" + kind.name }, { "host", "ficu95.example" }, { "prefix", kind.prefix },
            { "kind", repeats }, { "timeoutMs", 6000 }, { "targetLatencyMs", 1000 }, { "priority", 2 },
            { "service", "calculette" }, { "maxAttempts", 1 }, { "sticky", false }, { "resumable", false },
            { "gapAimMs", 300 } };
    };
    const auto config
        = nlohmann::json { { "version", 7 }, { "routes", { route(lookup, "non_idempotent"), route(stream, "stream") } },
              { "services", { plainServiceJson("calculette") } }, { "limits", limitsJson() } };
    store.put("op", "config", config.dump());
    // The platform's operator is done; the system starts.
    const auto gateway = startGateway(folder, store, "front-brest-a-1", freePort());

    auto wrong = 0;
    auto whole = 0;
    for (auto round = 1; round <= rounds; ++round) {
        const auto instance = "i-" + std::to_string(1000 + round);
        auto listener = listenOn(0, segmentBytes, windowBytes);
        const auto port = portOf(listener.fd());
        const auto log = folder.file("replica-" + std::to_string(round) + ".log");
        fcntl(listener.fd(), F_SETFD, 0);
        auto replica = Process({ "/proc/self/exe", "replica", std::to_string(listener.fd()), instance }, log);
        listener.close();
        store.put("servers", instance, serverRow("calculette", port, 1));
        if (!awaitReady(gateway))
            return record.line("the gateway is not ready"), couldNotRun;
        // The list is read every second.
        std::this_thread::sleep_for(milliseconds(1500));

        const auto& kind = round % 2 == 1 ? lookup : stream;
        const auto attempt = "9c41d07be2a35f" + std::to_string(10 + round);
        auto client = connectTo(gateway.clients);
        const auto request = "POST " + kind.prefix
            + "2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Eelgrassrouter-Attempt-Id: " + attempt
            + "\r\nX-Eelgrassrouter-Deadline-Ms: 6000\r\nContent-Length: " + std::to_string(requestBytes) + "\r\n\r\n"
            + std::string(requestBytes, 'x');
        record.line(
            "client sends " + attempt + ", a " + kind.name + " with " + std::to_string(requestBytes) + " bytes");
        sendAll(client.fd(), request);
        const auto until = Clock::now() + milliseconds(4000);
        while (!logHas(log, "first part written") && Clock::now() < until)
            std::this_thread::sleep_for(milliseconds(5));
        if (!logHas(log, "run " + attempt))
            return record.line("the replica got no request"), couldNotRun;
        record.line("replica " + instance + " runs " + attempt + ", has written "
            + std::to_string(kind.part(true).size()) + " of " + std::to_string(kind.whole().size())
            + " bytes of its answer");
        if (trouble) {
            std::this_thread::sleep_for(milliseconds(200));
            replica.kill(SIGKILL);
            replica.reap();
            record.line("replica " + instance + " crashes (SIGKILL)");
        }
        auto input = std::string();
        const auto answer = readAnswer(client.fd(), input, Clock::now() + milliseconds(6000));
        const auto sealed = answer.message.has("X-Eelgrassrouter-Server-Seal");
        record.line("client gets status " + std::to_string(answer.message.status())
            + (sealed ? " with seal" : " without seal") + ", " + std::to_string(answer.message.body.size()) + " bytes, "
            + (answer.whole ? "whole by its framing" : std::string("not whole: ") + toString(answer.end)));
        const auto success = answer.headSeen && answer.message.status() / 100 == 2;
        if (success && answer.whole && answer.message.body != kind.whole()) {
            ++wrong;
            record.line("MIXED: a success whose body is not the replica's whole body looks complete");
        }
        if (success && answer.whole && answer.message.body == kind.whole())
            ++whole;
        store.remove("servers", instance);
    }
    record.line("wrong successes: " + std::to_string(wrong) + ", whole successes: " + std::to_string(whole) + " of "
        + std::to_string(rounds));
    if (wrong > 0)
        return broken;
    // Without trouble each answer has to come.
    return trouble || whole == rounds ? held : couldNotRun;
}

} // namespace

int main(int count, char** arguments)
{
    signal(SIGPIPE, SIG_IGN);
    if (count == 4 && std::string(arguments[1]) == "replica")
        return runReplica(std::atoi(arguments[2]), arguments[3]);
    alarm(110);
    try {
        return runCase();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return couldNotRun;
    }
}
