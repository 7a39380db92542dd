// Forwards to the headers that the dispatcher's interfaces were split into.
#pragma once

#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/request.h"
#include "dispatcher/routing_time.h"
