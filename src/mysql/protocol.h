// The MySQL client/server protocol, as far as both sides of the dispatcher need it.
#pragma once

#include "mysql/constants.h"
#include "mysql/handshake.h"
#include "mysql/packet.h"
#include "mysql/response.h"
