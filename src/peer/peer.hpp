// Public header of the peer library: messages between daemons over ZeroMQ
// with CURVE keys, encoded with protobuf.
#pragma once

#include "peer/curve_key.hpp"
#include "peer/peer_codec.hpp"
#include "peer/peer_transport.hpp"
