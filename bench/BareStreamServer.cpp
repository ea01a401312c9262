/// The measure for relaying: libsoup alone streams answers of a given number of chunks, one token each.
#include "base/Log.h"
#include "wire/MainLoop.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstdlib>
#include <memory>

namespace {

constexpr auto chunk
    = R"(data: {"id":"0123456789abcdef01234567","object":"text_completion","model":"adapter-1@1","choices":[{"index":0,"text":" a1b2c3.10","finish_reason":null}]})"
      "\n\n";

struct Answer {
    int left = 0;
};

auto next(SoupServerMessage* message, gpointer data) -> void
{
    auto& answer = *static_cast<Answer*>(data);
    auto* body = soup_server_message_get_response_body(message);
    if (answer.left-- > 0)
        soup_message_body_append(body, SOUP_MEMORY_STATIC, chunk, std::char_traits<char>::length(chunk));
    else
        soup_message_body_complete(body);
    soup_server_message_unpause(message);
}

auto handle(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer tokens) -> void
{
    auto* answer = new Answer { GPOINTER_TO_INT(tokens) };
    g_socket_set_option(soup_server_message_get_socket(message), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    auto* headers = soup_server_message_get_response_headers(message);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    g_signal_connect(message, "wrote-headers", G_CALLBACK(next), answer);
    g_signal_connect_data(
        message, "wrote-chunk", G_CALLBACK(next), answer,
        [](gpointer owned, GClosure*) { delete static_cast<Answer*>(owned); }, static_cast<GConnectFlags>(0));
}

} // namespace

auto main(int argc, char** argv) -> int
{
    eelgrass::log::start("bare", "INFO");
    auto loop = eelgrass::wire::MainLoop();
    auto* server = soup_server_new(nullptr, nullptr);
    const auto tokens = argc > 1 ? std::atoi(argv[1]) : 1;
    soup_server_add_handler(server, nullptr, handle, GINT_TO_POINTER(tokens), nullptr);
    soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
    auto* uris = soup_server_get_uris(server);
    const auto port = g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    eelgrass::log::info("listening", { { "port", std::to_string(port) } });
    return loop.run();
}
