// Public header of the proxy library: forwards requests from callers'
// connections to endpoints, controlled by a request core. All of it runs in one
// thread with an event loop and never blocks.
#pragma once

#include "http/epoll_dispatcher.hpp"
#include "proxy/proxy_limits.hpp"
#include "proxy/proxy_outputs.hpp"
#include "proxy/proxy_server.hpp"
