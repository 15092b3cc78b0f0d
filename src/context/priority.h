#ifndef JUJUBEFRONT_CONTEXT_PRIORITY_H_
#define JUJUBEFRONT_CONTEXT_PRIORITY_H_

#include "context/context_types.h"

namespace jujubefront {

// Number of cohorts in a tier.
inline constexpr unsigned kCohortsPerTier = 256;

// Cohort of a client request: the same at every node that it reaches.
std::uint8_t CohortOf(const RequestKey& root_key);

// Priority of a call, from its tier and the cohort of its client request.
Priority PriorityOf(const CallContext& context);

// True when a target with this level admits this priority.
bool Admits(AdmissionLevel level, Priority priority);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_CONTEXT_PRIORITY_H_
