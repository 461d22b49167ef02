// Public header of the peer library: messages between daemons, encoded with
// protobuf and sent over ZeroMQ with CURVE encryption.
#pragma once

#include "peer/curve_key.hpp"
#include "peer/peer_codec.hpp"
#include "peer/peer_transport.hpp"
