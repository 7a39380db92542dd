// Forwards to the header of the metrics.
#pragma once

#include "dispatcher/metrics.h"
