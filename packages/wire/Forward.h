#pragma once

/// Forward declarations of the wire package.
namespace eelgrass::wire {

class MainLoop;
class GlibStream;
class HttpClient;
class HttpStream;
class HttpServer;
class HttpExchange;

} // namespace eelgrass::wire
