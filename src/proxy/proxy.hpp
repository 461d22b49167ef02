// Public header of the proxy library: the path of requests from callers'
// connections to endpoints, driven by a request core. Everything in it lives
// in one thread with one event loop and never blocks.
#pragma once

#include "http/epoll_dispatcher.hpp"
#include "proxy/proxy_limits.hpp"
#include "proxy/proxy_outputs.hpp"
#include "proxy/proxy_server.hpp"
