#pragma once

/// Umbrella header of the wire package: the event loop, streams, HTTP and sessions between the system's processes.
#include "wire/Door.h"
#include "wire/GatheredStream.h"
#include "wire/GlibStream.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"
#include "wire/MainLoop.h"
