// Public header of the HTTP library: a client and a server on non-blocking
// sockets, for processes that have a tenth of a processor core.
#pragma once

#include "http/boot_clock.hpp"
#include "http/connection_budget.hpp"
#include "http/epoll_dispatcher.hpp"
#include "http/hedged_client.hpp"
#include "http/http_client.hpp"
#include "http/http_message.hpp"
#include "http/http_server.hpp"
#include "http/refusal.hpp"
#include "http/socket_address.hpp"
