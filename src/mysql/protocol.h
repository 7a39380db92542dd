// The parts of the MySQL client/server protocol that the dispatcher uses toward clients and engines.
#pragma once

#include "mysql/constants.h"
#include "mysql/handshake.h"
#include "mysql/packet.h"
#include "mysql/response.h"
