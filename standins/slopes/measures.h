#ifndef JUJUBEFRONT_STANDINS_SLOPES_MEASURES_H_
#define JUJUBEFRONT_STANDINS_SLOPES_MEASURES_H_

#include <cstddef>

namespace jujubefront {

// Prints the latency that the path through two nodes adds to a direct call, at
// several numbers of connections. Returns false if the cluster did not start.
bool MeasureAddedLatency();

// Prints processor time, memory and written bytes per idle node, for several
// cluster sizes up to max_nodes. Returns false if a cluster did not start.
bool MeasureIdleCost(std::size_t max_nodes);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_SLOPES_MEASURES_H_
