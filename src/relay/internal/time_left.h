#ifndef JUJUBEFRONT_RELAY_INTERNAL_TIME_LEFT_H_
#define JUJUBEFRONT_RELAY_INTERNAL_TIME_LEFT_H_

#include "relay/time_left_types.h"

namespace jujubefront {

// Counts a client request with this time left.
void RecordTimeLeft(TimeLeftMeter& meter, Duration left);

// Zero before any request has been counted.
Duration UsualTimeLeft(const TimeLeftMeter& meter);

// Called once in each window of demand.
void DecayTimeLeft(TimeLeftMeter& meter);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAY_INTERNAL_TIME_LEFT_H_
